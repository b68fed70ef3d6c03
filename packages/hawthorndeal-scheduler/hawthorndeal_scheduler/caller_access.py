"""Guards the queues of workspaces: checks the keys that calls carry."""

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import key_check
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import workspaces

from . import call_effect

RETRY_AFTER_S = 1
# Time for an answer to reach its caller.
ANSWER_MARGIN_S = 0.3

_Verdict = key_check.KeyVerdict


class StoreUnreachable(errors.NotReady):
    """Raised when this daemon lacks the store; another one may have it."""


class CallerGuard:
    """Decides by the newest configuration that this daemon has read.

    :param parts: shared components of the daemon
    """

    def __init__(self, parts):
        self._parts = parts

    @property
    def has_read_configuration(self):
        """Whether the newest configuration was read since the start."""
        return (
            self._parts.configuration_reader.configuration is not None
            and self._parts.operators_follower.confirmed_boot_s >= 0.0
        )

    def authorize(self, queue, key, effect):
        """Return the access that a key gives to a queue.

        :param key: the key that the call carries, or None
        :param effect: the call's :class:`call_effect.CallEffect`
        :raises errors.UnknownKey: if the key is not valid
        :raises errors.NotReady: if that can't be told now
        """
        if queue.is_public:
            return Access(self, queue, effect)
        digest = workspaces.key_digest(key or '')
        workspace = self.workspace_of(digest)
        return Access(self, queue, effect, digest, workspace)

    def workspace_of(self, digest):
        """Return the workspace of a key's digest.

        :raises errors.UnknownKey: if there is none
        :raises errors.NotReady: if that can't be told now
        """
        parts = self._parts
        confirmed_s = parts.operators_follower.confirmed_boot_s
        checked = key_check.check(
            parts.configuration_reader.configuration,
            digest,
            parts.clock.boot_s() - confirmed_s,
            parts.settings.key_revocation_ms / 1000,
        )
        if checked.verdict is _Verdict.UNCERTAIN:
            raise StoreUnreachable(
                'keys can not be checked now', RETRY_AFTER_S
            )
        if checked.verdict is _Verdict.UNKNOWN:
            shown = workspaces.shown_digest(digest)
            raise errors.UnknownKey(f'no workspace has the key {shown}')
        return checked.workspace


@attrs.frozen
class Access:
    """What a caller may do.

    :ivar queue: the queue that was called
    :ivar effect: what the call may have stored so far
    :ivar workspace: workspace of the caller; empty if the queue is public
    """

    _guard: CallerGuard
    queue: queues.Queue
    effect: call_effect.CallEffect
    _digest: str = ''
    workspace: str = ''

    def begin_append(self):
        """Check the call again, right before something of it is stored.

        :raises errors.RequestFailed: if the key is not valid any more, or
            belongs to another workspace now, or the call was refused
        """
        self._verify_key()
        self.effect.begin(call_effect.HERE)

    def _verify_key(self):
        if self.queue.is_public:
            return
        if self._guard.workspace_of(self._digest) != self.workspace:
            raise errors.UnknownKey('the key belongs to another workspace now')

    @property
    def timeout_s(self):
        """How long the effect of a call may take until it is answered."""
        wait_s = self.queue.timeout_s
        return max(wait_s / 2, wait_s - ANSWER_MARGIN_S)

    def may_see(self, status):
        """Return whether the caller may see a job with this status."""
        return self.queue.is_public or status.is_visible_to(self.workspace)
