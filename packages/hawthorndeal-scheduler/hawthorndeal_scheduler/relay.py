"""Passes on the calls that this daemon can't answer without the store."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import peer_choice
from hawthorndeal_platform import hedging

MAX_PEERS = 4
# The next daemon is asked this long after one that doesn't answer at least, so
# that all of them are asked while the caller waits.
MIN_NEXT_PEER_DELAY_S = 0.1
# Time for the answer to come back.
ANSWER_MARGIN_S = 0.2
MIN_TIMEOUT_S = 0.1
ANNOUNCE_PERIOD_S = 2.0


class _NoPeerLeft(errors.PlatformUnavailable):
    """Raised when all daemons that may be tried were tried."""


class _Refused(errors.PlatformUnavailable):
    """Raised when a daemon refuses a call.

    Others that were asked before it may still have stored the call.

    :param answer: the :class:`peer_calls.CallerAnswer`
    """

    def __init__(self, name, answer):
        self.answer = answer
        super().__init__(f'{name} refused with status {answer.status}')


class Relay:
    """Passes callers' calls on to other daemons.

    :param parts: shared components of the daemon
    :ivar seen_version: highest version of the configuration by which another
        daemon has answered; this one answers by no older one
    """

    def __init__(self, parts):
        self.seen_version = 0
        self._parts = parts
        self._latency = hedging.LatencyEstimate(MIN_NEXT_PEER_DELAY_S)
        settings = parts.settings
        self._choice = peer_choice.PeerChoice(settings.daemon, settings.zone)

    async def pass_on(self, call, effect, timeout_s):
        """Return another daemon's answer to a call, or None.

        None means that no daemon that was tried has handled it. A refusal is
        returned only if no other daemon that was tried may have handled it.

        :param effect: the call's :class:`call_effect.CallEffect`
        :param timeout_s: how long the caller waits for the answer
        :raises errors.AnswerLost: if one of them may have handled it
        """
        parts = self._parts
        if call.is_relayed or parts.peers is None:
            return None
        now_s = parts.clock.monotonic_s
        # What this daemon has in force may be newer than what others have.
        version = max(self.seen_version, parts.configuration_version)
        call = attrs.evolve(call, min_version=version)
        deadline_s = now_s() + timeout_s - ANSWER_MARGIN_S
        names = self._choice.order(parts.board.daemons, now_s(), parts.rng)
        left = iter(names[:MAX_PEERS])
        while (left_s := deadline_s - now_s()) > MIN_TIMEOUT_S:
            try:
                # A peer that is slow to answer doesn't keep the call from the
                # next one; whoever answers, it is the same job.
                return await hedging.call(
                    lambda: self._try_next(left, call, effect, deadline_s),
                    self._latency,
                    left_s,
                    now_s,
                )
            except _NoPeerLeft:
                return None
            except _Refused as refused:
                return refused.answer
            except errors.PlatformUnavailable:
                continue
            except errors.OutcomeUnknown as error:
                if call.is_read:
                    return None
                raise errors.AnswerLost(str(error)[:200]) from error
        return None

    async def _try_next(self, names, call, effect, deadline_s):
        name = next(names, None)
        if name is None:
            raise _NoPeerLeft('no other daemon is left')
        left_s = deadline_s - self._parts.clock.monotonic_s()
        call = attrs.evolve(call, may_be_stored=effect.is_possible)
        effect.begin(name)
        try:
            answer = await self._try_peer(
                name, call, max(MIN_TIMEOUT_S, left_s)
            )
        except errors.PlatformUnavailable:
            effect.rule_out(name)
            raise
        if call.is_read:
            return answer
        if answer.is_unknown:
            raise errors.OutcomeUnknown(f'{name}: status {answer.status}')
        if answer.is_refusal:
            effect.rule_out(name)
            raise _Refused(name, answer)
        return answer

    async def _try_peer(self, name, call, timeout_s):
        """Return the answer of one daemon.

        :raises errors.PlatformUnavailable: it has not handled the call
        :raises errors.OutcomeUnknown: it may have handled it
        """
        parts = self._parts
        address = parts.board.daemons[name].address
        begun_s = parts.clock.monotonic_s()
        outcome = 'answered'
        try:
            answer = await parts.peers.pass_on(address, name, call, timeout_s)
            if answer.status == errors.NotReady.status:
                raise errors.PlatformUnavailable(f'{name} is not ready')
        except errors.PlatformError as error:
            self._choice.note_failed(name, parts.clock.monotonic_s())
            outcome = str(error)[:120]
            raise
        finally:
            parts.metrics.note_relayed_call(outcome == 'answered')
            parts.events.write(
                'call_passed_on',
                method=call.method,
                path=call.path[:80],
                to=name,
                took_s=round(parts.clock.monotonic_s() - begun_s, 3),
                outcome=outcome,
            )
        self._choice.note_answered(name)
        self.seen_version = max(self.seen_version, answer.version)
        return answer


class Announcer:
    """Task that stores where this daemon takes the calls of others.

    :param parts: shared components of the daemon
    """

    name = 'announcer'

    def __init__(self, parts):
        self._parts = parts

    async def run(self):
        """Store the record whenever it isn't stored, until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCE_PERIOD_S)
            if self._is_due():
                await self._write()

    def _record(self):
        settings = self._parts.settings
        return journal.DaemonRecord(settings.relay_address, settings.zone)

    def _is_due(self):
        parts = self._parts
        if not parts.settings.relay_address:
            return False
        if not parts.status_follower.is_loaded:
            return False
        known = parts.board.daemons.get(parts.settings.daemon)
        return known != self._record()

    async def _write(self):
        parts = self._parts
        record = journal.daemon_record(parts.settings.daemon, self._record())
        try:
            await parts.log.append(parts.status_follower.partition, [record])
        except errors.PlatformError:
            # It is tried again unless it is read back.
            return

    async def stop(self):
        """Do nothing; the record may be written at any time."""
