"""Daemons that exchange digests in memory, on the clock of a test."""

import json
import random
import types

from hawthorndeal_daemon import peers
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from . import folding
from . import nodes

PERIOD_S = 2.0


class _Router:
    """A router whose requests in flight the scenario sets."""

    def __init__(self):
        self.busy = {}

    def busy_hosts(self, state):
        """Return the numbers of requests in flight by host."""
        return self.busy


class _Metrics:
    """Counters in memory."""

    def __init__(self):
        self.counts = {}

    def count(self, name, value=1):
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + value


class _Peers(peers.Peers):
    """Peers that exchange messages as JSON within the process."""

    def __init__(self, mesh, name, zone, address):
        self.mesh = mesh
        self.address = address
        self.metrics = _Metrics()
        self.router = _Router()
        self.messages = 0
        self.is_cut_off = False
        super().__init__(
            types.SimpleNamespace(
                state=state_module.State(), is_log_behind=False
            ),
            self.router,
            types.SimpleNamespace(
                daemon=name,
                zone=zone,
                peers=mesh.seeds,
                peer_period_s=PERIOD_S,
                peer_token='',
            ),
            name,
            mesh.clock,
            random.Random(name),
            self.metrics,
        )

    @property
    def follower(self):
        """The substitute for the follower."""
        return self._follower

    async def _post(self, session, address, path, message):
        other = self.mesh.by_address.get(address)
        if other is None or other.is_cut_off or self.is_cut_off:
            return None
        body = codec.canonical(codec.to_compact(message))
        self.count_bytes('sent', body)
        other.count_bytes('received', body)
        self.messages += 1
        other.messages += 1
        sent = codec.from_plain(json.loads(body), type(message))
        answer = other.answer_to(path, sent)
        body = codec.canonical(codec.to_compact(answer))
        other.count_bytes('sent', body)
        self.count_bytes('received', body)
        return codec.from_plain(json.loads(body), type(message))

    def answer_to(self, path, message):
        """Return the answer to a message posted to a path."""
        if path == peers.ZONES_PATH:
            return self.answer_zone(message)
        return self.answer(message)

    async def tick(self):
        """Run the exchange of one period."""
        await self._exchange_all(None)


class Mesh:
    """Daemons in zones, all of them members.

    :param zones: number of zones
    :param per_zone: number of daemons in each zone
    :param is_shared: whether all daemons share one state, which avoids
        folding each record once for each daemon
    """

    def __init__(self, zones, per_zone, is_shared=False):
        self._shared = state_module.State() if is_shared else None
        self.clock = nodes.Clock()
        self.seeds = []
        self.by_address = {}
        self.daemons = {}
        self.records = []
        for zone in range(zones):
            for number in range(per_zone):
                name = f'z{zone}-{number}'
                # Pads to the length of an incarnation if bytes are counted.
                self._add(name.ljust(32 * is_shared, '0'), f'z{zone}')
        self.fold_all()

    def _add(self, name, zone):
        address = f'{name}:1'
        daemon = _Peers(self, name, zone, address)
        if self._shared is not None:
            daemon.follower.state = self._shared
        self.daemons[name] = self.by_address[address] = daemon
        self.append(records.DaemonJoined(name, name, zone, address))

    def append(self, body):
        """Append a record to the shared log."""
        data = folding.encode(body, f'id-{len(self.records)}')
        self.records.append(data)

    def fold_all(self, exclude=()):
        """Let every daemon fold its outstanding records.

        :param exclude: names of daemons to leave out
        """
        for name, daemon in self.daemons.items():
            if name not in exclude:
                self.fold(daemon)

    def fold(self, daemon):
        """Let one daemon fold its outstanding records."""
        folded = folding.FoldedState(daemon.follower.state)
        for data in self.records[folded.state.next_offset :]:
            folded.add_data(data)

    async def run(self, periods):
        """Advance time by periods, in each of which every daemon exchanges."""
        for _ in range(periods):
            for daemon in self.daemons.values():
                self.clock.time_s += PERIOD_S / len(self.daemons)
                await daemon.tick()
