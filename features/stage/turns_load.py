"""Play bursts of jobs that follow each other in several pools.

The hosts are too few for a burst in each pool, and move between the pools as
the owner's decisions say.
"""

import attrs

from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import late_work
from hawthorndeal_jobs import queues
from stage import beside_room
from stage import queue_load

STANDBY = 'standby'
CONTROL_PERIOD_S = 0.1
HEARTBEAT_S = 1.5
MOVE_S = 1.5
# From the end of a move until tasks start on the host.
ARRIVAL_S = 0.4
BURST_S = 8.0
# Share of the burst's peak at which jobs arrive in the other pools.
LOW_SHARE = 0.0125
# Time for late work after the last burst.
TAIL_S = 6.0


@attrs.define(eq=False)
class _Host:
    """A host, the pool that it is in or moves to, and its executor."""

    name: str
    pool: str = STANDBY
    executor_id: str = ''
    is_moving: bool = False


class TurnsLoad(queue_load.QueueLoad):
    """Pools whose bursts follow each other.

    :param kinds: mean run time and cores of the tasks of each pool
    :param hosts: number of hosts of all pools
    :param peak: work at the top of a burst, as a multiple of what all hosts
        can do
    :ivar beside_room: the jobs that had nothing running beside room
    """

    def __init__(self, seed, kinds, hosts, peak):
        self._kinds = {f'p{n}': kind for n, kind in enumerate(kinds)}
        configuration = _make_configuration(self._kinds)
        super().__init__(seed, hosts=0, configuration=configuration)
        self._configuration = configuration
        self._peak = peak
        self._late_work = late_work.LateWorkHolds()
        self.beside_room = beside_room.BesideRoom()
        self._fleet = [_Host(f'h{n}') for n in range(hosts)]
        for host, pool in zip(self._fleet, self._kinds):
            host.pool = pool
            self._arrive(host)
        for number, pool in enumerate(self._kinds):
            self._submit_turn(pool, self.now_s + number * BURST_S)
        self._end_s = self.now_s + len(self._kinds) * BURST_S + TAIL_S
        self._at(self.now_s, self._control)
        self._at(self.now_s, self._beat)

    @property
    def pools(self):
        """Names of the pools."""
        return list(self._kinds)

    def _submit_turn(self, pool, burst_s):
        """Submit the jobs of a pool, with a burst that begins at a time."""
        self._task_s, cores = self._kinds[pool]
        samples = [
            self._make_job(0.0, pool, cores).work
            for _ in range(queue_load.WORK_SAMPLES)
        ]
        mean_work = sum(samples) / len(samples)
        room = len(self._fleet) * queue_load.HOST_CORES
        most_per_s = self._peak * room / mean_work
        at_s, end_s = self.now_s, self.now_s + len(self._kinds) * BURST_S
        while (at_s := at_s + self._rng.expovariate(most_per_s)) < end_s:
            if self._rng.random() < _burst_share(at_s - burst_s):
                played = self._make_job(at_s, pool, cores)
                self._at(at_s, self._submit, played)

    # Hosts

    def _beat(self):
        for executor in self._scheduler.executors.values():
            self._scheduler.update_executor(executor.entry, self.now_s)
        if self.now_s < self._end_s:
            self._at(self.now_s + HEARTBEAT_S, self._beat)

    def _control(self):
        # An idle owner runs a cycle as often, too.
        self._wake()
        self.beside_room.look(self._scheduler, self.now_s)
        loads = [
            self._scheduler.load_of(
                pool,
                self._count_arriving(pool.name),
                MOVE_S + ARRIVAL_S,
                self.now_s,
            )
            for pool in self._configuration.pools.values()
        ]
        moves = capacity.plan_moves(loads, self._idle_hosts())
        self._late_work.update(loads, moves, self.now_s)
        if self._scheduler.hold_late_work(self._late_work.pools):
            self._wake()
        by_name = {host.name: host for host in self._fleet}
        for move in moves:
            self._move(by_name[move.host], move.to_pool)
        if self.now_s < self._end_s:
            self._at(self.now_s + CONTROL_PERIOD_S, self._control)

    def _count_arriving(self, pool):
        return sum(h.is_moving and h.pool == pool for h in self._fleet)

    def _idle_hosts(self):
        idle = []
        for host in self._fleet:
            executor = self._scheduler.executors.get(host.executor_id)
            idle_s = capacity.MIN_IDLE_S
            if executor is not None:
                idle_s = self.now_s - executor.idle_since_s
            if not host.is_moving and not (executor and executor.runs):
                idle.append(capacity.IdleHost(host.name, host.pool, idle_s))
        return idle

    def _move(self, host, pool):
        if host.executor_id:
            self._scheduler.remove_executor(host.executor_id, self.now_s)
        host.pool, host.executor_id, host.is_moving = pool, '', True
        self._at(self.now_s + MOVE_S + ARRIVAL_S, self._arrive, host)

    def _arrive(self, host):
        host.is_moving = False
        if host.pool != STANDBY:
            host.executor_id = f'{host.name}-{next(self._numbers)}'
            self._add_executor(host.executor_id, host.pool)
            self._wake()


def _make_configuration(names):
    pool_queues = {
        name: attrs.evolve(queue_load.QUEUE, name=name, pool=name)
        for name in names
    }
    pools = {name: queues.Pool(name) for name in names}
    pools[STANDBY] = queues.Pool(STANDBY, is_standby=True)
    return queues.Configuration(1, pool_queues, pools)


def _burst_share(since_s):
    """Return the share of the peak, this long after the start of a burst."""
    if not 0.0 < since_s < BURST_S:
        return LOW_SHARE
    progress = since_s / BURST_S
    return max(LOW_SHARE, 4.0 * progress * (1.0 - progress))
