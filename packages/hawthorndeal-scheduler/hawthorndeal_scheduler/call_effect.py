"""Tracks which calls may have taken effect without an answer."""

import asyncio

import attrs

from hawthorndeal_fleet import errors

# The attempt of the daemon that the caller is connected to.
HERE = 'here'
# An append that was not answered is carried out within this time, or never.
LATE_APPEND_S = 15.0


@attrs.define
class CallEffect:
    """The attempts of one call that may have stored something.

    A call may be sent to several partitions and passed on to several daemons.
    It is refused only if each attempt has certainly stored nothing, since a
    refusal tells the caller that the call never runs.

    :ivar is_repeat: whether an attempt of another daemon, which has passed
        the call on, may have stored something
    :ivar is_refused: whether the call was refused; no attempt begins any more
    """

    is_repeat: bool = False
    is_refused: bool = False
    _unsettled: set[str] = attrs.field(factory=set, init=False)
    _permitted: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self):
        self._permitted.set()

    def hold(self):
        """Let this daemon store nothing of the call until it is released.

        While others may refuse it, an attempt of this daemon would leave open
        whether the refusal is true.
        """
        self._permitted.clear()

    @property
    def is_held(self):
        """Whether this daemon may store nothing of the call yet."""
        return not self._permitted.is_set()

    def release(self):
        """Let this daemon store the call."""
        self._permitted.set()

    async def wait_until_released(self):
        """Wait until this daemon may store the call."""
        await self._permitted.wait()

    @property
    def is_possible(self):
        """Whether an attempt of this daemon may have stored something."""
        return bool(self._unsettled)

    def begin(self, attempt):
        """Record that an attempt may store something from now on.

        :raises errors.NotRun: if the call was refused
        """
        if self.is_refused:
            raise errors.NotRun('the call was refused meanwhile')
        self._unsettled.add(attempt)

    def rule_out(self, attempt):
        """Record that an attempt has certainly stored nothing."""
        self._unsettled.discard(attempt)


@attrs.define
class UnsettledJobs:
    """Jobs whose submission this daemon may have stored without an answer."""

    _until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def note(self, job_id, now_s):
        """Record that a submission was sent and not answered."""
        expired = [
            j for j, until_s in self._until_s.items() if until_s < now_s
        ]
        for other in expired:
            del self._until_s[other]
        self._until_s[job_id] = now_s + LATE_APPEND_S

    def includes(self, job_id, now_s):
        """Return whether the submission of a job may still be stored."""
        return self._until_s.get(job_id, now_s) > now_s
