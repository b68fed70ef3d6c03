"""Choose the hosts that maintenance waves take down next."""

import attrs

from . import budget
from . import model
from . import outages

FIXED_SHARE = 0.1
# How long a granted host's jobs may run on before they are displaced.
DEFAULT_DISPLACEMENT_DELAY_S = 900.0
# The same for the default policy, if the fleet's weights of moves and
# roll-out time are equal.
EQUAL_WEIGHTS_DISPLACEMENT_DELAY_S = 300.0
MAX_DISPLACEMENT_DELAY_S = 4 * 3600.0
# A host whose jobs are expected to end within this time is treated as idle.
NEARLY_IDLE_S = 60.0
OVERRUN_SHARE = 0.25


@attrs.frozen
class HostWork:
    """Describe the jobs on a host.

    :ivar jobs: number of jobs
    :ivar remaining_s: seconds until the last of them is expected to end
    """

    jobs: int = 0
    remaining_s: float = 0.0


IDLE = HostWork()


@attrs.frozen
class Choice:
    """Describe a policy's decision on a host that a wave has yet to process.

    :ivar refusal: why the host is not selected now; empty if it is
    """

    host: str
    wave: str
    refusal: str = ''

    @property
    def is_selected(self):
        """Return whether a disruption of the host should be requested now."""
        return not self.refusal


class PlacedWork:
    """Compute the work on hosts from the jobs that the state places there.

    :param state: the folded state
    :param now_s: log time
    """

    def __init__(self, state, now_s):
        self._jobs = getattr(state, 'jobs', {})
        self._on_host = state.ledger.on_host if self._jobs else {}
        self._now_s = now_s

    def get(self, host, default=IDLE):
        """Return the :class:`HostWork` of a host."""
        names = self._on_host.get(host, ())
        if not names:
            return default
        longest_s = max(
            expected_remaining_s(
                self._jobs[name].run_s, self._now_s - self._jobs[name].placed_s
            )
            for name in names
        )
        return HostWork(len(names), longest_s)


def expected_remaining_s(declared_s, elapsed_s):
    """Return how much longer a job is expected to run.

    At least a share of its elapsed time is expected to remain, since declared
    times are often far off and a job may overrun its own.
    """
    return max(declared_s - elapsed_s, OVERRUN_SHARE * elapsed_s)


def waiting_hosts(state, wave_name):
    """Return the hosts that a wave has not finished yet."""
    wave = state.fleet.waves[wave_name]
    finished = state.finished.get(wave_name, ())
    pools = set(wave.pools)
    only = set(wave.hosts)
    return [
        name
        for name, host in state.fleet.hosts.items()
        if host.pool in pools
        and (not only or name in only)
        and name not in finished
    ]


def working_hosts(state, wave_name):
    """Return the hosts under disruption by a wave."""
    return [
        host
        for host, found in state.disruptions.items()
        if found.wave == wave_name
    ]


class WavePolicy:
    """Choose hosts in file order, as many as budgets allow.

    :meth:`decide` considers every host that a running wave has not finished,
    and never selects one that the budgets refuse in this state. Subclasses
    override the order, the limit on concurrent disruptions, how long to wait
    for a host's jobs before its disruption is requested, or how long to wait
    for them after the grant.
    """

    def decide(self, state, now_s, work):
        """Yield a choice for every waiting host of every wave.

        :param state: the folded state
        :param now_s: log time
        :param work: :class:`HostWork` by host; missing hosts are idle
        """
        allowance = budget.Allowance(state)
        for name, wave in state.fleet.waves.items():
            held = _refuse_wave(name, wave, now_s)
            waiting = [
                host
                for host in waiting_hosts(state, name)
                if host not in state.disruptions
            ]
            if held is not None:
                yield from (Choice(host, name, held) for host in waiting)
            else:
                yield from self._decide_wave(
                    state, name, waiting, allowance, now_s, work
                )

    def _decide_wave(self, state, name, waiting, allowance, now_s, work):
        working = working_hosts(state, name)
        expected_s = outages.expected_s(state, state.fleet.waves[name])
        for host in self.order(state, waiting, work):
            refusal = (
                self.refuse_more(state, name, working, host)
                or self.refuse_early(state, name, host, now_s, work)
                or _refuse_down(state, host)
                or allowance.take(host, expected_s)
            )
            if refusal is None:
                working.append(host)
            yield Choice(host, name, refusal or '')

    def choose(self, state, now_s, work):
        """Return the choices whose disruptions should be requested now."""
        return [
            choice
            for choice in self.decide(state, now_s, work)
            if choice.is_selected
        ]

    def order(self, state, hosts, work):
        """Return waiting hosts in the order in which to consider them."""
        return hosts

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not disrupt one more host, or None."""
        return None

    def refuse_early(self, state, wave_name, host, now_s, work):
        """Return why a host should not be requested yet, or None."""
        return None

    def displacement_delay_s(self, fleet):
        """Return the delay before a granted host's jobs are displaced."""
        return DEFAULT_DISPLACEMENT_DELAY_S


def _refuse_wave(name, wave, now_s):
    if wave.state is not model.WaveState.RUNNING:
        return f'wave {name!r} is {wave.state.value}'
    if now_s < wave.start_at_s:
        return f'wave {name!r} starts in {wave.start_at_s - now_s:.0f} s'
    return None


