"""Simulation of several daemons on a fake platform in virtual time.

The daemons run the production code except for the sockets. The fakes check
every start, stop and host order while it happens and record violations.
"""

import asyncio
import collections
import contextvars
import json
import random

import attrs

from fakes import host_service
from fakes import keyed_store
from fakes import links
from fakes import task_executors
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import workspaces as workspaces_module
from hawthorndeal_platform import host_orders
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import peer_calls
from hawthorndeal_scheduler import call_effect
from hawthorndeal_scheduler import call_handler
from hawthorndeal_scheduler import callers
from hawthorndeal_scheduler import candidate
from hawthorndeal_scheduler import offerer
from hawthorndeal_scheduler import parts
from hawthorndeal_scheduler import peer_client
from hawthorndeal_scheduler import relay
from hawthorndeal_scheduler import settings as settings_module
from stage import run_checker
from stage import virtual_time

OPERATORS = keyed_log.Partition('operators')
ENTRIES = keyed_log.Partition('entries')
JOBS = parts.JOBS
STATUSES = parts.STATUSES
HEARTBEAT_INTERVAL_S = 1.5
RACK_HOSTS = 4
ZONES = ('cz-a', 'cz-b', 'cz-c')
HOST_LEASE_S = 3.0
# Jobs per second that are owed to a workspace.
WEIGHT = 5.0
# Limits of entry hosts, as fields of the settings.
WEAK_HOST = {'processor_share': 0.26, 'processor_count': 2, 'link_mbps': 5.0}
STRONG_HOST = {
    'processor_share': 0.537,
    'processor_count': 4,
    'link_mbps': 100.0,
}
# Time for which a host is down after a task has crashed its executor.
CRASH_DOWN_S = 3.2
# Events that docs/OPERATIONS.md need not list.
UNDOCUMENTED_EVENTS = frozenset({'advice_taken'})


class WorldFormats:
    """Codec of the fakes' records, whose values are keys of stored objects."""

    configuration_key = 'config'
    wave_prefix = 'wave/'
    key_header = 'key'

    def __init__(self):
        self.objects = {}

    def put(self, obj):
        """Store an object and return a record value that refers to it."""
        key = str(len(self.objects))
        self.objects[key] = obj
        return key.encode()

    def decode_configuration(self, value):
        """Return the configuration that a value refers to.

        :raises ValueError: if it refers to no stored object
        """
        if value.decode() not in self.objects:
            raise ValueError(f'no object {value!r:.40}')
        return self.objects[value.decode()]

    decode_wave = decode_configuration

    def decode_entry(self, executor_id, value):
        """Return the executor entry that a value refers to."""
        return self.objects[value.decode()]

    def is_job_id(self, text):
        """Return whether a text is a valid job id."""
        return bool(text)

    def decode_job(self, body):
        """Return the job that a body refers to.

        :raises ValueError: if it refers to no stored object
        """
        if body.decode(errors='replace') not in self.objects:
            raise ValueError(f'not a job: {body!r:.40}')
        return self.objects[body.decode()]


class WorldPeers:
    """Calls of one daemon to others; see :class:`peer_calls.Peers`."""

    def __init__(self, world, link):
        self._world = world
        self._link = link

    async def pass_on(self, address, daemon, call, timeout_s):
        """Return the answer of another daemon to a caller's call."""
        if self._link.is_cut:
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('no answer')
        peer = next((d for d in self._world.daemons if d.name == daemon), None)
        if peer is None or not peer.is_running:
            raise errors.PlatformUnavailable(f'{daemon} is not there')
        if peer.link.is_cut:
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('no answer')
        plain = json.loads(json.dumps(peer_client.encode_call(call)))
        answer = await peer.handler.answer(peer_client.decode_call(plain))
        if self._is_answer_lost(peer):
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('no answer')
        plain = json.loads(json.dumps(peer_client.encode_answer(answer)))
        return peer_client.decode_answer(plain)

    def _is_answer_lost(self, peer):
        if self._link.is_cut or peer.link.is_cut:
            return True
        lost_share = max(self._link.lost_share, peer.link.lost_share)
        return bool(lost_share) and self._world.rng.random() < lost_share


