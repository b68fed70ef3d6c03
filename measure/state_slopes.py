"""Measure the cost of following the log against hosts and daemons."""

import asyncio
import time
import tracemalloc

from hawthorndeal_fleet import checkpoint
from stage import folding
from stage import peer_mesh

from . import fleets
from . import slopes as slopes_module

SIZES = (500, 1000, 2000, 4000, 5800)
ZONES = (4, 8, 16, 25)
DAEMONS = (2, 3, 4, 6, 8)
DESIGN_ZONES = 25
PER_ZONE = 3
RECORDS = 500
CHANGES = 50
PERIODS = 20


def slopes():
    """Yield the slopes of the state and of the exchange between daemons."""
    states = {size: _folded(size) for size in SIZES}
    texts = {size: checkpoint.dump(states[size].state) for size in SIZES}
    yield _per_worker(
        'state, bytes', {n: _state_bytes(texts[n]) for n in SIZES}
    )
    yield _per_worker('checkpoint, bytes', {n: len(texts[n]) for n in SIZES})
    yield _per_worker('checkpoint written, processor s', _times(_dump, states))
    yield _per_worker('checkpoint read, processor s', _times(_load, texts))
    yield _per_worker('one change, processor s', _times(_change, states))
    yield _per_worker('one record folded, processor s', _times(_fold, states))
    yield from _exchange_slopes()


def _per_worker(name, values):
    return slopes_module.Slope(
        name, 'worker', list(values.items()), fleets.HOSTS
    )


def _times(work, inputs):
    return {
        size: slopes_module.processor_s(lambda given=given: work(given))
        / _REPEATS.get(work, 1)
        for size, given in inputs.items()
    }


def _folded(hosts):
    folded = folding.FoldedState()
    folded.apply(fleets.make(hosts))
    folded.add(folding.make_daemon_joined('a'))
    return folded


def _state_bytes(text):
    """Return the memory of a state that was read from a checkpoint."""
    tracemalloc.start()
    try:
        state = checkpoint.load(text)
        used_bytes = tracemalloc.get_traced_memory()[0]
        return used_bytes if state.revision else 0
    finally:
        tracemalloc.stop()


def _dump(folded):
    checkpoint.dump(folded.state)


def _load(text):
    checkpoint.load(text)


def _change(folded):
    for number in range(CHANGES):
        _change_host(folded, f'h{number}')


def _change_host(folded, name):
    state = folded.state
    host = state.document['hosts'][name]
    changed = {**host, 'cpu_cores': host['cpu_cores'] + 1}
    decision = folded.add(
        folding.make_patch_applied(state, {'hosts': {name: changed}})
    )
    if not decision.is_accepted:
        raise RuntimeError(decision.reason)


def _fold(folded):
    for number in range(RECORDS):
        folded.add(folding.make_request_claimed(f'w/s/{number}'))


_REPEATS = {_change: CHANGES, _fold: RECORDS}


def _exchange_slopes():
    by_zones = {n: _exchange_cost(n, PER_ZONE) for n in ZONES}
    by_daemons = {n: _exchange_cost(DESIGN_ZONES, n) for n in DAEMONS}
    for index, name in enumerate(
        (
            'control bytes/s of a daemon',
            'control messages/s of a daemon',
            'control processor s/s of a daemon, without HTTP',
        )
    ):
        yield slopes_module.Slope(
            f'{name}, {PER_ZONE} daemons a zone',
            'zone',
            [(n, cost[index]) for n, cost in by_zones.items()],
            DESIGN_ZONES,
        )
        yield slopes_module.Slope(
            f'{name}, {DESIGN_ZONES} zones',
            'daemon in a zone',
            [(n, cost[index]) for n, cost in by_daemons.items()],
            PER_ZONE,
        )


def _exchange_cost(zones, per_zone):
    """Return bytes, messages and processor time per second of a daemon.

    Bytes and messages are the maximum over the daemons, the processor time is
    the mean; each period appends one record.
    """
    return asyncio.run(_run_exchange(peer_mesh.Mesh(zones, per_zone, True)))


async def _run_exchange(mesh):
    await mesh.run(3)
    before = {name: _spent(daemon) for name, daemon in mesh.daemons.items()}
    started_s = time.process_time()
    for _ in range(PERIODS):
        mesh.append(folding.make_host_reported())
        mesh.fold_all()
        await mesh.run(1)
    used_s = time.process_time() - started_s
    took_s = PERIODS * peer_mesh.PERIOD_S
    spent = [
        [now - then for now, then in zip(_spent(daemon), before[name])]
        for name, daemon in mesh.daemons.items()
    ]
    return (
        max(count for count, _ in spent) / took_s,
        max(messages for _, messages in spent) / took_s,
        used_s / took_s / len(mesh.daemons),
    )


def _spent(daemon):
    return sum(daemon.bytes.values()), daemon.messages
