"""Decide the next step of every disruption, from what is observed."""

import hashlib

import typing

import attrs

from . import acknowledgements
from . import disruptions
from . import model
from . import permission
from . import records
from . import waves


@attrs.frozen
class HostStatus:
    """Describe a host as the platform reports it.

    :ivar boot_id: differs after each boot
    :ivar tasks: number of tasks on it
    """

    is_live: bool
    is_leaving: bool
    boot_id: str
    pool: str
    tasks: int = 0


@attrs.frozen
class Observation:
    """Hold what a daemon sees itself, beside the folded state.

    :ivar me: its incarnation
    :ivar view: what it knows of the other daemons
    :ivar hosts: platform status of the hosts being worked on
    :ivar work: the jobs on hosts, as far as it knows
    :ivar now_s: log time as this daemon's clock has it
    :ivar is_permitted: whether it may act on what it holds
    :ivar is_connected: whether it is in touch with the log
    """

    me: str
    view: acknowledgements.View
    hosts: dict[str, HostStatus]
    work: typing.Any = attrs.Factory(dict)
    now_s: float = 0.0
    is_permitted: bool = True
    is_connected: bool = True
    policy: waves.WavePolicy = waves.DEFAULT


@attrs.frozen
class Act:
    """Be the root of what a daemon does next about a host."""

    host: str


@attrs.frozen
class Ask(Act):
    """Append a request for a disruption."""

    wave: str


@attrs.frozen
class Take(Act):
    """Append a request to carry on a lost daemon's disruption."""


@attrs.frozen
class Record(Act):
    """Append that a step is reached."""

    step: records.Step
    boot_id: str = ''


@attrs.frozen
class Drain(Act):
    """Have the platform move the tasks away."""


@attrs.frozen
class Reboot(Act):
    """Have the platform reboot the host, unless it did already."""

    boot_id: str


@attrs.frozen
class Move(Act):
    """Have the platform put the host into another pool."""

    pool: str


@attrs.frozen
class Restore(Act):
    """Have the platform let tasks in again."""


@attrs.frozen
class End(Act):
    """Append that the host is back.

    :ivar is_complete: whether the work of the wave was done
    """

    is_complete: bool = True
    reason: str = ''


@attrs.frozen
class Wait(Act):
    """Do nothing yet, for a reason that operators can read."""

    reason: str


def plan(state, observation):
    """Return what this daemon should do now, at most one act a host.

    :param state: the folded state
    :param observation: what the daemon sees itself
    """
    return plan_steps(state, observation) + plan_asks(state, observation)


def plan_steps(state, observation):
    """Return the next acts on hosts that are being worked on."""
    steps = [
        next_step(state, disruption, observation)
        for disruption in state.disruptions.values()
        if disruption.holder == observation.me
    ]
    takes = [
        Take(host=disruption.host)
        for disruption in state.disruptions.values()
        if disruption.holder != observation.me
        and _is_lost(state, disruption, observation)
    ]
    return steps + takes


def _is_lost(state, disruption, observation):
    # Log time stands still while nobody writes; the clock goes on.
    renewed_s = state.renewed_s.get(disruption.holder)
    is_over = (
        renewed_s is None
        or observation.now_s > renewed_s + permission.TAKEOVER_AFTER_S
    )
    return is_over and (
        preferred_member(state, disruption.host, observation) == observation.me
    )


def plan_asks(state, observation):
    """Return requests for the hosts that waves should take next."""
    if _refuse_asks(state, observation):
        return []
    choices = observation.policy.choose(
        state, observation.now_s, observation.work
    )
    return [
        Ask(host=choice.host, wave=choice.wave)
        for choice in choices
        if preferred_member(state, choice.host, observation) == observation.me
    ]


def _refuse_asks(state, observation):
    if not observation.is_connected:
        return 'the log can not be read'
    return acknowledgements.refuse_silence(state, observation.view)


def explain(state, observation):
    """Return why each host waits that a wave has still to do, by host."""
    held = _refuse_asks(state, observation)
    choices = observation.policy.decide(
        state, observation.now_s, observation.work
    )
    reasons = {
        choice.host: held or choice.refusal or 'it is asked for now'
        for choice in choices
    }
    for disruption in state.disruptions.values():
        reasons[disruption.host] = _explain_step(
            state, disruption, observation
        )
    return reasons


