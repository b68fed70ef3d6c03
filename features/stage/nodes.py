"""Daemons reduced to what follows and writes the log, in one process."""

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
OLD_ENTRIES = 2
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
    """Tell the time that a scenario sets."""

    time_s: float = folding.START_S

    def now_s(self):
        """Return seconds since the epoch."""
        return self.time_s

    monotonic_s = now_s


class Link:
    """Be one daemon's way to the log; see :class:`protocols.Log`.

    :ivar mode: ``ok``, ``down``, ``lost`` (the answer, after the effect),
        ``twice`` (the effect) or ``old`` (what is read)
    """

    def __init__(self, streams):
        self._streams = streams
        self.mode = 'ok'

    async def append(self, stream, entries):
        """Append plain data and return the offset of the first."""
        self._refuse_if_down()
        offset = self._streams.append(stream, entries)
        if self.mode == 'twice':
            self._streams.append(stream, entries)
        if self.mode == 'lost':
            raise errors.OutcomeUnknown('the answer was lost')
        return offset

    async def read(self, stream, offset, limit=1000):
        """Return the page at an offset; an empty page at the end."""
        self._refuse_if_down()
        if self.mode == 'old' and offset > OLD_ENTRIES:
            raise errors.OffsetBeyondEnd(offset, OLD_ENTRIES)
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


class NeighbourLoader(loader.Loader):
    """Ask the nodes of the scenario instead of peers by HTTP."""

    def __init__(self, node):
        super().__init__(node.link, SETTINGS)
        self._node = node

    async def _from_peers(self, known, needed_offset):
        states = [
            other.state
            for other in self._node.others()
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
    """Follow and write the log as a daemon does.

    :param cluster: the scenario's nodes
    :param name: its incarnation too
    """

    def __init__(self, cluster, name):
        self._cluster = cluster
        self.name = name
        self.link = Link(cluster.streams)
        self.is_cut_off = False
        clock = cluster.clock
        self.table = peer_digests.PeerTable()
        self.follower = follower.Follower(
            self.link, SETTINGS, clock, name, NeighbourLoader(self)
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
        self.seen = []

    @property
    def state(self):
        """Return the folded state."""
        return self.follower.state

    def others(self):
        """Return the nodes that this one can reach."""
        return [
            node
            for node in self._cluster.nodes.values()
            if node is not self and not node.is_cut_off and not self.is_cut_off
        ]

    def hear(self):
        """Take in the digests of the nodes that can be reached."""
        for node in self.others():
            self.table.note(node.digest(), self._cluster.clock.monotonic_s())

    def digest(self):
        """Return the digest that it would tell its peers."""
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
        """Read to the end, or to a failure; note what never may fall."""
        if not self.state.next_offset:
            await self.follower.reload(0)
        while not await self.follower.read_once():
            pass
        self.note_seen()

    def note_seen(self):
        """Note offset, revision and digest as they are now."""
        state = self.state
        self.seen.append((state.next_offset, state.revision))
        for node in self._cluster.nodes.values():
            assert not divergence.is_diverged(state, node.digest().point), (
                self.name,
                node.name,
                state.next_offset,
            )

    async def send(self, body, record_id=None):
        """Append a record without waiting for the decision on it."""
        record_id = record_id or self._cluster.new_id()
        data = folding.encode(
            body, record_id, self.name, self._cluster.clock.now_s()
        )
        await self.writer.append([data])
        return record_id

    async def join(self):
        """Read the log, join, and read that back."""
        await self.catch_up()
        await self.send(folding.joined(self.name))
        await self.catch_up()

    def applied(self, moves, apply_id):
        """Return an apply that sets one weight, from the revision known."""
        new = {**self.state.document, 'weights': {'moves': float(moves)}}
        return configuration.make_config_applied(
            self.state.document, self.state.revision, new, apply_id, 'ops'
        )


class Cluster:
    """Hold the nodes of a scenario and the log that they share."""

    def __init__(self, names=()):
        self.streams = fake_log.Streams(1_000_000)
        self.clock = Clock()
        self.nodes = {}
        self._ids = 0
        for name in names:
            self.add(name)

    def add(self, name):
        """Add a node, or replace the one of that name."""
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    def new_id(self):
        """Return a record id that no other record has."""
        self._ids += 1
        return f'id-{self._ids}'

    def end_of_log(self):
        """Return the next offset of the first stream."""
        return self.streams.read(STREAM, 10**9, 1)[1].get('next_offset', 0)

    async def start(self, document):
        """Have all nodes join and the first apply a document."""
        for node in self.nodes.values():
            await node.join()
        first = next(iter(self.nodes.values()))
        body = configuration.make_config_applied(
            {}, 0, document, 'first', 'ops'
        )
        await first.send(body)
        await self.catch_up()

    async def catch_up(self):
        """Have every node read to the end."""
        for node in self.nodes.values():
            await node.catch_up()

    async def settle(self, rounds=3):
        """Let time pass, with digests exchanged and epochs looked after."""
        for _ in range(rounds):
            self.clock.time_s += RESTART_WAIT_S
            for node in self.nodes.values():
                node.hear()
            for node in self.nodes.values():
                await node.restarter.check()
                await node.catch_up()

    def check(self):
        """Check that nobody ever went back and all agree."""
        for node in self.nodes.values():
            assert node.seen == sorted(node.seen), (node.name, node.seen)
            for index in (0, 1):
                column = [seen[index] for seen in node.seen]
                assert column == sorted(column), (node.name, column)
