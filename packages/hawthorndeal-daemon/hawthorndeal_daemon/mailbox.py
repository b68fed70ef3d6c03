"""Bounded message queues between tasks."""

import asyncio

from hawthorndeal_fleet import errors


class MailboxFull(errors.HawthorndealError):
    """Raised when a mailbox is full."""

    reason = 'mailbox_full'


class Mailbox:
    """Bounded FIFO queue of messages to one task.

    A full mailbox refuses new messages, so that the sender decides what to
    do.

    :param name: name of the receiving task, for error messages
    :param limit: maximum number of queued messages
    """

    def __init__(self, name, limit):
        self._name = name
        self._queue = asyncio.Queue(limit)

    def put(self, message):
        """Add a message without waiting.

        :raises MailboxFull: if the mailbox is full
        """
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFull(
                f'{self._name} has {self._queue.maxsize} messages queued'
            ) from None

    async def get(self):
        """Wait for the next message and return it."""
        return await self._queue.get()

    async def get_batch(self, limit):
        """Wait for a message and return it with those queued after it.

        :param limit: maximum number of messages to return
        """
        batch = [await self._queue.get()]
        while len(batch) < limit and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch
