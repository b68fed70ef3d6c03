"""Steps for what makes a daemon report a host down or up."""

import attrs
from behave import then
from behave import when

from hawthorndeal_fleet import host_health
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import records

LIVE = maintenance.HostStatus(True, False, '1', 'pr-checker-pool')
DEAD = attrs.evolve(LIVE, is_live=False)


@attrs.frozen
class Observation:
    """Observations of a host by one daemon.

    :ivar reads: host status in each read of the list; None if it is missing
    :ivar answers: whether probes are answered; None without an endpoint
    :ivar is_down: whether the host was reported down before
    :ivar stopping_s: time since the host began stopping; None if it did not
    """

    reads: tuple
    answers: bool | None = False
    is_down: bool = False
    stopping_s: float | None = None


OBSERVATIONS = {
    'one read that misses a live host': Observation((None,)),
    'two reads that miss a host that answers': Observation((None, None), True),
    'two reads that miss an unresponsive host': Observation((None, None)),
    'two reads with an unresponsive host that is not live': Observation(
        (DEAD, DEAD)
    ),
    'an unresponsive host that is live in every second read': Observation(
        (LIVE, None, LIVE, None)
    ),
    'an unresponsive host that is being stopped': Observation(
        (DEAD, DEAD), stopping_s=10.0
    ),
    'an unresponsive host that is being stopped for too long': Observation(
        (DEAD, DEAD), stopping_s=61.0
    ),
    'a host that is down and answers again': Observation(
        (LIVE, LIVE), True, is_down=True
    ),
    'a host that is down and listed but unresponsive': Observation(
        (LIVE, LIVE), is_down=True
    ),
    'a missing host with no endpoint to probe': Observation(
        (None, None), None
    ),
}


def _stop_host(bench, host, seconds):
    daemon = bench.daemons[0]
    bench.apply_wave()
    offset = bench.append(
        daemon, records.DisruptionAsked(host, 'test', daemon.incarnation)
    )
    for step in list(records.Step)[1:4]:
        bench.append(
            daemon,
            records.DisruptionStepped(host, offset, step, daemon.incarnation),
        )
    bench.clock.elapsed_s += seconds
    bench.append(daemon, records.PermissionRenewed(daemon.incarnation))
    bench.catch_up()
    assert bench.state.disruptions[host].step is records.Step.STOPPING


@when('a daemon sees {what}')
def observe(context, what):
    bench, observation = context.bench, OBSERVATIONS[what]
    host, reporter = bench.watched[0], bench.daemons[0].incarnation
    if observation.is_down:
        bench.append('w', records.HostReported(host, False, reporter))
        bench.catch_up()
    if observation.stopping_s is not None:
        _stop_host(bench, host, observation.stopping_s)
    health = host_health.HostHealth(reporter)
    context.reports = []
    for status in observation.reads:
        statuses = dict.fromkeys(bench.fleet.hosts, LIVE)
        del statuses[host]
        if status is not None:
            statuses[host] = status
        suspects = health.hosts_to_probe(bench.state, statuses)
        answers = dict.fromkeys(suspects, observation.answers)
        context.reports += health.agreed_reports(
            bench.state, statuses, answers
        )


@then('the host is not reported')
def check_not_reported(context):
    assert not context.reports, context.reports


@then('the host is reported {verdict:w}')
def check_reported(context, verdict):
    host = context.bench.watched[0]
    reporter = context.bench.daemons[0].incarnation
    expected = records.HostReported(host, verdict == 'up', reporter)
    assert context.reports == [expected], context.reports


@when('a non-member reports a host down')
def report_as_non_member(context):
    bench = context.bench
    host = bench.watched[0]
    bench.append('x', records.HostReported(host, False, 'non-member'))
    bench.catch_up()


@then('no host counts as down')
def check_none_down(context):
    assert not context.bench.state.down_hosts
    assert not context.bench.state.away_since_s
