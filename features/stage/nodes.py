"""Daemons reduced to their log follower and writer, in one process."""

import random
import types

import attrs

from fakes import log as fake_log
from hawthorndeal_daemon import checkpointer
from hawthorndeal_daemon import follower
from hawthorndeal_daemon import loader
from hawthorndeal_daemon import restarter
from hawthorndeal_daemon import writer
from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import divergence
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import peer_digests
from hawthorndeal_platform import protocols

from . import folding

STREAM = 'hd'
CHECKPOINTS = STREAM + loader.CHECKPOINT_SUFFIX
RETENTION_S = 1000.0
RESTART_WAIT_S = 10.0
STALE_ENTRIES = 2
SETTINGS = types.SimpleNamespace(
    platform=types.SimpleNamespace(stream=STREAM),
    log_poll_s=0.01,
    log_retention_s=RETENTION_S,
    log_restart_wait_s=RESTART_WAIT_S,
    peer_period_s=2.0,
    peers=[],
    peer_token='',
)


@attrs.define
class Clock:
    """A clock that the scenario sets."""

    time_s: float = folding.START_S

    def now_s(self):
        """Return the time in seconds since the epoch."""
        return self.time_s

    monotonic_s = now_s


class FaultyLog:
    """Connection of one daemon to the log; see :class:`protocols.Log`.

    :ivar mode: ``ok``, ``down``, ``lost`` (an append succeeds, its answer is
        lost), ``twice`` (an append is applied twice) or ``old`` (the log seems
        to end after ``STALE_ENTRIES``)
    """

    def __init__(self, streams):
        self._streams = streams
        self.mode = 'ok'

    async def append(self, stream, entries):
        """Append encoded records and return the offset of the first."""
        self._refuse_if_down()
        offset = self._streams.append(stream, entries)
        if self.mode == 'twice':
            self._streams.append(stream, entries)
        if self.mode == 'lost':
            raise errors.OutcomeUnknown('the answer was lost')
        return offset

    async def read(self, stream, offset, limit=1000):
        """Return the page at an offset; it is empty at the end of the log."""
        self._refuse_if_down()
        if self.mode == 'old' and offset > STALE_ENTRIES:
            raise errors.OffsetBeyondEnd(offset, STALE_ENTRIES)
        status, answer = self._streams.read(stream, offset, limit)
        if status == 410:
            raise errors.OffsetExpired(offset, answer['first_offset'])
        if status == 416:
            raise errors.OffsetBeyondEnd(offset, answer['next_offset'])
        entries = (protocols.Entry(*pair) for pair in answer['entries'])
        return protocols.Page(
            tuple(entries), answer['next_offset'], answer['is_last']
        )

    def _refuse_if_down(self):
        if self.mode == 'down':
            raise errors.PlatformUnavailable('the log is down')


class InProcessLoader(loader.Loader):
    """Load state from the reachable nodes instead of peers over HTTP."""

    def __init__(self, node):
        super().__init__(node.link, SETTINGS)
        self._node = node

    async def _from_peers(self, known, needed_offset):
        states = [
            other.state
            for other in self._node.reachable_nodes()
            if other.state.next_offset >= needed_offset
            and (other.state.epoch, other.state.next_offset)
            > (known.epoch, known.next_offset)
        ]
        best = max(
            states,
            key=lambda state: (state.epoch, state.next_offset),
            default=None,
        )
        return best and checkpoint.load(checkpoint.dump(best))


