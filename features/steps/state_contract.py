"""Steps that check every adapter of the log against one contract."""

from aiohttp import web

from behave import given
from behave import then
from behave import when

from fakes import faults
from fakes import log as fake_log
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records
from hawthorndeal_platform import log as log_module
from hawthorndeal_platform import transport
from stage import event_loop
from stage import nodes

STREAM = 'contract'
PAGE_ENTRIES = 2
CALL_TIMEOUT_S = 0.3
NESTING_DEPTH = 9000
_NESTED_PLACEHOLDER = 'deep'


@web.middleware
async def _nest_deeply(request, handler):
    """Insert JSON into responses that is nested too deeply to encode."""
    answer = await handler(request)
    deep = '[' * NESTING_DEPTH + ']' * NESTING_DEPTH
    answer.text = answer.text.replace(f'"{_NESTED_PLACEHOLDER}"', deep)
    return answer


class _MemoryAdapter:
    """Adapter of the log for scenarios in one process."""

    def __init__(self, streams):
        self.log = nodes.FaultyLog(streams)
        self._modes = {'abort_after': 'lost'}

    async def set_mode(self, mode):
        """Set the fault mode of the log; ``ok`` ends a fault."""
        self.log.mode = self._modes.get(mode, mode)

    async def close(self):
        """Do nothing."""


class _HttpAdapter:
    """Adapter of the log over HTTP, with the server in this process."""

    def __init__(self, streams):
        self._app = fake_log.make_app(streams)
        self._app.middlewares.append(_nest_deeply)
        self._runner = web.AppRunner(self._app, shutdown_timeout=0.1)
        self._transport = None
        self.log = None

    async def open(self):
        """Start the server on a free port, make a client and return self."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self._site = site
        port = self._runner.addresses[0][1]
        self._transport = transport.Transport(
            f'http://127.0.0.1:{port}', CALL_TIMEOUT_S
        )
        self.log = log_module.HttpLog(self._transport)
        return self

    async def set_mode(self, mode):
        """Set the fault mode of the log; ``ok`` ends a fault."""
        if mode == 'down':
            await self._runner.cleanup()
            return
        fault = self._app[faults.FAULT_KEY]
        fault.mode = faults.Mode(mode)
        fault.delay_s = 2 * CALL_TIMEOUT_S

    async def close(self):
        """Close the client and the server."""
        await self._transport.close()
        await self._runner.cleanup()


@given('a log by {adapter} with entries 0 to 4')
def make_log(context, adapter):
    context.streams = fake_log.Streams(1000)
    context.streams.append(STREAM, list(range(5)))
    if adapter == 'memory':
        context.adapter = _MemoryAdapter(context.streams)
    else:
        context.adapter = event_loop.run(_HttpAdapter(context.streams).open())
    context.add_cleanup(lambda: event_loop.run(context.adapter.close()))


async def _append(context, mode, *entries):
    await context.adapter.set_mode(mode)
    offset = await context.adapter.log.append(STREAM, entries)
    return f'offset {offset}'


async def _read(context, offset):
    page = await context.adapter.log.read(STREAM, offset, PAGE_ENTRIES)
    return 'an empty last page' if page.is_last and not page.entries else page


async def _read_expired(context):
    context.streams.expire(STREAM, 2)
    return await _read(context, 1)


async def _append_deep(context):
    context.streams.append(STREAM, [_NESTED_PLACEHOLDER])
    return 'offset 5'


_CASES = {
    'entries 5 and 6 are appended': lambda c: _append(c, 'ok', 5, 6),
    'the log is down for an append': lambda c: _append(c, 'down', 5),
    'the response to 5 is lost': lambda c: _append(c, 'abort_after', 5),
    'entry 5 takes effect twice': lambda c: _append(c, 'twice', 5),
    'an expired offset is read': _read_expired,
    'offset 6 is read': lambda c: _read(c, 6),
    'offset 5 is read': lambda c: _read(c, 5),
    'the log refuses an append': lambda c: _append(c, 'refuse', 5),
    'the call is cut off before 5': lambda c: _append(c, 'abort_before', 5),
    'the log is too slow for 5': lambda c: _append(c, 'frozen', 5),
    'an entry is nested 9,000 deep': _append_deep,
}


def _register_case(case):
    @when(case)
    def run_case(context):
        try:
            context.outcome = event_loop.run(_CASES[case](context))
        except errors.PlatformError as error:
            context.outcome = error.reason


for _case in _CASES:
    _register_case(_case)


@then('the outcome is {outcome}')
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


def _format_entry(entry):
    if isinstance(entry.data, int):
        return str(entry.data)
    try:
        records.decode(entry.data)
    except errors.RecordTooDeep:
        return '?'
    return repr(entry.data)


async def _read_all(context):
    log = context.adapter.log
    found = []
    offset = context.streams._first_offsets[STREAM]
    is_last = False
    while not is_last:
        page = await log.read(STREAM, offset, PAGE_ENTRIES)
        assert [entry.offset for entry in page.entries] == list(
            range(offset, page.next_offset)
        )
        found += [_format_entry(entry) for entry in page.entries]
        offset = page.next_offset
        is_last = page.is_last
    return ' '.join(found)


@then('it then holds {entries}')
def check_entries(context, entries):
    if context.outcome == 'platform_unavailable':
        held = ' '.join(map(str, context.streams._entries[STREAM]))
    else:
        event_loop.run(context.adapter.set_mode('ok'))
        held = event_loop.run(_read_all(context))
    assert held == entries, held
