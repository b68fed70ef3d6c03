"""Steps that check the invariants on a running deployment."""

import collections
import concurrent.futures
import copy
import json
import pathlib
import time

from behave import given
from behave import then
from behave import when

from stage import deployment
from stage import processes
from steps import common


@when('an operator applies a changed quota and waits')
def apply_changed(context):
    fleet = copy.deepcopy(context.stage.fleet)
    fleet['workspaces']['vltava']['quota']['requests_in_flight'] = 321
    path = context.stage.write_fleet('changed.yaml', fleet)
    context.result = context.stage.apply(path, '--wait', '--output', 'json')
    assert context.result.returncode == 0, context.result.stderr


@then('every daemon runs the same revision within {limit_s:d} s')
def check_in_force(context, limit_s):
    verdict = json.loads(context.result.stdout)
    assert verdict['in_force_s'] < limit_s, verdict
    for daemon in context.stage.daemons:
        _, answer = context.stage.control(daemon, '/v1/document')
        assert answer['revision'] == verdict['revision'], answer['revision']
        quota = answer['document']['workspaces']['vltava']['quota']
        assert quota['requests_in_flight'] == 321, quota


@when('{count:d} operators apply different files made from one revision')
def apply_concurrently(context, count):
    stage = context.stage
    from hawthorndeal_fleet import codec
    from hawthorndeal_fleet import configuration

    _, answer = stage.control('entry-a1', '/v1/document')
    bodies = []
    for number in range(count):
        new = copy.deepcopy(answer['document'])
        new['workspaces']['vltava']['quota']['requests_in_flight'] = (
            600 + number
        )
        bodies.append(
            codec.to_plain(
                configuration.make_config_applied(
                    answer['document'],
                    answer['revision'],
                    new,
                    f'race-{number}',
                    '',
                )
            )
        )
    daemons = [*stage.daemons] * count
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.verdicts = list(
            pool.map(
                lambda pair: stage.control(
                    pair[0], '/v1/applies', 'POST', pair[1]
                )[1],
                zip(daemons, bodies),
            )
        )


@then(
    'exactly {accepted:d} of them is accepted and the others are told of a '
    'conflict'
)
def check_accepted(context, accepted):
    outcomes = collections.Counter(v['outcome'] for v in context.verdicts)
    assert outcomes['accepted'] == accepted, context.verdicts
    refused = [v for v in context.verdicts if v['outcome'] != 'accepted']
    assert all('conflict' in v['reason'] for v in refused), refused


@when('a wave reboots all hosts of "{service}" under load')
def reboot_all(context, service):
    stage = context.stage
    pool = stage.fleet['services'][service]['pool']
    hosts = [
        name
        for name, host in stage.fleet['hosts'].items()
        if host['pool'] == pool
    ]
    callers = common.BackgroundCallers(stage, 1000, 0.1)
    callers.start()
    common.apply_wave(stage, [pool])
    common.await_wave(stage, hosts)
    callers.join()
    context.tally = callers.tally
    context.wave_hosts = hosts


@then('at no time was more than {count:d} of its hosts unavailable')
def check_unavailable(context, count):
    unavailable = set()
    most = 0
    for verb, host, *_ in context.stage.host_events():
        if verb == 'drain':
            unavailable.add(host)
        elif verb == 'restore':
            unavailable.discard(host)
        most = max(most, len(unavailable))
    rebooted = [e[1] for e in context.stage.host_events() if e[0] == 'reboot']
    assert sorted(rebooted) == sorted(context.wave_hosts), rebooted
    assert most == count, most


@when('a wave moves host "{host}" to pool "{pool}"')
def move(context, host, pool):
    stage = context.stage
    source = stage.fleet['hosts'][host]['pool']
    common.apply_wave(stage, [source], [host], action='move', target_pool=pool)
    common.await_wave(stage, [host])


@then('every daemon has host "{host}" in pool "{pool}" only')
def check_pool(context, host, pool):
    for daemon in context.stage.daemons:
        processes.wait_until(
            lambda d=daemon: _pool(context.stage, d, host) == pool,
            5.0,
            f'{host} in {pool} on {daemon}',
        )


def _pool(stage, daemon, host):
    _, answer = stage.control(daemon, '/v1/document')
    return answer['document']['hosts'][host]['pool']


