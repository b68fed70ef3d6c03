"""Simulation of the platform and entry hosts in virtual time."""

import collections

import attrs

from hawthorndeal_daemon import maintainer
from hawthorndeal_daemon import settings as settings_module
from hawthorndeal_fleet import budget
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import peer_digests
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

START_S = 1_000_000.0
REQUEST_DURATION_S = 15.0
REBOOT_DURATION_S = 20.0
CALL_DELAY_S = 60.0


class Clock:
    """Virtual clock; the clock of a paused daemon doesn't advance."""

    def __init__(self):
        self.elapsed_s = 0.0

    def now_s(self):
        """Return seconds since the epoch."""
        return START_S + self.elapsed_s

    def monotonic_s(self):
        """Return seconds since the start of the simulation."""
        return self.elapsed_s


@attrs.define
class Host:
    """State of a host at the platform.

    :ivar boot: incremented by each reboot
    :ivar reboot_end_s: time at which a reboot ends
    """

    pool: str
    boot: int = 1
    is_live: bool = True
    is_leaving: bool = False
    is_failed: bool = False
    reboot_end_s: float = 0.0
    tasks: int = 2

    def status(self):
        """Return the status as reported by the platform."""
        return maintenance.HostStatus(
            is_live=self.is_live,
            is_leaving=self.is_leaving,
            boot_id=str(self.boot),
            pool=self.pool,
            tasks=self.tasks,
        )


class Hosts:
    """Fake host service with injectable faults.

    :ivar lost: verbs whose next call takes effect but gets no response
    :ivar delayed: verbs whose next call times out and takes effect later
    :ivar stuck_in_reboot: hosts that don't come back from a reboot
    :ivar unavailable: verbs that fail without effect
    :ivar violations: violated invariants that were detected
    """

    def __init__(self, bench, fleet):
        self._bench = bench
        self.hosts = {n: Host(h.pool) for n, h in fleet.hosts.items()}
        self.lost = set()
        self.delayed = set()
        self.stuck_in_reboot = set()
        self.unavailable = set()
        self.events = []
        self.violations = []
        self._delayed_calls = []
        self.frozen_list = None

    async def list(self):
        """Return the status of every host."""
        return {name: host.status() for name, host in self.hosts.items()}

    async def get(self, host):
        """Return the status of one host."""
        return self.hosts[host].status()

    async def drain(self, host, deadline_s):
        """Remove all tasks from a host."""
        self._call('drain', host, deadline_s)

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host; not idempotent: each call reboots it."""
        self._call('reboot', host, deadline_s)

    async def move(self, host, pool, deadline_s):
        """Move a host into a pool."""
        self._call('move', host, deadline_s, pool)

    async def restore(self, host, deadline_s):
        """Let a host accept tasks again."""
        self._call('restore', host, deadline_s)

    def _call(self, verb, host, deadline_s, *arguments):
        if verb in self.unavailable:
            raise errors.PlatformUnavailable(f'{verb} of {host}: down')
        if verb in self.delayed:
            self.delayed.discard(verb)
            at_s = self._bench.clock.now_s() + CALL_DELAY_S
            self._delayed_calls.append(
                (at_s, verb, host, deadline_s, arguments)
            )
            raise errors.OutcomeUnknown(f'{verb} of {host}: timed out')
        self._execute(verb, host, deadline_s, arguments)
        if verb in self.lost:
            self.lost.discard(verb)
            raise errors.OutcomeUnknown(f'{verb} of {host}: response lost')

    def _execute(self, verb, host, deadline_s, arguments):
        if self._bench.clock.now_s() > deadline_s:
            raise errors.PlatformRefused(f'{verb} of {host}: too late')
        self.events.append((verb, host))
        target = self.hosts[host]
        if verb == 'drain':
            target.is_leaving = True
            target.tasks = 0
        elif verb == 'restore':
            target.is_leaving = False
        elif verb == 'move':
            self._check_stop(host)
            target.pool = arguments[0]
        else:
            self._check_stop(host)
            target.is_live = False
            target.boot += 1
            target.reboot_end_s = self._bench.clock.now_s() + REBOOT_DURATION_S
        self._bench.check()

    def _check_stop(self, host):
        aborted_requests = self._bench.requests_at(host)
        if aborted_requests or self.hosts[host].tasks:
            self.violations.append(
                f'{host} stopped with {aborted_requests} requests'
            )

    def fail(self, host):
        """Make a host fail."""
        self.hosts[host].is_failed = True
        self.hosts[host].is_live = False

    def repair(self, host):
        """Bring a failed host back up, with a new boot id."""
        target = self.hosts[host]
        target.is_failed = False
        target.is_live = True
        target.boot += 1

    def advance(self):
        """Finish reboots and execute delayed calls that are due."""
        now_s = self._bench.clock.now_s()
        for name, host in self.hosts.items():
            is_due = not host.is_live and not host.is_failed
            if (
                is_due
                and now_s >= host.reboot_end_s
                and name not in self.stuck_in_reboot
            ):
                host.is_live = True
        due_calls = [call for call in self._delayed_calls if call[0] <= now_s]
        self._delayed_calls = [
            call for call in self._delayed_calls if call[0] > now_s
        ]
        for _, verb, host, deadline_s, arguments in due_calls:
            try:
                self._execute(verb, host, deadline_s, arguments)
            except errors.PlatformRefused:
                self.events.append(('refused', host))


class Daemon:
    """Runs the production maintainer of one entry host.

    :ivar is_running: false while the daemon is stopped or paused
    :ivar is_listed: whether the host list contains the entry host
    :ivar has_log: whether the daemon can reach the log
    :ivar is_cut_off: whether its zone is partitioned from the other zones
    :ivar loses_answers: whether the response to the next append is lost
    :ivar requests: host and end time of each request that it forwarded
    :ivar attempts: bodies of all records that it tried to append
    """

    def __init__(self, bench, name, zone, start=1):
        self._bench = bench
        self.name = name
        self.zone = zone
        self.incarnation = f'{name}-{start}'
        self.state = state_module.State()
        self.last_contact_s = 0.0
        self.is_running = True
        self.is_listed = True
        self.has_log = True
        self.is_cut_off = False
        self.loses_answers = False
        self.table = peer_digests.PeerTable()
        self.requests = []
        self.attempts = []
        self.clock = Clock()
        self.clock.elapsed_s = bench.clock.elapsed_s
        settings = settings_module.Settings(name, zone, '', '', None)
        self.maintainer = maintainer.Maintainer(
            self,
            self,
            self,
            bench.hosts,
            self,
            settings,
            self.incarnation,
            self.clock,
        )

    def catch_up(self):
        """Fold all new entries of the log."""
        if not self.has_log:
            return
        self.last_contact_s = self.clock.monotonic_s()
        entries = self._bench.log[self.state.next_offset :]
        for offset, data in enumerate(entries, self.state.next_offset):
            decision = fold.fold(self.state, offset, data)
            self._bench.decisions[offset] = decision

    async def commit(self, body, timeout_s):
        """Append a record and return the decision on it."""
        self.attempts.append(body)
        if not self.has_log:
            raise errors.PlatformUnavailable('the log is down')
        offset = self._bench.append(self, body)
        self.catch_up()
        if self.loses_answers:
            self.loses_answers = False
            raise errors.OutcomeUnknown('no response to the append')
        return self._bench.decisions[offset]

    def listed(self):
        """Return the names of entry hosts in the host list."""
        return self._bench.listed()

    def note(self, digest):
        """Record a digest received from a peer."""
        self.table.note(digest, self.clock.monotonic_s())

    def digest(self):
        """Return this daemon's digest."""
        request_counts = collections.Counter(host for host, _ in self.requests)
        return peer_digests.PeerDigest(
            daemon=self.name,
            incarnation=self.incarnation,
            zone=self.zone,
            next_offset=self.state.next_offset,
            revision=self.state.revision,
            busy_hosts=dict(request_counts),
        )

    def serve(self):
        """Finish requests that are due, and send one to each usable host."""
        now_s = self._bench.clock.now_s()
        self.requests = [r for r in self.requests if r[1] > now_s]
        self.requests += [
            (host, now_s + REQUEST_DURATION_S)
            for host in self._bench.watched
            if host not in self.state.disruptions
            and self._bench.hosts.hosts[host].is_live
        ]


