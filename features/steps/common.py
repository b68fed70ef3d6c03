"""Steps shared by several features: deployments, traffic, counters."""

import asyncio
import threading
import time

from behave import given
from behave import then
from behave import when

from stage import processes
from stage import traffic

WAVE_TIMEOUT_S = 60.0
MAX_MEMORY_BYTES = 64 * 1024 * 1024


class BackgroundCallers(threading.Thread):
    """Send requests in the background of a scenario.

    :param stage: the deployment that serves them
    :param requests: number of requests to send
    :param pace_s: pause of each caller between requests
    """

    def __init__(self, stage, requests, pace_s=0.02, seed=1):
        super().__init__(daemon=True)
        targets = [
            (service['workspace'], name)
            for name, service in stage.fleet['services'].items()
        ]
        urls = [process.url for process in stage.daemons.values()]
        self._requests = requests
        self._pace_s = pace_s
        self._callers = traffic.Callers(urls, targets, seed)
        self.tally = self._callers.tally

    def run(self):
        """Send all requests."""
        asyncio.run(self._callers.run(self._requests, 10, self._pace_s))


def send(stage, daemon, service, request_id, is_idempotent, **options):
    """Send one request and return the status, headers and body."""
    from stage import deployment

    deadline_s = time.time() + options.get('timeout_s', 10.0)
    return deployment.call(
        f'{stage.daemons[daemon].url}/v1/services/{service}/requests',
        'POST',
        options.get('body', b'hello'),
        {
            'Hd-Workspace': options.get('workspace', 'vltava'),
            'Hd-Request-Id': request_id,
            'Hd-Deadline-S': f'{deadline_s:.3f}',
            'Hd-Idempotent': str(is_idempotent).lower(),
            'Hd-Ticket': options.get('ticket', ''),
        },
    )


@given('a running deployment with an applied fleet')
def start_applied(context):
    context.make_stage()
    result = context.stage.apply()
    assert result.returncode == 0, result.stderr
    context.stage.await_ready()


def apply_wave(stage, pools, hosts=(), **changes):
    """Apply the fleet with one wave added."""
    wave = {
        'pools': pools,
        'hosts': list(hosts),
        'action': 'reboot',
        **changes,
    }
    fleet = {**stage.fleet, 'waves': {'test': wave}}
    result = stage.apply(stage.write_fleet('wave.yaml', fleet))
    assert result.returncode == 0, result.stderr


def finished_hosts(stage):
    """Return the hosts that the wave has finished."""
    _, waves = stage.control(next(iter(stage.daemons)), '/v1/waves')
    return set(waves['test']['finished'])


def await_wave(stage, hosts):
    """Wait until the wave has finished the given hosts."""
    processes.wait_until(
        lambda: finished_hosts(stage) >= set(hosts),
        WAVE_TIMEOUT_S,
        f'wave over {sorted(hosts)}',
    )


@when('{count:d} requests are sent while host "{host}" is rebooted')
def send_while_rebooting(context, count, host):
    callers = BackgroundCallers(context.stage, count)
    callers.start()
    pool = context.stage.fleet['hosts'][host]['pool']
    apply_wave(context.stage, [pool], [host])
    await_wave(context.stage, [host])
    callers.join()
    context.tally = callers.tally


@then('every request is answered')
def check_answered(context):
    outcomes = context.tally.outcomes
    assert set(outcomes) == {'answered'}, (outcomes, context.tally.reasons)
    assert not context.tally.wrong_answers, context.tally.wrong_answers


@then('no request was cut off or run twice')
def check_counters(context):
    for name, counter in context.stage.counters().items():
        assert counter['cut_off'] == 0, (name, counter['cut_off'])
        assert not counter['run_twice'], (name, counter['run_twice'])


@then('the exit code is {code:d}')
def check_exit_code(context, code):
    result = context.result
    assert result.returncode == code, (result.returncode, result.stderr)


@then('the message names "{text}"')
def check_message(context, text):
    assert text in context.result.stderr, context.result.stderr