@given('every endpoint of "{service}" aborts its responses')
def abort_responses(context, service):
    for name, endpoint in context.stage.fleet['endpoints'].items():
        if endpoint['service'] == service:
            context.stage.set_endpoint_fault(name, mode='abort_after')


@given("the platform's log is down")
def stop_log(context):
    context.stage.log.kill()


@when('a non-idempotent request is sent to "{service}"')
def send_once(context, service):
    started_s = time.monotonic()
    status, _, body = common.send(
        context.stage, 'entry-a1', service, 'once', False
    )
    context.took_s = time.monotonic() - started_s
    context.answer = json.loads(body)
    context.request_id = 'once'


@then('it is told {outcome:w}')
def check_outcome(context, outcome):
    assert context.answer['outcome'] == outcome, context.answer


@then('it is told {outcome:w} within {limit_s:d} s')
def check_outcome_in_time(context, outcome, limit_s):
    check_outcome(context, outcome)
    assert context.took_s < limit_s, context.took_s


@then('the endpoints ran the request {count:d} times')
def check_runs(context, count):
    runs = sum(
        counter['ran'].get(context.request_id, 0)
        for counter in context.stage.counters().values()
    )
    assert runs == count, runs


@when('one non-idempotent request is sent to all daemons at once')
def send_to_all(context):
    context.request_id = 'repeated'
    daemons = [*context.stage.daemons] * 4
    with concurrent.futures.ThreadPoolExecutor(len(daemons)) as pool:
        context.answers = list(
            pool.map(
                lambda daemon: common.send(
                    context.stage, daemon, 'portal', 'repeated', False
                ),
                daemons,
            )
        )
    statuses = [status for status, _, _ in context.answers]
    assert statuses.count(200) == 1, statuses


@when('the platform begins to drain host "{host}"')
def drain(context, host):
    url = f'{context.stage.hosts.url}/v1/hosts/{host}/drain'
    deployment.call_json(url, 'POST', {})


@then('after {wait_s:d} s host "{host}" gets no request of {count:d}')
def check_no_new_work(context, wait_s, host, count):
    time.sleep(wait_s)
    before = _runs_of(context.stage, host)
    callers = common.BackgroundCallers(context.stage, count)
    callers.start()
    callers.join()
    assert _runs_of(context.stage, host) == before
    assert callers.tally.outcomes['answered'] == count, callers.tally


def _runs_of(stage, host):
    counters = stage.counters()
    return sum(
        counters[name]['runs']
        for name, endpoint in stage.fleet['endpoints'].items()
        if endpoint['host'] == host
    )


@when('daemon "{daemon}" is asked to stop while {count:d} requests run')
def stop_under_load(context, daemon, count):
    callers = common.BackgroundCallers(context.stage, count)
    callers.start()
    processes.wait_until(
        lambda: callers.tally.outcomes['answered'] > count // 10,
        10.0,
        'load',
    )
    context.exit_code = context.stage.daemons[daemon].terminate()
    callers.join()
    context.tally = callers.tally


@then('daemon "{daemon}" exited with code {code:d}')
def check_daemon_exit_code(context, daemon, code):
    assert context.exit_code == code, context.exit_code


@then('no daemon has a child process or an io_uring descriptor')
def check_process(context):
    for name, process in context.stage.daemons.items():
        proc = pathlib.Path('/proc') / str(process.pid)
        children = [
            task.joinpath('children').read_text().split()
            for task in proc.joinpath('task').iterdir()
        ]
        assert not any(children), (name, children)
        descriptors = list(_open_descriptors(proc))
        assert descriptors, name
        assert not any('io_uring' in d for d in descriptors), descriptors


def _open_descriptors(proc):
    for link in proc.joinpath('fd').iterdir():
        try:
            yield str(link.readlink())
        except FileNotFoundError:
            # Closed since the descriptors were listed.
            continue


@then('the resident memory of every daemon is printed')
def print_memory(context):
    for name, process in context.stage.daemons.items():
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        line = next(x for x in status.splitlines() if 'VmRSS' in x)
        resident_bytes = int(line.split()[1]) * 1024
        print(f'\n{name}: {resident_bytes / 2**20:.1f} MiB resident')
        assert resident_bytes < common.MAX_MEMORY_BYTES, line
