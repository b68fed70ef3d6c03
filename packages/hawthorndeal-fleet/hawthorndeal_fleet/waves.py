"""Choose the hosts that maintenance waves work on next."""

import attrs

from . import budget
from . import model
from . import outages

FIXED_SHARE = 0.1
# How long a granted host's jobs may run on before they are displaced.
DEFAULT_PATIENCE_S = 900.0
# The patience of ours, where moves weigh as much as roll-out time.
EVEN_PATIENCE_S = 300.0
MAX_PATIENCE_S = 4 * 3600.0
# A host whose work ends within this is as good as idle.
NEARLY_IDLE_S = 60.0
OVERRUN_SHARE = 0.25


@attrs.frozen
class HostWork:
    """Describe the jobs on a host.

    :ivar jobs: how many there are
    :ivar remaining_s: seconds until the last is expected to end
    """

    jobs: int = 0
    remaining_s: float = 0.0


IDLE = HostWork()


@attrs.frozen
class Choice:
    """Tell what a policy makes of a host that a wave still has to do.

    :ivar refusal: why it is not its turn; empty where it is
    """

    host: str
    wave: str
    refusal: str = ''

    @property
    def is_taken(self):
        """Tell whether the host should be asked for now."""
        return not self.refusal


class PlacedWork:
    """Look up the work on hosts from the jobs that the state has there.

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

    A job that has outlived its declared time is expected to need a share of
    what it took already, since declared times are often far off.
    """
    return max(declared_s - elapsed_s, OVERRUN_SHARE * elapsed_s)


def waiting_hosts(state, wave_name):
    """Return the hosts that a wave has still to work on."""
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
    """Return the hosts that a wave works on now."""
    return [
        host
        for host, found in state.disruptions.items()
        if found.wave == wave_name
    ]


class WavePolicy:
    """Choose hosts in file order, as many as budgets allow.

    The contract: :meth:`decide` looks at every host that a running wave has
    still to do, and never chooses one that the budgets of this state
    refuse. Subclasses override the order, the limit on hosts worked on at
    once, the wait for a host's jobs before it is asked for, or the patience
    with them afterwards.
    """

    def decide(self, state, now_s, work):
        """Yield a choice for every waiting host of every wave.

        :param state: the folded state
        :param now_s: log time
        :param work: :class:`HostWork` by host; idle where it is missing
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
        """Return the choices to ask for now."""
        return [
            choice
            for choice in self.decide(state, now_s, work)
            if choice.is_taken
        ]

    def order(self, state, hosts, work):
        """Return waiting hosts in the order to look at them."""
        return hosts

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not work on one more host, or None."""
        return None

    def refuse_early(self, state, wave_name, host, now_s, work):
        """Return why a host should not be asked for yet, or None."""
        return None

    def patience_s(self, fleet):
        """Return how long a granted host's jobs may run on."""
        return DEFAULT_PATIENCE_S


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
    """Work on one host of a wave at a time."""

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not work on one more host, or None."""
        if working:
            return f'wave {wave_name!r} works on {working[0]!r}'
        return None


class FixedFraction(WavePolicy):
    """Work on a fixed share of a wave's hosts at a time."""

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not work on one more host, or None."""
        finished = len(state.finished.get(wave_name, ()))
        total = finished + len(waiting_hosts(state, wave_name))
        limit = max(1, int(FIXED_SHARE * total))
        if len(working) >= limit:
            return f'wave {wave_name!r} works on {limit} hosts'
        return None


class OneRack(WavePolicy):
    """Work on the hosts of one rack at a time."""

    def order(self, state, hosts, work):
        """Return waiting hosts rack by rack."""
        return sorted(hosts, key=lambda name: state.fleet.hosts[name].rack)

    def refuse_more(self, state, wave_name, working, host):
        """Return why a wave may not work on one more host, or None."""
        racks = {state.fleet.hosts[name].rack for name in working}
        if racks and state.fleet.hosts[host].rack not in racks:
            return f'wave {wave_name!r} works on rack {min(racks)!r}'
        return None


class Lightest(WavePolicy):
    """Take the host with least work first, once it is nearly idle.

    A host's jobs are waited for while it still serves, and the budget is
    not charged for that. How long is a matter of the fleet's weights.
    """

    def order(self, state, hosts, work):
        """Return the hosts whose work ends first, first."""
        return sorted(hosts, key=lambda host: _weight(host, work))

    def refuse_early(self, state, wave_name, host, now_s, work):
        """Return why a host should not be asked for yet, or None."""
        remaining_s = work.get(host, IDLE).remaining_s
        patience_s = self.patience_s(state.fleet)
        if remaining_s <= min(NEARLY_IDLE_S, patience_s):
            return None
        idle_s = now_s - _progress_s(state, wave_name, now_s)
        if idle_s > patience_s:
            return None
        return f'its jobs are expected to run for {remaining_s:.0f} s more'

    def patience_s(self, fleet):
        """Return how long a granted host's jobs may run on."""
        wished_s = EVEN_PATIENCE_S * _move_share(fleet) ** 3
        return min(wished_s, MAX_PATIENCE_S)


def _progress_s(state, wave_name, now_s):
    start_s = state.fleet.waves[wave_name].start_at_s
    return max(start_s, state.progress_s.get(wave_name, now_s))


def _weight(host, work):
    load = work.get(host, IDLE)
    return load.remaining_s, load.jobs, host


def _move_share(fleet):
    """Return how much moves weigh against roll-out time."""
    weights = fleet.weights
    return weights.moves / max(weights.roll_out_time, 0.01)


DEFAULT = Lightest()


def turns(state, now_s, work=None):
    """Return when each waiting host's disruption is expected to start.

    It covers announced waves too, so that long work can be kept away from
    hosts due soon.

    :param state: the folded state
    :param now_s: log time
    :param work: :class:`HostWork` by host, where it is known
    :returns: log time by host
    :rtype: dict[str, float]
    """
    known = PlacedWork(state, now_s) if work is None else work
    result = {}
    for name, wave in state.fleet.waves.items():
        if wave.state is model.WaveState.RUNNING:
            for host, start_s in _wave_turns(state, name, now_s, known):
                result[host] = min(start_s, result.get(host, start_s))
    return result


def _wave_turns(state, name, now_s, work):
    wave = state.fleet.waves[name]
    expected_s = outages.expected_s(state, wave)
    base_s = max(now_s, wave.start_at_s)
    lanes = {}
    hosts = waiting_hosts(state, name)
    for host in DEFAULT.order(state, hosts, work):
        if host in state.disruptions:
            continue
        lane = tuple(budget.executors_on(state, host))
        if lane not in lanes:
            lanes[lane] = _free_times(state, lane, base_s)
        free_s = lanes[lane]
        if not free_s:
            continue
        start_s = min(free_s)
        free_s[free_s.index(start_s)] = start_s + expected_s
        yield host, start_s


def _free_times(state, services, base_s):
    """Return when each of the places that budgets allow is free."""
    budgeted = [
        service
        for service in services
        if budget.budget_of(state.fleet, service) is not None
    ]
    if not budgeted:
        return [base_s]
    service = min(budgeted, key=lambda name: budget.width(state, name))
    width = max(0, budget.width(state, service))
    ends_s = sorted(
        max(base_s, found.granted_s + found.expected_s)
        for found in state.disruptions.values()
        if service in budget.executors_on(state, found.host)
    )
    return (ends_s + [base_s] * width)[:width]
