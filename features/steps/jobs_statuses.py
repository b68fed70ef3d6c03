"""Steps for the board of statuses, and for the executors' entries."""

import contextlib
import itertools

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log
from hawthorndeal_scheduler import log_readers
from hawthorndeal_scheduler import status_readers

QUEUE = 'web'
KEY = f'{journal.STATUS}/a'


class _Clock:
    """Clock that stands still."""

    def monotonic_s(self):
        return 10.0


class _Events:
    """Discards events."""

    def write(self, kind, **fields):
        """Do nothing."""


class _Formats:
    """Decodes each entry as its own bytes."""

    def decode_entry(self, executor_id, value):
        return value


def _status(state='queued'):
    return journal.JobStatus(QUEUE, 'digest', jobs.JobState(state))


@given('a board on which {event}')
def make_board(context, event):
    context.reader = status_readers.StatusReader('d', _Clock(), _Events())
    context.offsets = itertools.count()
    happen(context, event)


def _read(context, value):
    offset = next(context.offsets)
    record = keyed_log.KeyedRecord(offset, KEY, value)
    context.reader.handle_record(record)


@when('this daemon accepts "a"')
@when('this daemon accepted "a"')
def accept(context):
    context.reader.board.note_accepted('a', _status())


@when('this daemon cancels "a"')
def cancel(context):
    context.reader.board.note_cancelled('a')


@when('this daemon cancelled "a"')
def accept_and_cancel(context):
    accept(context)
    cancel(context)


@when('"a" is stored as {state}')
def store(context, state):
    _read(context, journal.status_record('a', _status(state)).value)


@when('the status of "a" is deleted')
def delete(context):
    _read(context, b'')


@when('a malformed status of "a" is read')
def read_malformed(context):
    with contextlib.suppress(errors.InvalidRecord):
        _read(context, b'{')


def happen(context, event):
    if event != 'nothing is known':
        context.execute_steps(f'When {event}')


@then('job "a" is {told}, and {waiting:d} jobs wait')
def check_told(context, told, waiting):
    board = context.reader.board
    status = board.find('a')
    assert (status.state.value if status else 'unknown') == told, status
    assert board.waiting(QUEUE) == board.total_waiting == waiting


@when('a load finds no key of "a"')
def load_without(context):
    context.reader.note_loaded({f'{journal.STATUS}/b'})


@given('an entry of an executor at offset {offset:d}')
def make_entry(context, offset):
    context.entries = log_readers.EntriesReader(
        _Formats(), _Clock(), _Events()
    )
    context.entries.handle_record(keyed_log.KeyedRecord(offset, 'x', b'e'))


@when('its deletion at offset {offset:d} is read')
def delete_entry(context, offset):
    context.entries.handle_record(keyed_log.KeyedRecord(offset, 'x', b''))


@then('the entry is still known')
def check_entry(context):
    assert context.entries.entries == {'x': b'e'}