class Node:
    """The log follower, writer and checkpointer of one daemon.

    :param cluster: cluster that the node belongs to
    :param name: name, also used as the incarnation
    """

    def __init__(self, cluster, name):
        self._cluster = cluster
        self.name = name
        self.link = FaultyLog(cluster.streams)
        self.is_cut_off = False
        clock = cluster.clock
        self.table = peer_digests.PeerTable()
        self.follower = follower.Follower(
            self.link, SETTINGS, clock, name, InProcessLoader(self)
        )
        self.writer = writer.Writer(self.link, self.follower, name, clock)
        self.checkpointer = checkpointer.Checkpointer(
            self.link,
            self.follower,
            self.writer,
            SETTINGS,
            clock,
            random.Random(name),
        )
        self.restarter = restarter.LogRestarter(
            self.link,
            self.follower,
            self.checkpointer,
            self,
            SETTINGS,
            name,
            clock,
        )
        self.progress = []

    @property
    def state(self):
        """The folded state."""
        return self.follower.state

    def reachable_nodes(self):
        """Return the nodes that this node can reach."""
        return [
            node
            for node in self._cluster.nodes.values()
            if node is not self and not node.is_cut_off and not self.is_cut_off
        ]

    def receive_digests(self):
        """Record the digests of all reachable nodes."""
        for node in self.reachable_nodes():
            self.table.note(node.digest(), self._cluster.clock.monotonic_s())

    def digest(self):
        """Return the digest that the node sends to its peers."""
        state = self.state
        return peer_digests.PeerDigest(
            daemon=self.name,
            incarnation=self.name,
            zone='',
            next_offset=state.next_offset,
            revision=state.revision,
            busy_hosts={},
            point=divergence.state_point(state),
            is_log_behind=self.follower.is_log_behind,
        )

    async def catch_up(self):
        """Read the log until its end or a failed read, and record progress."""
        if not self.state.next_offset:
            await self.follower.reload(0)
        while not await self.follower.read_once():
            pass
        self.record_progress()

    def record_progress(self):
        """Record offset and revision; check for divergence from all nodes."""
        state = self.state
        self.progress.append((state.next_offset, state.revision))
        for node in self._cluster.nodes.values():
            assert not divergence.is_diverged(state, node.digest().point), (
                self.name,
                node.name,
                state.next_offset,
            )

    async def send(self, body, record_id=None):
        """Append a record without waiting for its decision."""
        record_id = record_id or self._cluster.new_id()
        data = folding.encode(
            body, record_id, self.name, self._cluster.clock.now_s()
        )
        await self.writer.append([data])
        return record_id

    async def join(self):
        """Read the log, append a join record and read it back."""
        await self.catch_up()
        await self.send(folding.make_daemon_joined(self.name))
        await self.catch_up()

    def make_weight_apply(self, moves, apply_id):
        """Return an apply that sets one weight, based on the folded state."""
        new = {**self.state.document, 'weights': {'moves': float(moves)}}
        return configuration.make_config_applied(
            self.state.document, self.state.revision, new, apply_id, 'ops'
        )


class Cluster:
    """The nodes of a scenario and their shared log."""

    def __init__(self, names=()):
        self.streams = fake_log.Streams(1_000_000)
        self.clock = Clock()
        self.nodes = {}
        self._ids = 0
        for name in names:
            self.add(name)

    def add(self, name):
        """Add a node, replacing any node of the same name."""
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    def new_id(self):
        """Return a unique record id."""
        self._ids += 1
        return f'id-{self._ids}'

    def end_of_log(self):
        """Return the next offset of the record stream."""
        return self.streams.read(STREAM, 10**9, 1)[1].get('next_offset', 0)

    async def start(self, document):
        """Let all nodes join, and apply a document on the first one."""
        for node in self.nodes.values():
            await node.join()
        first = next(iter(self.nodes.values()))
        body = configuration.make_config_applied(
            {}, 0, document, 'first', 'ops'
        )
        await first.send(body)
        await self.catch_up()

    async def catch_up(self):
        """Let every node read to the end of the log."""
        for node in self.nodes.values():
            await node.catch_up()

    async def settle(self, rounds=3):
        """Advance time in rounds of digest exchange and restart checks."""
        for _ in range(rounds):
            self.clock.time_s += RESTART_WAIT_S
            for node in self.nodes.values():
                node.receive_digests()
            for node in self.nodes.values():
                await node.restarter.check()
                await node.catch_up()

    def check(self):
        """Check that no node's offset or revision ever decreased."""
        for node in self.nodes.values():
            assert node.progress == sorted(node.progress), (
                node.name,
                node.progress,
            )
            for index in (0, 1):
                observed = [progress[index] for progress in node.progress]
                assert observed == sorted(observed), (node.name, observed)
