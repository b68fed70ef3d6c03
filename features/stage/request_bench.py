"""Entry hosts, endpoints and the log in one process and event loop."""

import asyncio
import random
import time

from fakes import memory_log
from fakes import raw_endpoint
from hawthorndeal_daemon import claim_returns
from hawthorndeal_daemon import dispatcher
from hawthorndeal_daemon import endpoints
from hawthorndeal_daemon import follower
from hawthorndeal_daemon import settings
from hawthorndeal_daemon import writer
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import state as state_module

MAX_ANSWER_BYTES = 100_000
BODY = b'the whole request'


class Clock:
    """The system clock plus an offset.

    :ivar offset_s: offset that a test sets
    """

    def __init__(self):
        self.offset_s = 0.0

    def now_s(self):
        """Return the time in seconds since the epoch."""
        return time.time() + self.offset_s

    def monotonic_s(self):
        """Return monotonic time."""
        return time.monotonic() + self.offset_s


def make_settings(**changes):
    """Return settings of an entry host, with placeholder addresses."""
    return settings.Settings(
        daemon='d',
        zone='z0',
        callers_address='127.0.0.1:1',
        control_address='127.0.0.1:2',
        platform=settings.Platform('http://log', 'http://hosts'),
        log_poll_s=0.02,
        claim_timeout_s=0.3,
        **changes,
    )


class Forwarder:
    """Forward requests to other entry hosts of the bench.

    :ivar entry_hosts: entry hosts by address, which equals the name here
    """

    def __init__(self):
        self.entry_hosts = {}

    async def send(self, request, address, timeout_s):
        """Return the answer of another entry host to a request."""
        entry_host = self.entry_hosts[address]
        if entry_host.is_killed:
            raise errors.TicketHolderUnreachable(address)
        return await entry_host.dispatcher.serve(request, is_forwarded=True)


class EntryHost:
    """The request path of one entry host.

    :param name: unique name, also the incarnation and address
    :param document: fleet document as plain data
    """

    def __init__(self, name, log, document):
        self.name = name
        self.clock = Clock()
        options = make_settings()
        self.follower = follower.Follower(log, options, self.clock)
        configuration.install_patch(self.follower.state, document)
        self.follower.state.members[name] = state_module.Member(
            name, name, 'z0', name, 0, 1
        )
        self.writer = writer.Writer(log, self.follower, name, self.clock)
        self.returner = claim_returns.ClaimReturner(self.writer, self.clock)
        self.client = endpoints.EndpointClient(MAX_ANSWER_BYTES, self.clock)
        self.forwarder = Forwarder()
        self.router = routing.Router('z0')
        self.dispatcher = dispatcher.Dispatcher(
            self.follower,
            self.writer,
            self.router,
            self.client,
            self.returner,
            self.forwarder,
            name,
            options,
            self.clock,
            random.Random(3),
        )
        self._tasks = []
        self.is_killed = False

    def start(self):
        """Start the follower, the writer and the claim returner."""
        self._tasks = [
            asyncio.create_task(part.run())
            for part in (self.follower, self.writer, self.returner)
        ]

    async def kill(self):
        """Cancel all tasks at once, as if the process were killed."""
        self.is_killed = True
        running = [*self._tasks, *self.dispatcher._shielded_tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.client.close()

    async def send(
        self,
        request_id,
        is_idempotent,
        deadline_s=2.0,
        urgency=None,
        ticket='',
        body=BODY,
    ):
        """Send a request; return its outcome, its reason and the answer.

        The reason of an answer is its status, and a failed request has the
        error in place of the answer.
        """
        request = calls.Request(
            workspace='w',
            service='checker',
            request_id=request_id,
            deadline_s=time.time() + deadline_s,
            is_idempotent=is_idempotent,
            urgency=urgency or calls.Urgency.INTERACTIVE,
            body=body,
            ticket=ticket,
        )
        try:
            answer = await self.dispatcher.serve(request)
        except errors.RequestFailed as failure:
            return failure.outcome, failure.reason, failure
        return 'answered', str(answer.status), answer


class Bench:
    """Entry hosts, an endpoint in their zone and one in another zone."""

    def __init__(self, entry_hosts=2):
        self._count = entry_hosts
        self.log = memory_log.MemoryLog()
        self.near = raw_endpoint.RawEndpoint()
        self.far = raw_endpoint.RawEndpoint()
        self.entry_hosts = []

    async def __aenter__(self):
        """Start the endpoints and the entry hosts."""
        await self.near.start()
        await self.far.start()
        document = self._document()
        self.entry_hosts = [
            EntryHost(f'entry{number}', self.log, document)
            for number in range(self._count)
        ]
        for entry_host in self.entry_hosts:
            entry_host.start()
            self._connect_peers(entry_host)
        return self

    def _connect_peers(self, entry_host):
        for other in self.entry_hosts:
            entry_host.forwarder.entry_hosts[other.name] = other
            entry_host.follower.state.members[other.name] = (
                other.follower.state.members[other.name]
            )

    async def __aexit__(self, *exc_info):
        """Stop the entry hosts and the endpoints."""
        for entry_host in self.entry_hosts:
            await entry_host.kill()
        await self.near.stop()
        await self.far.stop()

    def runs(self, request_id):
        """Return the numbers of runs of a request at both endpoints."""
        return self.near.runs[request_id], self.far.runs[request_id]

    def _document(self):
        locations = {'near': ('z0', self.near), 'far': ('z1', self.far)}
        host = {
            'pool': 'p',
            'cpu_cores': 16,
            'memory_bytes': 2**36,
        }
        return {
            'zones': {zone: {'region': 'r'} for zone in ('z0', 'z1')},
            'pools': {'p': {}},
            'hosts': {
                f'{name}-h': {**host, 'zone': zone, 'rack': zone}
                for name, (zone, _) in locations.items()
            },
            'services': {'checker': {'workspace': 'w', 'pool': 'p'}},
            'endpoints': {
                name: {
                    'service': 'checker',
                    'host': f'{name}-h',
                    'address': endpoint.address,
                }
                for name, (_, endpoint) in locations.items()
            },
            'workspaces': {'w': {'quota': {'requests_in_flight': 200}}},
        }


async def wait_for(check, timeout_s=3.0):
    """Wait until a check returns true."""
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.005)