def _explain_step(state, disruption, observation):
    member = state.members.get(disruption.holder)
    holder = member.daemon if member else 'an entry host that is gone'
    text = f'{disruption.step.value}, held by {holder}'
    if disruption.host in state.down_hosts:
        text += ', reported down'
    if disruption.step is records.Step.GRANTED:
        act = _await_quiet(state, disruption, observation)
        text += f': {act.reason}' if isinstance(act, Wait) else ''
    return text


def preferred_member(state, host, observation):
    """Return the incarnation that asks for a host, to avoid races.

    It only spares appends; the fold decides if two ask at once.
    """
    answering = [
        incarnation
        for incarnation, member in state.members.items()
        if incarnation == observation.me or observation.view.is_fresh(member)
    ]
    return max(
        answering,
        key=lambda name: hashlib.blake2b(f'{name}/{host}'.encode()).digest(),
        default=None,
    )


def next_step(state, disruption, observation):
    """Return what the holder of a disruption should do about it now."""
    host = disruption.host
    if not observation.is_permitted:
        return Wait(host=host, reason='the permission to act has lapsed')
    refusal = None
    if disruption.step in _STEPS_BEFORE_STOP:
        refusal = disruptions.refuse_stop(state, disruption)
    if disruption.step is records.Step.GRANTED:
        if refusal is not None:
            return End(host=host, is_complete=False, reason=refusal)
        return _await_quiet(state, disruption, observation)
    status = observation.hosts.get(host)
    if status is None:
        return Wait(host=host, reason='the platform does not tell its state')
    if refusal is not None:
        return _give_back(disruption, status, refusal)
    return _PLATFORM_STEPS[disruption.step](disruption, status, observation)


def _await_quiet(state, disruption, observation):
    reason = acknowledgements.refuse_quiet(
        state, disruption, observation.view
    ) or _refuse_displacing(state, disruption, observation)
    if reason is not None:
        return Wait(host=disruption.host, reason=reason)
    return Record(host=disruption.host, step=records.Step.QUIET)


def _refuse_displacing(state, disruption, observation):
    load = observation.work.get(disruption.host, waves.IDLE)
    patience_s = observation.policy.patience_s(state.fleet)
    waited_s = observation.now_s - disruption.granted_s
    if load.jobs and waited_s < patience_s:
        return (
            f'{load.jobs} jobs are expected to end in {load.remaining_s:.0f} '
            f's, they are displaced in {patience_s - waited_s:.0f} s'
        )
    return None


def _drain(disruption, status, observation):
    if not _is_drained(disruption, status, observation):
        return Drain(host=disruption.host)
    return Record(host=disruption.host, step=records.Step.DRAINED)


def _is_drained(disruption, status, observation):
    load = observation.work.get(disruption.host, waves.IDLE)
    return status.is_leaving and not status.tasks and not load.jobs


def _begin_stop(disruption, status, observation):
    # A call of an earlier holder may have let tasks in again.
    if not _is_drained(disruption, status, observation):
        return Drain(host=disruption.host)
    return Record(
        host=disruption.host,
        step=records.Step.STOPPING,
        boot_id=status.boot_id,
    )


def _stop(disruption, status, observation):
    if disruption.action is model.WaveAction.MOVE:
        return _move(disruption, status, observation)
    if status.boot_id != disruption.boot_id:
        return _await_live(disruption, status)
    if not status.is_live:
        return Wait(host=disruption.host, reason='the host is going down')
    if not _is_drained(disruption, status, observation):
        return Drain(host=disruption.host)
    return Reboot(host=disruption.host, boot_id=disruption.boot_id)


def _move(disruption, status, observation):
    if status.pool == disruption.target_pool:
        return _await_live(disruption, status)
    if not _is_drained(disruption, status, observation):
        return Drain(host=disruption.host)
    return Move(host=disruption.host, pool=disruption.target_pool)


def _await_live(disruption, status):
    if not status.is_live:
        return Wait(host=disruption.host, reason='the host is not up yet')
    return Record(host=disruption.host, step=records.Step.HEALTHY)


def _restore(disruption, status, observation):
    if status.is_leaving:
        return Restore(host=disruption.host)
    return End(host=disruption.host)


def _give_back(disruption, status, reason):
    if status.is_leaving:
        return Restore(host=disruption.host)
    return End(host=disruption.host, is_complete=False, reason=reason)


_STEPS_BEFORE_STOP = (
    records.Step.GRANTED,
    records.Step.QUIET,
    records.Step.DRAINED,
)
_PLATFORM_STEPS = {
    records.Step.QUIET: _drain,
    records.Step.DRAINED: _begin_stop,
    records.Step.STOPPING: _stop,
    records.Step.HEALTHY: _restore,
}