class Daemon:
    """One daemon without sockets.

    :param world: simulation that the daemon belongs to
    :param limits: limits of its host, as fields of the settings
    """

    def __init__(self, world, name, limits):
        self.name = name
        self._limits = limits
        self.link = links.Link(world.rng)
        # Host orders may be lost or go unanswered, but never arrive late.
        self.hosts_link = links.Link(world.rng)
        self._world = world
        self._tasks = []
        self._process = virtual_time.Process(world.loop)
        self._build_parts()

    def _build_parts(self):
        world = self._world
        adapter = parts.Adapter(
            log=keyed_store.StoreClient(world.store, self.link),
            executors=task_executors.ExecutorsClient(world, self.link),
            hosts=host_service.HostsClient(world.hosts, self.hosts_link),
            advice=world.adviser,
            formats=world.formats,
            wave_reports=world,
            operators_topic=OPERATORS.topic,
            entries_topic=ENTRIES.topic,
            close=None,
            peers=WorldPeers(world, self.link),
        )
        address = '127.0.0.1:1'
        self.parts = parts.Parts(
            settings_module.Settings(
                self.name,
                'cz-a',
                *([address] * 4),
                hosts_address=address,
                **self._limits,
            ),
            adapter,
        )
        self.parts.clock = virtual_time.VirtualClock(world.loop)
        self.parts.events = world.events_for(self.name)
        for part in (
            self.parts.status_reader,
            self.parts.jobs_reader,
            self.parts.configuration_reader,
            self.parts.entries_reader,
            *self.parts.status_followers,
            *self.parts.jobs_followers,
            self.parts.operators_follower,
            self.parts.entries_follower,
        ):
            part._clock = self.parts.clock
            part._events = self.parts.events
        self.parts.rng = random.Random(world.rng.random())
        self.interface = callers.CallersInterface(self.parts, world.formats)
        self.handler = call_handler.CallHandler(
            self.interface, self.parts, relay.Relay(self.parts)
        )
        self.announcer = relay.Announcer(self.parts)
        self.candidate = candidate.Candidate(self.parts)
        self.offerer = offerer.Offerer(self.parts, self.interface)

    def start(self):
        """Start the tasks of the daemon."""
        parts = self.parts
        self._tasks = [
            asyncio.create_task(part.run(), context=self._process.context())
            for part in (
                parts.operators_follower,
                *parts.status_followers,
                parts.log_probe,
                parts.submitter,
                self.candidate,
                self.offerer,
                self.announcer,
            )
        ]

    @property
    def is_paused(self):
        """Whether the daemon is paused."""
        return self._process.is_paused

    def pause(self, duration_s):
        """Pause the daemon; the loop has to be pausable."""
        self._process.pause()
        self._world.loop.call_later(duration_s, self._process.go_on)

    @property
    def is_running(self):
        """Whether the tasks of the daemon are running."""
        return any(not task.done() for task in self._tasks)

    async def kill(self):
        """Cancel all tasks, without releasing the ownership."""
        self._process.go_on()
        # A wait that completes while it is cancelled may swallow the first
        # cancellation.
        while any(not task.done() for task in self._tasks):
            for task in self._tasks:
                task.cancel()
            await asyncio.sleep(0)

    async def restart(self):
        """Kill the daemon and start it again with empty state."""
        await self.kill()
        self._build_parts()
        self.start()