def _refuse_down(state, host):
    if host in state.down_hosts:
        return f'host {host!r} is reported down'
    return None


class OneAtATime(WavePolicy):
    """Disrupt one host of a wave at a time."""

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not disrupt one more host, or None."""
        if working:
            return f'wave {wave_name!r} already disrupts {working[0]!r}'
        return None


class FixedFraction(WavePolicy):
    """Disrupt at most a fixed share of a wave's hosts at a time."""

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not disrupt one more host, or None."""
        finished = len(state.finished.get(wave_name, ()))
        total = finished + len(waiting_hosts(state, wave_name))
        limit = max(1, int(FIXED_SHARE * total))
        if len(working) >= limit:
            return f'wave {wave_name!r} is limited to {limit} hosts at a time'
        return None


class OneRack(WavePolicy):
    """Disrupt hosts of only one rack at a time."""

    def order(self, state, hosts, work):
        """Return waiting hosts rack by rack."""
        return sorted(hosts, key=lambda name: state.fleet.hosts[name].rack)

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not disrupt one more host, or None."""
        racks = {state.fleet.hosts[name].rack for name in working}
        if racks and state.fleet.hosts[host].rack not in racks:
            return f'wave {wave_name!r} already disrupts rack {min(racks)!r}'
        return None


class LeastWorkFirst(WavePolicy):
    """Select the host with the least remaining work, once it is nearly idle.

    A host's jobs may end while it is still in service, which costs no budget.
    The fleet's weights decide how long the wave waits for that.
    """

    def order(self, state, hosts, work):
        """Return the hosts sorted by the expected end of their work."""
        return sorted(hosts, key=lambda host: _work_key(host, work))

    def refuse_early(self, state, wave_name, host, now_s, work):
        """Return why a host should not be requested yet, or None."""
        remaining_s = work.get(host, IDLE).remaining_s
        displacement_delay_s = self.displacement_delay_s(state.fleet)
        if remaining_s <= min(NEARLY_IDLE_S, displacement_delay_s):
            return None
        since_progress_s = now_s - _progress_s(state, wave_name, now_s)
        if since_progress_s > displacement_delay_s:
            return None
        return f'its jobs are expected to run for {remaining_s:.0f} s more'

    def displacement_delay_s(self, fleet):
        """Return the delay before a granted host's jobs are displaced."""
        desired_s = (
            EQUAL_WEIGHTS_DISPLACEMENT_DELAY_S * _move_share(fleet) ** 3
        )
        return min(desired_s, MAX_DISPLACEMENT_DELAY_S)


def _progress_s(state, wave_name, now_s):
    start_s = state.fleet.waves[wave_name].start_at_s
    return max(start_s, state.progress_s.get(wave_name, now_s))


def _work_key(host, work):
    load = work.get(host, IDLE)
    return load.remaining_s, load.jobs, host


def _move_share(fleet):
    """Return the weight of moves relative to that of roll-out time."""
    weights = fleet.weights
    return weights.moves / max(weights.roll_out_time, 0.01)


DEFAULT_POLICY = LeastWorkFirst()


def maintenance_starts(state, now_s, work=None):
    """Return when each waiting host's disruption is expected to start.

    This includes announced waves, so that long jobs can be placed away from
    hosts that are due soon.

    :param state: the folded state
    :param now_s: log time
    :param work: :class:`HostWork` by host; computed from the state by default
    :returns: log time by host
    :rtype: dict[str, float]
    """
    known = PlacedWork(state, now_s) if work is None else work
    result = {}
    for name, wave in state.fleet.waves.items():
        if wave.state is model.WaveState.RUNNING:
            for host, start_s in _wave_starts(state, name, now_s, known):
                result[host] = min(start_s, result.get(host, start_s))
    return result


def _wave_starts(state, name, now_s, work):
    wave = state.fleet.waves[name]
    expected_s = outages.expected_s(state, wave)
    base_s = max(now_s, wave.start_at_s)
    free_times = {}
    hosts = waiting_hosts(state, name)
    for host in DEFAULT_POLICY.order(state, hosts, work):
        if host in state.disruptions:
            continue
        services_on_host = tuple(budget.executors_on(state, host))
        if services_on_host not in free_times:
            free_times[services_on_host] = _free_times(
                state, services_on_host, base_s
            )
        free_s = free_times[services_on_host]
        if not free_s:
            continue
        start_s = min(free_s)
        free_s[free_s.index(start_s)] = start_s + expected_s
        yield host, start_s


def _free_times(state, services, base_s):
    """Return when each of the concurrent disruptions allowed is available.

    The service with the smallest budget on the host sets their number; a host
    without any budget is available at once.
    """
    budgeted = [
        service
        for service in services
        if budget.budget_of(state.fleet, service) is not None
    ]
    if not budgeted:
        return [base_s]
    service = min(
        budgeted, key=lambda name: budget.disruptable_executors(state, name)
    )
    disruptable_executors = max(
        0, budget.disruptable_executors(state, service)
    )
    ends_s = sorted(
        max(base_s, found.granted_s + found.expected_s)
        for found in state.disruptions.values()
        if service in budget.executors_on(state, found.host)
    )
    return (ends_s + [base_s] * disruptable_executors)[:disruptable_executors]
