"""Steps that repeat requests with a ticket at another entry host."""

import asyncio

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import tickets
from stage import request_bench
from steps import requests_claims
from steps import requests_faults


@given('a ticket of the first entry host')
@requests_faults.on_bench
async def take_ticket(context):
    context.first, context.second = context.bench.entry_hosts
    context.ticket = str(context.first.dispatcher.issue_ticket())


@when(
    'a request with the ticket is sent to the {where:w} entry host, '
    'and {event}'
)
@requests_faults.on_bench
async def send(context, where, event):
    _use_ticket(context.first, context.ticket)
    _use_ticket(context.second, context.ticket)
    if where == 'second':
        context.first, context.second = context.second, context.first
    # Returning a ticket appends no record, so there is none to wait for.
    fault = requests_claims.EVENTS[event]
    context.got = await fault(context)
    if where == 'second':
        context.first, context.second = context.second, context.first


def _use_ticket(entry_host, ticket):
    real = entry_host.send

    async def send(*arguments, **options):
        return await real(*arguments, **{**options, 'ticket': ticket})

    entry_host.send = send


@then('it is told: {told}')
def check_told(context, told):
    got = ' '.join(context.got[:2]).strip()
    assert got == told, (got, context.got)


@when('it is sent with the same ticket to the second entry host')
@requests_faults.on_bench
async def repeat(context):
    state = context.first.follower.state
    await request_bench.wait_for(
        lambda: not context.first.router.busy_hosts(state)
    )
    context.got = await context.second.send(requests_claims.ID, False)


@when('the second forwards a request with the ticket and is stopped meanwhile')
@requests_faults.on_bench
async def stop_while_forwarding(context):
    context.bench.near.delay_s = 0.2
    sent = asyncio.create_task(
        context.second.send(requests_claims.ID, False, ticket=context.ticket)
    )
    await request_bench.wait_for(
        lambda: context.bench.near.runs[requests_claims.ID]
    )
    await context.second.dispatcher.drain(0.0, 2.0)
    context.was_answered = sent.done()
    context.got = await sent


@then('the second stopped after the answer')
def check_ended_after(context):
    assert context.was_answered


def _forge(context):
    ticket = tickets.parse(context.ticket)
    return f'{ticket.incarnation}.{ticket.number + 1}.0.{ticket.signature}'


def _expire(context):
    context.first.clock.offset_s = tickets.LIFETIME_S + 1.0
    return context.ticket


_FAULTS = {
    'forged': _forge,
    'expired': _expire,
    'of an unknown host': lambda context: context.ticket.replace(
        context.first.name, 'nobody'
    ),
    'malformed': lambda context: 'no ticket at all',
}


@when('a request is sent with the ticket {fault}')
@requests_faults.on_bench
async def send_faulty(context, fault):
    ticket = _FAULTS[fault](context)
    offset_s = context.first.clock.offset_s
    context.got = await context.first.send(
        requests_claims.ID, False, 2.0 + offset_s, ticket=ticket
    )


@given('a ticket table')
def make_table(context):
    context.ticket_table = tickets.TicketTable('i', b'secret')


@when('{count:d} tickets are used, {rate:d} a second')
def use_tickets(context, count, rate):
    table = context.ticket_table
    context.peak_count = 0
    for number in range(count):
        now_s = number / rate
        table.use(table.issue(now_s), now_s)
        context.peak_count = max(context.peak_count, len(table._used))


@then('at most {most:d} are kept in memory')
def check_kept(context, most):
    assert context.peak_count <= most, context.peak_count
