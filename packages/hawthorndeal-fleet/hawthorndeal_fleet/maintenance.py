"""Plan the next action on every disruption, from local observations."""

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
    """Describe what a daemon observes locally, beside the folded state.

    :ivar own_incarnation: the daemon's incarnation
    :ivar view: what it knows of the other daemons
    :ivar hosts: platform status of the hosts under disruption
    :ivar work: known jobs on hosts, as :class:`waves.HostWork` by host
    :ivar now_s: log time as estimated from the daemon's clock
    :ivar is_permitted: whether it may act on the disruptions it holds
    :ivar is_connected: whether it can reach the log
    """

    own_incarnation: str
    view: acknowledgements.PeerView
    hosts: dict[str, HostStatus]
    work: typing.Any = attrs.Factory(dict)
    now_s: float = 0.0
    is_permitted: bool = True
    is_connected: bool = True
    policy: waves.WavePolicy = waves.DEFAULT_POLICY


@attrs.frozen
class Action:
    """Base class of actions on a host."""

    host: str


@attrs.frozen
class RequestDisruption(Action):
    """Append a request for a disruption."""

    wave: str


@attrs.frozen
class TakeOver(Action):
    """Append a request to take over a lost daemon's disruption."""


@attrs.frozen
class Record(Action):
    """Append that the disruption reached a step."""

    step: records.Step
    boot_id: str = ''


@attrs.frozen
class Drain(Action):
    """Drain the host through the platform."""


@attrs.frozen
class Reboot(Action):
    """Reboot the host through the platform, if its boot id is unchanged."""

    boot_id: str


@attrs.frozen
class Move(Action):
    """Move the host to another pool through the platform."""

    pool: str


@attrs.frozen
class Restore(Action):
    """Admit tasks to the host again through the platform."""


@attrs.frozen
class End(Action):
    """Append that the disruption ended and the host is in service again.

    :ivar is_complete: whether the work of the wave was done
    :ivar reason: why the host is returned early; empty if complete
    """

    is_complete: bool = True
    reason: str = ''


@attrs.frozen
class Wait(Action):
    """Do nothing yet; the reason is shown to operators."""

    reason: str


def plan(state, observation):
    """Return the actions to take now, at most one for each host.

    :param state: the folded state
    :param observation: what the daemon observes locally
    """
    return plan_steps(state, observation) + plan_requests(state, observation)


def plan_steps(state, observation):
    """Return the next actions on hosts under disruption."""
    steps = [
        next_step(state, disruption, observation)
        for disruption in state.disruptions.values()
        if disruption.holder == observation.own_incarnation
    ]
    takeovers = [
        TakeOver(host=disruption.host)
        for disruption in state.disruptions.values()
        if disruption.holder != observation.own_incarnation
        and _is_lost(state, disruption, observation)
    ]
    return steps + takeovers


def _is_lost(state, disruption, observation):
    # The daemon's clock is used as log time does not advance without records.
    renewed_s = state.renewed_s.get(disruption.holder)
    is_over = (
        renewed_s is None
        or observation.now_s > renewed_s + permission.TAKEOVER_AFTER_S
    )
    return is_over and (
        preferred_member(state, disruption.host, observation)
        == observation.own_incarnation
    )


def plan_requests(state, observation):
    """Return requests for the hosts that waves should disrupt next."""
    if _refuse_requests(state, observation):
        return []
    choices = observation.policy.choose(
        state, observation.now_s, observation.work
    )
    return [
        RequestDisruption(host=choice.host, wave=choice.wave)
        for choice in choices
        if preferred_member(state, choice.host, observation)
        == observation.own_incarnation
    ]


def _refuse_requests(state, observation):
    if not observation.is_connected:
        return 'the log can not be read'
    return acknowledgements.unreachable_member_refusal(state, observation.view)


def explain(state, observation):
    """Return the reason why each unfinished host of a wave waits, by host."""
    held = _refuse_requests(state, observation)
    choices = observation.policy.decide(
        state, observation.now_s, observation.work
    )
    reasons = {
        choice.host: held or choice.refusal or 'its disruption is requested'
        for choice in choices
    }
    for disruption in state.disruptions.values():
        reasons[disruption.host] = _explain_step(
            state, disruption, observation
        )
    return reasons


def _explain_step(state, disruption, observation):
    member = state.members.get(disruption.holder)
    holder = member.daemon if member else 'a daemon that is not a member'
    text = f'{disruption.step.value}, held by {holder}'
    if disruption.host in state.down_hosts:
        text += ', reported down'
    if disruption.step is records.Step.GRANTED:
        act = _await_quiet(state, disruption, observation)
        text += f': {act.reason}' if isinstance(act, Wait) else ''
    return text


def preferred_member(state, host, observation):
    """Return the incarnation that should request a host.

    This only avoids redundant appends; the fold decides between concurrent
    requests.
    """
    answering = [
        incarnation
        for incarnation, member in state.members.items()
        if incarnation == observation.own_incarnation
        or observation.view.is_fresh(member)
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
        return Wait(host=host, reason='the platform reports no host status')
    if refusal is not None:
        return _return_host(disruption, status, refusal)
    return _PLATFORM_STEPS[disruption.step](disruption, status, observation)


def _await_quiet(state, disruption, observation):
    reason = acknowledgements.quiesce_refusal(
        state, disruption, observation.view
    ) or _refuse_displacing(state, disruption, observation)
    if reason is not None:
        return Wait(host=disruption.host, reason=reason)
    return Record(host=disruption.host, step=records.Step.QUIET)


def _refuse_displacing(state, disruption, observation):
    load = observation.work.get(disruption.host, waves.IDLE)
    displacement_delay_s = observation.policy.displacement_delay_s(state.fleet)
    waited_s = observation.now_s - disruption.granted_s
    if load.jobs and waited_s < displacement_delay_s:
        return (
            f'{load.jobs} jobs are expected to end in {load.remaining_s:.0f} '
            f's and will be displaced in '
            f'{displacement_delay_s - waited_s:.0f} s'
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
    # A delayed call by an earlier holder may have admitted tasks again.
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
        return Wait(host=disruption.host, reason='the host is shutting down')
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


def _return_host(disruption, status, reason):
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