class Events:
    """Event log of one daemon, written to the log of the simulation."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self.dropped_lines = 0

    def write(self, kind, **fields):
        """Append an event."""
        self._world.log.append(
            (round(self._world.now_s(), 4), self._name, kind, fields)
        )


class World(run_checker.RunChecker):
    """Simulated daemons, store, hosts and executors.

    :param seed: seed of all random choices
    :param limits: limits of each daemon's host, as fields of the settings
    :param has_standby: whether there are hosts on standby
    :param tells_births: whether executors say when they began
    """

    def __init__(
        self,
        seed,
        daemons=3,
        hosts_per_pool=4,
        pools=('web', 'ci'),
        limits=None,
        has_standby=True,
        tells_births=True,
    ):
        super().__init__(random.Random(seed))
        self.loop = asyncio.get_running_loop()
        # What happens on the platform belongs to no daemon.
        self._context = contextvars.copy_context()
        self.log = []
        self.store = keyed_store.KeyedStore()
        self.formats = WorldFormats()
        self.hosts = host_service.HostService(self)
        self.adviser = None
        self.waves_completed = set()
        self._last_executor_number = 0
        self._has_standby = has_standby
        self._tells_births = tells_births
        self._tasks = []
        self.configuration = None
        # Keys that callers of a queue send, by queue.
        self.keys = {}
        self._version = 0
        self._pools = pools
        for pool in (*pools, 'spare') if has_standby else pools:
            for number in range(hosts_per_pool):
                self.add_host(pool, number)
        self.configure()
        self.daemons = [
            Daemon(self, f'entry-{n}', host_limits)
            for n, host_limits in enumerate(limits or [{}] * daemons)
        ]
        self._max_hosts_down = {}

    # Platform

    def now_s(self):
        """Return the virtual time in seconds."""
        return self.loop.time()

    def _call_later(self, delay_s, callback, *arguments):
        self.loop.call_later(
            delay_s, callback, *arguments, context=self._context
        )

    def events_for(self, name):
        """Return the event log of a daemon."""
        return Events(self, name)

    async def report_wave(self, number, is_completed):
        """Receive a report on a maintenance wave."""
        if is_completed:
            self.waves_completed.add(number)

    def configure(self, workspaces=(), **changes):
        """Write a new configuration version.

        :param workspaces: the workspaces that it declares
        :param changes: queues that replace the default ones, by name; None
            for one that is removed
        """
        self._version += 1
        pool_queues = {
            pool: queues.Queue(
                pool,
                pool,
                f'{pool}.example',
                '/jobs/',
                stretch=1.6,
                latency_target_s=0.6,
            )
            for pool in self._pools
        }
        pool_queues.update(changes)
        pool_queues = {n: q for n, q in pool_queues.items() if q is not None}
        pools = {pool: queues.Pool(pool) for pool in self._pools}
        if self._has_standby:
            pools['spare'] = queues.Pool('spare', is_standby=True)
        self.configuration = queues.Configuration(
            self._version,
            pool_queues,
            pools,
            workspaces={w.name: w for w in workspaces},
        )
        self._write(OPERATORS, 'config', self.configuration)

    def declare_workspace(self, queue, name, quota):
        """Let a workspace with a quota call a queue, and send its key."""
        self.keys[queue] = f'key of {name}'
        self.quotas[queue] = quota
        digest = workspaces_module.key_digest(self.keys[queue])
        self.configure(
            [workspaces_module.Workspace(name, (digest,), WEIGHT, quota)],
            **{
                queue: attrs.evolve(
                    self.configuration.queues[queue], is_public=False
                )
            },
        )

    def add_wave(self, number, hosts, duration_s, max_count):
        """Write a maintenance wave."""
        wave = queues.Wave(number, tuple(hosts), duration_s, max_count)
        self._max_hosts_down[number] = max_count
        self._write(OPERATORS, f'wave/{number}', wave)

    def _write(self, partition, key, obj):
        value = self.formats.put(obj)
        self.store.append(partition, [journal.Record(key, value)])

    def add_host(
        self, pool, number, labels=(), capacity=task_executors.CAPACITY
    ):
        """Add a host, with further labels."""
        rack = f'r{number // RACK_HOSTS}'
        zone = ZONES[number % len(ZONES)]
        host = f'{pool}-h{number}'
        entry = host_orders.HostEntry(
            host,
            pool,
            host_orders.HostState.UP,
            zone,
            rack,
            '',
            ('a', rack, *labels),
            capacity,
        )
        self.hosts.entries[host] = entry
        self.bring_up_host(host, pool)

    def bring_up_host(self, host, pool):
        """Bring up a host in a pool; start an executor unless it is spare."""
        self._last_executor_number += 1
        # Executor ids must not reveal the order of creation.
        executor_id = f'x{self._last_executor_number * 7919 % 9973:04}'
        entry = attrs.evolve(
            self.hosts.entries[host],
            pool=pool,
            state=host_orders.HostState.UP,
            executor_id='' if pool == 'spare' else executor_id,
        )
        self.hosts.entries[host] = entry
        if pool == 'spare':
            return
        executor_entry = attrs.evolve(
            task_executors.make_entry(
                executor_id,
                host,
                pool,
                entry.zone,
                entry.rack,
                entry.capacity,
            ),
            labels=entry.labels,
            born_ms=1 if self._tells_births else 0,
        )
        rate = self.rng.uniform(0.98, 1.0)
        executor = task_executors.FakeExecutor(self, executor_entry, rate)
        executor.tells_birth = self._tells_births
        self.executors[executor_id] = executor
        self._send_heartbeat(executor)

    def _send_heartbeat(self, executor):
        if executor.is_gone:
            return
        if not executor.is_cut and self.store.is_available(ENTRIES):
            self.store_entry(executor.next_entry())
        self._call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat, executor)

    def store_entry(self, entry):
        """Store the entry of an executor."""
        self._write(ENTRIES, entry.executor_id, entry)

    def take_host_down(self, entry, pool, state, outage_s):
        """Take a host down and bring it up again later."""
        executor = self.executors.get(entry.executor_id)
        if executor is not None:
            executor.crash()
            self._drop_entry(executor)
        self.hosts.entries[entry.host] = attrs.evolve(
            entry, pool=pool, state=state, executor_id=''
        )
        self._call_later(outage_s, self.bring_up_host, entry.host, pool)

    def _drop_entry(self, executor):
        if not self.store.is_available(ENTRIES):
            self._call_later(HEARTBEAT_INTERVAL_S, self._drop_entry, executor)
            return
        self.store.append(
            ENTRIES, [journal.Record(executor.entry.executor_id)]
        )

    def crash_executor(self, executor, down_s):
        """Crash an executor with its host, and bring up the host later."""
        host = executor.entry.host
        entry = self.hosts.entries[host]
        executor.crash()
        self.hosts.entries[host] = attrs.evolve(
            entry, state=host_orders.HostState.DOWN, executor_id=''
        )
        self._call_later(4.5, self._drop_entry, executor)
        self._call_later(down_s, self.bring_up_host, host, entry.pool)

    def crash_and_return(self, executor, down_s):
        """Crash an executor, which begins again under its id later."""
        host = executor.entry.host
        entry = self.hosts.entries[host]
        executor.crash()
        self.hosts.entries[host] = attrs.evolve(
            entry, state=host_orders.HostState.DOWN, executor_id=''
        )

        def come_back():
            self.hosts.entries[host] = entry
            executor.come_back()
            self._send_heartbeat(executor)

        self._call_later(down_s, come_back)

    def is_host_up(self, host):
        """Return whether an executor may run on a host."""
        return self.hosts.entries[host].state is host_orders.HostState.UP

    def begin_crash(self, executor, run):
        """Crash an executor some time after a task that does so began."""
        delay_s = self.crash_delays_s.get(run.task_id)
        if delay_s == 0.0:
            self._crash_by(executor, run)
        elif delay_s is not None:
            self._call_later(delay_s, self._crash_by, executor, run)

    def _crash_by(self, executor, run):
        executor.advance()
        if executor.is_gone or (run.task_id, run.number) not in executor.runs:
            return
        self.crashed_executors[run.task_id].append(executor.entry.executor_id)
        self.crash_executor(executor, CRASH_DOWN_S)
        if self._spec(run.task_id).is_gang:
            for other in list(self.executors.values()):
                other.break_gang(run.task_id, run.number)

    def find_record(self, key):
        """Return the newest stored job record with a key, or None."""
        partitions = [JOBS, *self.daemons[0].parts.submission_partitions]
        found = [self.store.find(partition, key) for partition in partitions]
        stored = [r for r in found if r is not None and r.value]
        return max(stored, key=_stamp, default=found[0])

    def stored_status(self, job_id):
        """Return the stored status of a job, or None."""
        key = f'{journal.STATUS}/{job_id}'
        partitions = self.daemons[0].parts.status_partitions
        found = [self.store.find(partition, key) for partition in partitions]
        stored = [
            journal.decode(record.value, journal.JobStatus)
            for record in found
            if record is not None and record.value
        ]
        return max(
            stored, key=lambda status: status.state.progress, default=None
        )

    def check_host_order(self, entry, wave, holder):
        """Check a host order against running tasks, leases and wave limits."""
        executor = self.executors.get(entry.executor_id)
        if executor is not None:
            executor.advance()
            for key in executor.runs:
                self._check_displaced(key[0])
        for sent_s, host, other in self.hosts.orders[:-1]:
            if other.daemon != holder.daemon and other.epoch == holder.epoch:
                self.record_violation(
                    'two holders of one epoch', host=entry.host
                )
            # The remaining invariants apply to each host separately.
            if host != entry.host:
                continue
            if other.epoch > holder.epoch:
                self.record_violation(
                    'host order of a superseded epoch', host=entry.host
                )
            if other.daemon == holder.daemon:
                continue
            if self.now_s() - sent_s < HOST_LEASE_S:
                self.record_violation(
                    'host order before the lease of another holder expired',
                    host=entry.host,
                )
        if wave is not None:
            down = sum(
                other.state is host_orders.HostState.IN_MAINTENANCE
                for other in self.hosts.entries.values()
            )
            if down >= self._max_hosts_down[wave]:
                self.record_violation(
                    'wave limit of hosts down exceeded', wave=wave
                )

    def _check_displaced(self, task_id):
        self.record_violation(
            'host order while a task is running', task=str(task_id)
        )

    # Requests of callers

    def spec_body(self, spec):
        """Return a request body that refers to a job."""
        return self.formats.put(spec)

    async def submit(self, daemon, pool, job_id, spec):
        """Submit a job; return the reason of a refusal, or None."""
        self.specs[job_id] = spec
        self.queues[job_id] = pool
        body = self.spec_body(spec)
        return await self.submit_body(daemon, pool, job_id, body)

    async def submit_body(self, daemon, pool, job_id, body):
        """Submit a request body; return the reason of a refusal, or None."""
        try:
            queue, _ = daemon.interface.find_queue(
                f'{pool}.example', f'/jobs/{job_id}'
            )
            access = self._authorize(daemon, queue)
            await daemon.interface.submit(access, job_id, body)
        except errors.RequestFailed as failure:
            return failure.reason
        return None

    def _authorize(self, daemon, queue):
        return daemon.interface.authorize(
            queue, self.keys.get(queue.name), call_effect.CallEffect()
        )

    async def call(self, daemon, method, pool, job_id, spec=None):
        """Return the answer of a daemon to a call, as by HTTP."""
        body = b''
        if spec is not None:
            self.specs[job_id] = spec
            self.queues[job_id] = pool
            body = self.spec_body(spec)
        call = peer_calls.CallerCall(
            method,
            f'{pool}.example',
            f'/jobs/{job_id}',
            self.keys.get(pool),
            body,
        )
        return await daemon.handler.answer(call)

    async def state(self, daemon, pool, job_id):
        """Return the state of a job that a daemon reports."""
        configuration = daemon.parts.configuration_reader.configuration
        if configuration is None:
            return errors.NotReady.reason
        queue = configuration.queues[pool]
        try:
            access = self._authorize(daemon, queue)
            status = await daemon.interface.find(access, job_id)
        except errors.RequestFailed as failure:
            return failure.reason
        return status.state.value if status is not None else 'unknown'

    async def cancel(self, daemon, pool, job_id):
        """Cancel a job; return whether the cancellation was acknowledged."""
        queue = daemon.parts.configuration_reader.configuration.queues[pool]
        try:
            access = self._authorize(daemon, queue)
            exists = await daemon.interface.cancel(access, job_id)
        except errors.RequestFailed:
            return False
        self.cancelled.setdefault(job_id, self.now_s())
        return exists

    async def start(self):
        """Start all daemons and wait up to 10 s until one is the owner."""
        for daemon in self.daemons:
            daemon.start()
        await self.wait_for(lambda: self.owner is not None, 10.0)

    @property
    def owner(self):
        """The daemon with the newest ownership that is not lost, or None."""
        owners = [
            daemon
            for daemon in self.daemons
            if daemon.candidate.owner is not None
            and not daemon.candidate.owner.term.is_lost
        ]
        return max(owners, key=lambda d: d.candidate.owner.epoch, default=None)

    async def wait_for(self, is_met, timeout_s):
        """Wait for a condition; return whether it was met in time."""
        deadline_s = self.now_s() + timeout_s
        while not is_met():
            if self.now_s() > deadline_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def stop(self):
        """Kill all daemons."""
        for daemon in self.daemons:
            await daemon.kill()

    def running(self, job_id):
        """Return the executor ids of the runs of a job, by task."""
        found = collections.defaultdict(list)
        for executor in self.executors.values():
            executor.advance()
            for key in executor.runs:
                if key[0].job_id == job_id:
                    found[key[0]].append(executor.entry.executor_id)
        return found

    def event_log_text(self):
        """Return the event log as text, for messages of failed scenarios."""
        return '\n'.join(
            f'{time_s:9.4f} {name} {kind} {json.dumps(fields, default=str)}'
            for time_s, name, kind, fields in self.log
        )


def _stamp(record):
    """Return what tells the newest of several records of a key."""
    return json.loads(record.value).get('s', list(journal.NO_STAMP))


def one_step(count, estimate_s=0.5, cores=1.0, **options):
    """Return a job of one step."""
    request = specs.Resources(int(cores * 1000), 1024)
    step = specs.StepSpec(count, request, estimate_s, **options)
    return specs.JobSpec('payload', (step,))


def chain(*counts, estimate_s=0.4, cores=1.0, payload='payload', **options):
    """Return a job of consecutive steps with these numbers of tasks."""
    request = specs.Resources(int(cores * 1000), 1024)
    steps = tuple(
        specs.StepSpec(
            count,
            request,
            estimate_s,
            after=(number - 1,) if number else (),
            **options,
        )
        for number, count in enumerate(counts)
    )
    return specs.JobSpec(payload, steps)
