"""Decide the next step of every disruption, from what is observed."""

import hashlib
import typing

import attrs

from . import model
from . import records

ACK_FRESH_S = 10.0


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
    :ivar now_s: its monotonic clock, in seconds
    :ivar peers: the newest digests, its own among them
    :ivar hosts: platform status of the hosts being worked on
    """

    me: str
    now_s: float
    peers: typing.Any
    hosts: dict[str, HostStatus]


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
class End(Act):
    """Append that the host is back."""


@attrs.frozen
class Wait(Act):
    """Do nothing yet, for a reason that operators can read."""

    reason: str


def plan(state, observation):
    """Return what this daemon should do now, at most one act a host.

    :param state: the folded state
    :param observation: what the daemon sees itself
    """
    steps = [
        _next_step(state, disruption, observation)
        for disruption in state.disruptions.values()
        if disruption.holder == observation.me
    ]
    takes = [
        Take(host=disruption.host)
        for disruption in state.disruptions.values()
        if disruption.holder not in state.members
    ]
    return steps + takes + _asks(state, observation)


def _asks(state, observation):
    return [
        Ask(host=host, wave=name)
        for name, wave in state.fleet.waves.items()
        if wave.state is model.WaveState.RUNNING
        for host in waiting_hosts(state, name)
        if host not in state.disruptions
        and preferred_member(state, host) == observation.me
    ]


def waiting_hosts(state, wave_name):
    """Return the hosts that a wave has still to work on."""
    wave = state.fleet.waves[wave_name]
    finished = state.finished.get(wave_name, ())
    return [
        name
        for name, host in state.fleet.hosts.items()
        if host.pool in wave.pools
        and (not wave.hosts or name in wave.hosts)
        and name not in finished
    ]


def preferred_member(state, host):
    """Return the incarnation that asks for a host, to avoid races.

    It only spares appends; the fold decides if two ask at once.
    """
    return max(
        state.members,
        key=lambda name: hashlib.blake2b(f'{name}/{host}'.encode()).digest(),
        default=None,
    )


def _next_step(state, disruption, observation):
    host = disruption.host
    status = observation.hosts.get(host)
    if disruption.step is records.Step.GRANTED:
        return _await_quiet(state, disruption, observation)
    if disruption.step is records.Step.HEALTHY:
        return End(host=host)
    if status is None:
        return Wait(host=host, reason='the platform does not tell its state')
    return _PLATFORM_STEPS[disruption.step](state, disruption, status)


def _await_quiet(state, disruption, observation):
    reasons = (
        _refuse_ack(member, disruption, observation)
        for member in state.members.values()
        if member.joined_offset < disruption.grant_offset
    )
    reason = next((reason for reason in reasons if reason), None)
    if reason is not None:
        return Wait(host=disruption.host, reason=reason)
    return Record(host=disruption.host, step=records.Step.QUIET)


def _refuse_ack(member, disruption, observation):
    heard = observation.peers.heard(member.incarnation)
    if heard is None or heard.heard_s < observation.now_s - ACK_FRESH_S:
        return f'entry host {member.daemon!r} is silent'
    if heard.digest.next_offset <= disruption.grant_offset:
        return f'entry host {member.daemon!r} has not read the grant'
    busy = heard.digest.busy_hosts.get(disruption.host, 0)
    if busy:
        return f'entry host {member.daemon!r} has {busy} requests there'
    return None


def _drain(state, disruption, status):
    if status.tasks or not status.is_leaving:
        return Drain(host=disruption.host)
    return Record(host=disruption.host, step=records.Step.DRAINED)


def _begin_stop(state, disruption, status):
    return Record(
        host=disruption.host,
        step=records.Step.STOPPING,
        boot_id=status.boot_id,
    )


def _stop(state, disruption, status):
    wave = state.fleet.waves.get(disruption.wave)
    if wave is not None and wave.action is model.WaveAction.MOVE:
        return _move(disruption, wave, status)
    if status.boot_id == disruption.boot_id:
        return Reboot(host=disruption.host, boot_id=disruption.boot_id)
    return _await_live(disruption, status)


def _move(disruption, wave, status):
    if status.pool != wave.target_pool:
        return Move(host=disruption.host, pool=wave.target_pool)
    return _await_live(disruption, status)


def _await_live(disruption, status):
    if not status.is_live:
        return Wait(host=disruption.host, reason='the host is not up yet')
    return Record(host=disruption.host, step=records.Step.HEALTHY)


_PLATFORM_STEPS = {
    records.Step.QUIET: _drain,
    records.Step.DRAINED: _begin_stop,
    records.Step.STOPPING: _stop,
}
