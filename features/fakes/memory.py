"""The platform and entry hosts in one process, in virtual time."""

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
REQUEST_S = 15.0
REBOOT_S = 20.0
LATE_S = 60.0


class Clock:
    """Tell the bench's time, for as long as its daemon isn't paused."""

    def __init__(self):
        self.elapsed_s = 0.0

    def now_s(self):
        """Return seconds since the epoch."""
        return START_S + self.elapsed_s

    def monotonic_s(self):
        """Return seconds since the bench began."""
        return self.elapsed_s


@attrs.define
class Host:
    """Hold what the platform knows of a host."""

    pool: str
    boot: int = 1
    is_live: bool = True
    is_leaving: bool = False
    is_failed: bool = False
    back_s: float = 0.0
    tasks: int = 2

    def status(self):
        """Return the status as the platform tells it."""
        return maintenance.HostStatus(
            is_live=self.is_live,
            is_leaving=self.is_leaving,
            boot_id=str(self.boot),
            pool=self.pool,
            tasks=self.tasks,
        )


class Hosts:
    """Work on hosts, count what is away, and lose or delay answers.

    :ivar lost: verbs whose next answer is lost after their effect
    :ivar delayed: verbs whose next call takes effect much later
    :ivar unavailable: verbs that fail without an effect
    :ivar violations: what the stand-in itself saw go wrong
    """

    def __init__(self, bench, fleet):
        self._bench = bench
        self.hosts = {n: Host(h.pool) for n, h in fleet.hosts.items()}
        self.lost = set()
        self.delayed = set()
        self.never_back = set()
        self.unavailable = set()
        self.events = []
        self.violations = []
        self._late = []
        self.frozen_list = None

    async def list(self):
        """Return the status of every host."""
        return {name: host.status() for name, host in self.hosts.items()}

    async def get(self, host):
        """Return the status of one host."""
        return self.hosts[host].status()

    async def drain(self, host, deadline_s):
        """Take the tasks off a host."""
        self._call('drain', host, deadline_s)

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host; a second call would reboot it again."""
        self._call('reboot', host, deadline_s)

    async def move(self, host, pool, deadline_s):
        """Put a host into a pool."""
        self._call('move', host, deadline_s, pool)

    async def restore(self, host, deadline_s):
        """Let a host take tasks again."""
        self._call('restore', host, deadline_s)

    def _call(self, verb, host, deadline_s, *more):
        if verb in self.unavailable:
            raise errors.PlatformUnavailable(f'{verb} of {host}: down')
        if verb in self.delayed:
            self.delayed.discard(verb)
            at_s = self._bench.clock.now_s() + LATE_S
            self._late.append((at_s, verb, host, deadline_s, more))
            raise errors.OutcomeUnknown(f'{verb} of {host}: timed out')
        self._do(verb, host, deadline_s, more)
        if verb in self.lost:
            self.lost.discard(verb)
            raise errors.OutcomeUnknown(f'{verb} of {host}: answer lost')

    def _do(self, verb, host, deadline_s, more):
        if self._bench.clock.now_s() > deadline_s:
            raise errors.PlatformRefused(f'{verb} of {host}: too late')
        self.events.append((verb, host))
        known = self.hosts[host]
        if verb == 'drain':
            known.is_leaving = True
            known.tasks = 0
        elif verb == 'restore':
            known.is_leaving = False
        elif verb == 'move':
            self._note_stop(host)
            known.pool = more[0]
        else:
            self._note_stop(host)
            known.is_live = False
            known.boot += 1
            known.back_s = self._bench.clock.now_s() + REBOOT_S
        self._bench.check()

    def _note_stop(self, host):
        cut_off = self._bench.requests_at(host)
        if cut_off or self.hosts[host].tasks:
            self.violations.append(f'{host} stopped with {cut_off} requests')

    def fail(self, host):
        """Have a host fail."""
        self.hosts[host].is_failed = True
        self.hosts[host].is_live = False

    def mend(self, host):
        """Have a failed host work again, with a new boot."""
        known = self.hosts[host]
        known.is_failed = False
        known.is_live = True
        known.boot += 1

    def advance(self):
        """Finish reboots and carry out calls that were delayed."""
        now_s = self._bench.clock.now_s()
        for name, host in self.hosts.items():
            is_due = not host.is_live and not host.is_failed
            if is_due and now_s >= host.back_s and name not in self.never_back:
                host.is_live = True
        late = [call for call in self._late if call[0] <= now_s]
        self._late = [call for call in self._late if call[0] > now_s]
        for _, verb, host, deadline_s, more in late:
            try:
                self._do(verb, host, deadline_s, more)
            except errors.PlatformRefused:
                self.events.append(('refused', host))


class Daemon:
    """Run the real maintainer of one entry host, with its own state.

    :ivar is_running: whether it isn't lost or paused
    :ivar has_log: whether it reaches the log
    :ivar is_cut_off: whether its zone is cut off from the others
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
        """Fold what the log holds."""
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
            raise errors.OutcomeUnknown('the append was not answered')
        return self._bench.decisions[offset]

    def listed(self):
        """Return the names in the host list."""
        return self._bench.listed()

    def note(self, digest):
        """Keep a digest that was just heard."""
        self.table.note(digest, self.clock.monotonic_s())

    def digest(self):
        """Return this daemon's digest."""
        busy = collections.Counter(host for host, _ in self.requests)
        return peer_digests.PeerDigest(
            daemon=self.name,
            incarnation=self.incarnation,
            zone=self.zone,
            next_offset=self.state.next_offset,
            revision=self.state.revision,
            busy_hosts=dict(busy),
        )

    def serve(self):
        """Finish requests and send new ones where hosts may have them."""
        now_s = self._bench.clock.now_s()
        self.requests = [r for r in self.requests if r[1] > now_s]
        self.requests += [
            (host, now_s + REQUEST_S)
            for host in self._bench.watched
            if host not in self.state.disruptions
            and self._bench.hosts.hosts[host].is_live
        ]


class Bench:
    """Hold the log, the platform and some entry hosts.

    :param fleet: the declared fleet
    :param zones: zone of each entry host, by name
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
        self.most_away = collections.Counter()

    def append(self, writer, body):
        """Put a record into the log and return its offset."""
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
        """Return the requests that run at a host."""
        now_s = self.clock.now_s()
        return sum(
            1
            for daemon in self.daemons
            for name, ends_s in daemon.requests
            if name == host and ends_s > now_s
        )

    def check(self):
        """Count what is away by what the platform itself shows."""
        away = collections.Counter(
            endpoint.service
            for endpoint in self.fleet.endpoints.values()
            if self._is_away(endpoint.host)
        )
        for service, count in away.items():
            self.most_away[service] = max(self.most_away[service], count)
            bought = budget.budget_of(self.fleet, service)
            if count > bought.max_unavailable:
                self.hosts.violations.append(f'{service} misses {count}')

    def _is_away(self, name):
        host = self.hosts.hosts[name]
        return host.is_leaving or not host.is_live

    async def step(self, seconds=1.0):
        """Let a moment pass for everyone that runs."""
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
            is_apart = daemon.is_cut_off or other.is_cut_off
            if daemon.zone == other.zone or not is_apart:
                other.note(daemon.digest())
