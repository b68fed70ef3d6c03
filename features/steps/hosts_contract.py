"""Steps that compare the host list of the adapter with the platform's."""

import asyncio
import json

from aiohttp import web

from behave import given
from behave import then
from behave import when

from fakes import hosts as fake
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_platform import hosts
from hawthorndeal_platform import transport
from stage import deployment

CALL_TIMEOUT_S = 5.0
PORT = 7111


class _Bench:
    """Run the fake platform and the adapter on one event loop."""

    def __init__(self, count, has_versions):
        self._has_versions = has_versions
        self._host = f'{deployment.loopback_prefix()}.5'
        self._runner = None
        self.loop = asyncio.new_event_loop()
        self.platform = fake.Platform(
            {f'h{n}': fake.Host(pool='p') for n in range(count)}, '', 0.0
        )
        self.transport = transport.Transport(
            f'http://{self._host}:{PORT}', CALL_TIMEOUT_S
        )
        self.adapter = hosts.HttpHosts(self.transport)
        self.responses = []

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    async def start(self):
        """Serve the fake platform, without state of an earlier start."""
        if self._runner is not None:
            await self._runner.cleanup()
        app = fake.make_app(self.platform, self._has_versions)
        app.middlewares.append(self._record_response)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, PORT).start()

    @web.middleware
    async def _record_response(self, request, handler):
        response = await handler(request)
        self.responses.append(response)
        return response

    async def call(self, path, body):
        """Send a POST request to the fake platform."""
        return await self.transport.call('POST', path, body)

    async def end(self):
        """Close the transport and the server."""
        await self.transport.close()
        await self._runner.cleanup()


@given('a platform that lists {count:d} hosts, {how:w} versions')
def list_hosts(context, count, how):
    context.bench = _Bench(count, how == 'with')
    context.add_cleanup(context.bench.loop.close)
    context.bench.run(context.bench.start())
    context.add_cleanup(lambda: context.bench.run(context.bench.end()))


@given('the host list was read once')
def read_once(context):
    read = context.bench.run(context.bench.adapter.list())
    assert len(read) == len(context.bench.platform.hosts), len(read)


@when('nothing happens')
def do_nothing(context):
    """Change nothing."""


@when('{count:d} hosts are drained')
def drain_hosts(context, count):
    for number in range(count):
        context.bench.platform.drain(f'h{number}')


@when('{count:d} hosts are removed')
def remove_hosts(context, count):
    for number in range(count):
        del context.bench.platform.hosts[f'h{number}']


@when('a host is removed and added again')
def remove_and_add_host(context):
    bench = context.bench
    host = bench.platform.hosts.pop('h0')
    bench.run(bench.adapter.list())
    bench.platform.hosts['h0'] = host


@when('the platform is restarted')
def restart_platform(context):
    context.bench.run(context.bench.start())


@when('a response with a change is lost')
def lose_response(context):
    bench = context.bench
    bench.platform.drain('h0')
    # The HTTP client retries by itself when a reused connection breaks.
    bench.run(bench.call('/admin/fault', {'mode': 'abort_after'}))
    _expect_failure(bench, errors.OutcomeUnknown)
    bench.run(bench.call('/admin/fault', {'mode': 'ok'}))


@when('a response has an invalid status')
def break_status(context):
    bench = context.bench
    bench.platform.drain('h0')
    bench.platform.hosts['h0'].is_live = 'perhaps'
    _expect_failure(bench, errors.InvalidRecord)
    bench.platform.hosts['h0'].is_live = True


def _expect_failure(bench, kind):
    try:
        bench.run(bench.adapter.list())
    except kind:
        return
    raise AssertionError(f'no {kind.__name__}')


@then("the next list read matches the platform's")
def check_list(context):
    bench = context.bench
    bench.responses.clear()
    read = codec.to_plain(bench.run(bench.adapter.list()))
    expected = {
        name: host.status(name) for name, host in bench.platform.hosts.items()
    }
    assert read == expected, len(read)


@then('the platform sent {count:d} hosts')
def check_sent(context, count):
    (response,) = context.bench.responses
    sent = json.loads(response.body)['hosts']
    assert len(sent) == count, len(sent)
