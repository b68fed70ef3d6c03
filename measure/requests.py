"""Measure the request path: goodput, latency and faults in virtual time."""

from hawthorndeal_fleet import calls

from . import request_baselines as baselines
from . import request_model as model

WORK_S = 0.05
LONG_WORK_S = 1.0
DEADLINE_S = 1.0
LONG_DEADLINE_S = 30.0
RUN_S = 20.0
ENDPOINTS = 6
SLOTS = 8
CAPACITY_RPS = ENDPOINTS * SLOTS / WORK_S
MIN_GOODPUT_SHARE = 0.9

POLICIES = (
    baselines.Adaptive,
    baselines.RoundRobin,
    baselines.LeastInFlight,
    baselines.RetryAll,
)


def make_interactive(now_s, rng):
    """Return a short call with a near deadline."""
    return model.Call(
        calls.Urgency.INTERACTIVE,
        now_s,
        now_s + DEADLINE_S,
        rng.expovariate(1.0 / WORK_S),
    )


def make_long(now_s, rng):
    """Return a long call with a far deadline."""
    return model.Call(
        calls.Urgency.LONG,
        now_s,
        now_s + LONG_DEADLINE_S,
        rng.expovariate(1.0 / LONG_WORK_S),
    )


def run_load(policy, load, seed, queue_limit, run_s=RUN_S, break_world=None):
    """Return the result of interactive calls at a share of capacity."""
    world = model.World(model.make_state(), policy, seed, queue_limit)
    if break_world:
        break_world(world)
    world.offer(load * CAPACITY_RPS, run_s, make_interactive)
    world.run(run_s + DEADLINE_S)
    return world.result
