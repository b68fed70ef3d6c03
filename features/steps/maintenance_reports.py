"""Steps that show on which evidence hosts are reported."""

import attrs
from behave import then
from behave import when

from hawthorndeal_fleet import host_health
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import records

LIVE = maintenance.HostStatus(True, False, '1', 'pr-checker-pool')
DEAD = attrs.evolve(LIVE, is_live=False)


@attrs.frozen
class Sight:
    """Describe what is seen.

    :ivar reads: status in each read of the list; None where it is missing
    :ivar answers: whether the probe was answered
    :ivar stopping_s: how long ago it was stopped; None where it wasn't
    """

    reads: tuple
    answers: bool | None = False
    is_down: bool = False
    stopping_s: float | None = None


SIGHTS = {
    'one read that misses a live host': Sight((None,)),
    'two reads that miss a host that answers': Sight((None, None), True),
    'two reads that miss a silent host': Sight((None, None)),
    'two reads with a silent host that is not live': Sight((DEAD, DEAD)),
    'a live and a missing read of a silent host twice': Sight(
        (LIVE, None, LIVE, None)
    ),
    'a silent host that is being stopped': Sight(
        (DEAD, DEAD), stopping_s=10.0
    ),
    'a silent host that is being stopped for too long': Sight(
        (DEAD, DEAD), stopping_s=61.0
    ),
    'a host that is down and answers again': Sight(
        (LIVE, LIVE), True, is_down=True
    ),
    'a host that is down and listed but silent': Sight(
        (LIVE, LIVE), is_down=True
    ),
    'a missing host with no endpoint to probe': Sight((None, None), None),
}


def _stop(bench, host, seconds):
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
def see(context, what):
    bench, sight = context.bench, SIGHTS[what]
    host, reporter = bench.watched[0], bench.daemons[0].incarnation
    if sight.is_down:
        bench.append('w', records.HostReported(host, False, reporter))
        bench.catch_up()
    if sight.stopping_s is not None:
        _stop(bench, host, sight.stopping_s)
    health = host_health.HostHealth(reporter)
    context.reports = []
    for status in sight.reads:
        statuses = dict.fromkeys(bench.fleet.hosts, LIVE)
        del statuses[host]
        if status is not None:
            statuses[host] = status
        suspects = health.hosts_to_probe(bench.state, statuses)
        answers = dict.fromkeys(suspects, sight.answers)
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


@when('a stranger reports a host down')
def report_as_stranger(context):
    bench = context.bench
    host = bench.watched[0]
    bench.append('x', records.HostReported(host, False, 'stranger'))
    bench.catch_up()


@then('no host counts as down')
def check_none_down(context):
    assert not context.bench.state.down_hosts
    assert not context.bench.state.away_since_s
