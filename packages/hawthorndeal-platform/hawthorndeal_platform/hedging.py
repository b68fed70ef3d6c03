"""Hedge calls: send again while the answer is out, for lost and slow ones.

Where answers get lost, it pays to repeat soon. Where the callee has more to
do than it can, repeats make that worse. So the first call stays under way,
a repeat is sent after several times what answers take, and each further one
after a longer time.
"""

import asyncio
import time

import attrs

from hawthorndeal_fleet import errors

# A repeat is sent after so many times what an answer usually takes.
USUAL_FACTOR = 6.0
LEAST_DELAY_S = 0.25
MOST_DELAY_S = 2.0
# Each further repeat is sent after so much more time than the one before;
# after calls without any answer the next is waited for so much longer.
DELAY_GROWTH = 1.4
# Weight of an answer that came sooner than usual.
SOONER_WEIGHT = 0.3
FIRST_USUAL_S = 0.02


@attrs.define
class LatencyEstimate:
    """Keep how long one callee's answers take.

    An answer that comes late counts at once, one that comes soon by and by.
    """

    _usual_s: float = FIRST_USUAL_S
    _silences: int = 0

    @property
    def delay_s(self):
        """Return the time after which an answer counts as overdue."""
        delay_s = max(LEAST_DELAY_S, self._usual_s * USUAL_FACTOR)
        return min(MOST_DELAY_S, delay_s * DELAY_GROWTH**self._silences)

    def note_silence(self):
        """Take in that no answer came: the callee may have become slow."""
        self._silences += 1

    def note_heard(self):
        """Take in an answer that doesn't tell how long it took."""
        self._silences = 0

    def note_answer(self, took_s):
        """Take in how long an answer took."""
        self.note_heard()
        if took_s > self._usual_s:
            self._usual_s = took_s
        else:
            self._usual_s += (took_s - self._usual_s) * SOONER_WEIGHT


async def call(send, latency, limit_s, now_s=time.monotonic):
    """Return the first answer to a call that may be sent several times.

    :param send: sends the call once; a repeat must do no harm
    :param latency: of the callee
    :param limit_s: time to give up after
    :param now_s: returns the steady time
    :raises errors.OutcomeUnknown: one copy at least may have arrived
    :raises errors.PlatformUnavailable: no copy was taken
    """
    hedged = _HedgedCall(send, latency, now_s)
    ends_s = now_s() + limit_s
    delay_s = latency.delay_s
    try:
        while now_s() < ends_s:
            hedged.send_copy()
            answered = await hedged.wait(min(ends_s, now_s() + delay_s))
            if answered is not None:
                return answered.result()
            delay_s *= DELAY_GROWTH
    finally:
        hedged.abandon()
    latency.note_silence()
    raise errors.OutcomeUnknown(f'no answer in {limit_s} s')


class _HedgedCall:
    """Hold the copies of one call that are under way."""

    def __init__(self, send, latency, now_s):
        self._send = send
        self._latency = latency
        self._now_s = now_s
        self._copies = set()
        # Whether a copy broke off that may have arrived.
        self._is_unknown = False

    def send_copy(self):
        """Send the call once more."""
        self._copies.add(asyncio.create_task(self._send_timed()))

    async def _send_timed(self):
        sent_s = self._now_s()
        answer = await self._send()
        self._latency.note_answer(self._now_s() - sent_s)
        return answer

    async def wait(self, until_s):
        """Return the copy that tells what became of the call, or None.

        :raises errors.OutcomeUnknown: it won't be told
        """
        while self._copies and self._now_s() < until_s:
            done, self._copies = await asyncio.wait(
                self._copies,
                timeout=until_s - self._now_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answered = self._pick(done)
            if answered is not None:
                return answered
        await asyncio.sleep(max(0.0, until_s - self._now_s()))
        return None

    def _pick(self, done):
        known = [copy for copy in done if not _is_unknown(copy)]
        self._is_unknown |= len(known) < len(done)
        # A success counts before a refusal that came at the same time.
        known.sort(key=lambda copy: copy.exception() is not None)
        if not known or not _is_unavailable(known[0]):
            return known[0] if known else None
        # What is told of a copy that was not taken holds for that copy only:
        # others may have arrived.
        if self._copies:
            return None
        if self._is_unknown:
            raise errors.OutcomeUnknown(
                f'one copy may have arrived: {known[0].exception()}'
            )
        return known[0]

    def abandon(self):
        """Wait for no copy any more."""
        for copy in self._copies:
            copy.cancel()
            copy.add_done_callback(_retrieve_error)


async def read(send, latency, wait_s, now_s=time.monotonic):
    """Return the page of a reading that may wait for records.

    :param send: sends the call, given how long to wait for the answer
    :param latency: of the callee's readings
    :param wait_s: how long the callee may wait
    :param now_s: returns the steady time
    :raises errors.OutcomeUnknown: no answer came in time
    """
    sent_s = now_s()
    try:
        page = await send(wait_s + latency.delay_s)
    except errors.OutcomeUnknown:
        latency.note_silence()
        raise
    took_s = now_s() - sent_s
    if not page.records:
        latency.note_answer(max(0.0, took_s - wait_s))
    elif not wait_s:
        latency.note_answer(took_s)
    else:
        # It came as soon as there was a record, whenever that was.
        latency.note_heard()
    return page


def _is_unknown(copy):
    return isinstance(copy.exception(), errors.OutcomeUnknown)


def _is_unavailable(copy):
    return isinstance(copy.exception(), errors.PlatformUnavailable)


def _retrieve_error(copy):
    # Else the loop would report an error that nobody has asked for.
    if not copy.cancelled():
        copy.exception()