class Bench:
    """Simulation with the log, the platform and some entry hosts.

    :param fleet: the declared fleet
    :param zones: zone of each entry host, by name
    :ivar watched: hosts that the entry hosts send requests to
    :ivar stale_list: whether the host list still contains removed entry hosts
    :ivar max_unavailable_seen: largest number of executors of each service
        that were unavailable at once
    """

    def __init__(self, fleet, zones):
        self.clock = Clock()
        self.fleet = fleet
        self.log = []
        self.decisions = {}
        self.watched = []
        self.stale_list = False
        self.hosts = Hosts(self, fleet)
        self.daemons = [Daemon(self, n, z) for n, z in zones.items()]
        self.max_unavailable_seen = collections.Counter()

    def append(self, writer, body):
        """Append a record to the log and return its offset."""
        record = records.Record(
            record_id=f'r{len(self.log)}',
            writer=getattr(writer, 'incarnation', writer),
            stamp_s=self.clock.now_s(),
            body=body,
        )
        self.log.append(records.encode(record))
        return len(self.log) - 1

    def listed(self):
        """Return the entry hosts in the host list."""
        return frozenset(
            d.name for d in self.daemons if d.is_listed or self.stale_list
        )

    def requests_at(self, host):
        """Return the number of requests that run at a host."""
        now_s = self.clock.now_s()
        return sum(
            1
            for daemon in self.daemons
            for name, ends_s in daemon.requests
            if name == host and ends_s > now_s
        )

    def check(self):
        """Check disruption budgets against the true state of the hosts."""
        away = collections.Counter(
            endpoint.service
            for endpoint in self.fleet.endpoints.values()
            if self._is_unavailable(endpoint.host)
        )
        for service, count in away.items():
            self.max_unavailable_seen[service] = max(
                self.max_unavailable_seen[service], count
            )
            service_budget = budget.budget_of(self.fleet, service)
            if count > service_budget.max_unavailable:
                self.hosts.violations.append(f'{service} misses {count}')

    def _is_unavailable(self, name):
        host = self.hosts.hosts[name]
        return host.is_leaving or not host.is_live

    async def step(self, seconds=1.0):
        """Advance time, and run each daemon that isn't paused once."""
        self.clock.elapsed_s += seconds
        self.hosts.advance()
        running = [daemon for daemon in self.daemons if daemon.is_running]
        for daemon in running:
            daemon.clock.elapsed_s = self.clock.elapsed_s
            daemon.catch_up()
            daemon.serve()
        for daemon in running:
            self._exchange(daemon, running)
        for daemon in running:
            await daemon.maintainer.tick()
        self.check()

    def _exchange(self, daemon, running):
        for other in running:
            is_partitioned = daemon.is_cut_off or other.is_cut_off
            if daemon.zone == other.zone or not is_partitioned:
                other.note(daemon.digest())
