"""Bounded queues of typed messages between tasks."""

import asyncio

from hawthorndeal_fleet import errors


class MailboxFull(errors.HawthorndealError):
    """Report a message that found no room."""

    reason = 'mailbox_full'


class Mailbox:
    """Hand messages to one task in order.

    When it is full a new message is refused, so that the sender decides
    what to do.

    :param name: the owner, for the refusal
    :param limit: messages it holds at most
    """

    def __init__(self, name, limit):
        self._name = name
        self._queue = asyncio.Queue(limit)

    def put(self, message):
        """Add a message.

        :raises MailboxFull: when there is no room
        """
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFull(
                f'{self._name} has {self._queue.maxsize} messages waiting'
            ) from None

    async def get(self):
        """Return the next message."""
        return await self._queue.get()

    async def get_batch(self, limit):
        """Return the next message and those waiting behind it.

        :param limit: messages to return at most
        """
        batch = [await self._queue.get()]
        while len(batch) < limit and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch
