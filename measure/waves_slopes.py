"""Measure the cost of planning a wave per host."""

import tracemalloc

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module
from hawthorndeal_fleet import waves

from . import fleets
from . import slopes as slopes_module

SIZES = (725, 1450, 2900, 5800)
NOW_S = 1000.0
BUDGET = {
    'max_unavailable': 3,
    'survive': 'rack',
    'downtime_s': 21 * 3600.0,
    'window_s': 21 * 86400.0,
}


def slopes():
    """Yield the slopes of planning time and of memory."""
    states = {size: _make_state(size) for size in SIZES}
    for name, work in (
        ('first choice of a wave, ms', _choose),
        ('turns of a wave, ms', _turns),
        ('next steps of its disruptions, ms', _plan_steps),
    ):
        points = [(n, _time_ms(work, s)) for n, s in states.items()]
        yield slopes_module.Slope(name, 'host', points, SIZES[-1])
    points = [(n, _memory_bytes(s)) for n, s in states.items()]
    yield slopes_module.Slope(
        'outages and grants, bytes', 'host', points, SIZES[-1]
    )


def _make_state(size):
    document = fleets.make(size)
    document['waves'] = {'all': {'pools': list(document['pools'])}}
    for workspace in document['workspaces'].values():
        workspace['budgets'] = dict.fromkeys(workspace['budgets'], BUDGET)
    fleet = checks.fleet_from_document(document, 'measure')
    return state_module.State(fleet=fleet, log_time_s=NOW_S)


def _choose(state):
    return waves.DEFAULT_POLICY.choose(state, NOW_S, {})


def _turns(state):
    return waves.maintenance_starts(state, NOW_S)


def _plan_steps(state):
    observation = maintenance.Observation(
        own_incarnation='me', view=None, hosts={}
    )
    return maintenance.plan_steps(state, observation)


def _time_ms(work, state):
    return 1000 * slopes_module.processor_s(lambda: work(state))


def _memory_bytes(state):
    """Return the memory of one ended outage and one grant for each host."""
    tracemalloc.start()
    outages = {
        host: [state_module.Outage(0.0, NOW_S + index, 1)]
        for index, host in enumerate(state.fleet.hosts)
    }
    grants = [
        state_module.Disruption(
            host,
            'all',
            'me',
            index + 1000,
            NOW_S,
            records.Step.GRANTED,
            NOW_S + index,
            index + 1000,
        )
        for index, host in enumerate(state.fleet.hosts)
    ]
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert outages and grants
    return used_bytes
