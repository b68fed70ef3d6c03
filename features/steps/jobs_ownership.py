"""Steps for the strength of hosts and the hand-over between owners."""

import asyncio
import random
import re

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import hand_over
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from stage import fault_search
from stage import job_world
from stage import virtual_time
from steps import jobs_world

NOW_S = 100.0
EPOCH = 7
SPREAD_S = 0.2
DECISION_PERIOD_S = 0.05
# The owner reads a new record within this time.
READ_S = 0.5
# Time of each append, so that a takeover lasts as long as a few of them.
TAKEOVER_APPEND_S = 0.3


@given(
    'a host with {share:g} of a core, {count:g} cores fast, and {link:g} '
    'Mbit/s'
)
def set_host(context, share, count, link):
    context.strength = hand_over.host_strength(share * count, link)


@then('its strength is {strength:g}')
def check_strength(context, strength):
    assert context.strength == strength, context.strength


# Claims


@given('a daemon of strength {own:g} that has read owners of strength {seen}')
def read_owners(context, own, seen):
    context.own = own
    context.view = ownership.OwnerView()
    context.view.note_read(NOW_S - 60.0, NOW_S - 60.0)
    strengths = [] if seen == 'none' else seen.split(', ')
    context.seen = [
        journal.Ownership(EPOCH + n, 'other', strength=float(strength))
        for n, strength in enumerate(strengths)
    ]
    for n, current in enumerate(context.seen):
        context.view.note_ownership(NOW_S - 50.0 + n, current, 'this', set())


@given('the owner is {state}, its last record {ago_s:g} seconds old')
def set_state(context, state, ago_s):
    view = context.view
    if context.seen:
        changes = {
            'silent': {},
            'released': {'is_released': True},
            'this daemon': {'daemon': 'this'},
            'released to this': {'is_released': True, 'successor': 'this'},
            'released to it': {'is_released': True, 'successor': 'it'},
            'own, released': {
                'daemon': 'this',
                'is_released': True,
                'successor': 'it',
            },
        }[state]
        current = attrs.evolve(context.seen[-1], **changes)
        view.note_ownership(NOW_S - ago_s, current, 'this', set())
        view.longest_gap_s = 0.0
    view.note_read(NOW_S - 0.1, NOW_S - 0.1)
    view.readable_since_s = NOW_S - 60.0


@then("the daemon's claim is {verdict}")
def check_claim(context, verdict):
    may = context.view.may_claim(NOW_S, SPREAD_S, context.own)
    assert may == (verdict == 'allowed')


# Offers


@given('an owner of strength {own:g} for {term_s:g} seconds')
def set_owner(context, own, term_s):
    context.current = journal.Ownership(EPOCH, 'owner', strength=own)
    context.owned_s = term_s


@when('these offers are read: {offers}')
def read_offers(context, offers):
    context.held = None
    for text in offers.split(', '):
        daemon, strength, *to = text.split()
        shift = {(): 0, ('earlier',): -1, ('later',): 1}[tuple(to)]
        offer = journal.Offer(EPOCH + shift, daemon, float(strength))
        context.held = hand_over.accepted_offer(
            context.held, offer, context.current, context.owned_s
        )


@then('it hands over to {successor}')
def check_successor(context, successor):
    named = context.held.daemon if context.held else 'nobody'
    assert named == successor, named


@given(
    'a daemon of strength {own:g} that follows an owner of strength {owner:g}'
)
def follow_owner(context, own, owner):
    context.own = own
    context.current = journal.Ownership(EPOCH, 'owner', strength=owner)


def _events(context, event):
    """Yield time, owner and newest offer at each decision of a daemon."""
    current, newest = context.current, None
    strength = float(''.join(re.findall(r'\d\.\d', event)) or 0)
    if event.startswith('after a stale'):
        newest = journal.Offer(EPOCH - 1, 'other', strength)
    if event.startswith('after another'):
        newest = journal.Offer(EPOCH, 'other', strength)
    if event == 'as the owner':
        current = attrs.evolve(current, daemon='this')
    if event == 'after a release':
        current = attrs.evolve(current, is_released=True)
    if event == 'without an owner':
        current = None
    for n in range(round(context.seconds / DECISION_PERIOD_S)):
        if event.startswith('while another') and n % 20 == 0:
            newest = journal.Offer(EPOCH, 'other', strength)
        if event == 'while owners change' and n % 3 == 0:
            current = attrs.evolve(current, epoch=current.epoch + 1)
        yield n * DECISION_PERIOD_S, current, newest


@when('it decides for {seconds:g} seconds, {event}')
def decide_offers(context, seconds, event):
    context.seconds = seconds
    rng = random.Random(1)
    plan = hand_over.OfferPlan('this')
    context.offers = [
        (time_s, offer)
        for time_s, current, newest in _events(context, event)
        for offer in [
            plan.next_offer(NOW_S + time_s, context.own, current, newest, rng)
        ]
        if offer is not None
    ]


@then('it has offered {least:d} to {most:d} times')
def check_offers(context, least, most):
    assert least <= len(context.offers) <= most, context.offers
    times_s = [time_s for time_s, _ in context.offers]
    gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
    assert all(gap > hand_over.OFFER_PERIOD_S - 1e-6 for gap in gaps_s), gaps_s
    assert all(
        offer.daemon == 'this' and offer.strength == context.own
        for _, offer in context.offers
    )


@then('the record of an owner without strength or successor is read')
def check_old_record(context):
    value = b'{"epoch":7,"daemon":"entry-1"}'
    current = journal.decode(value, journal.Ownership)
    assert current.strength == hand_over.FULL_STRENGTH
    assert not current.successor


@then('the record of a strong owner is as long as it was')
def check_record_length(context):
    current = journal.Ownership(7, 'entry-1', strength=hand_over.FULL_STRENGTH)
    value = journal.ownership_record(current).value
    assert value == b'{"epoch":7,"daemon":"entry-1"}', value


# Simulated daemons


@given(
    '{weak:d} weak and {strong:d} strong daemons with seed {seed:d}, {first} '
    'first'
)
def start_mixed(context, weak, strong, seed, first):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}

    async def start():
        limits = [job_world.WEAK_HOST] * weak
        limits += [job_world.STRONG_HOST] * strong
        context.world = world = job_world.World(
            seed, daemons=weak + strong, limits=limits
        )
        for daemon in world.daemons:
            if first in ('both', _kind(daemon)):
                daemon.start()
        await world.wait_for(lambda: world.owner is not None, 10.0)
        context.first_epoch = world.owner.candidate.owner.epoch
        for daemon in world.daemons:
            if first not in ('both', _kind(daemon)):
                daemon.start()

    context.add_cleanup(jobs_world._stop_simulation, context.runner, context)
    context.runner.run(start())


def _kind(daemon):
    limits = daemon.parts.settings
    is_strong = limits.link_mbps == job_world.STRONG_HOST['link_mbps']
    return 'strong' if is_strong else 'weak'


def _of_kind(context, kind):
    return [d for d in context.world.daemons if _kind(d) == kind]


def _logged(context, *kinds, since_s=-1.0):
    return [
        entry
        for entry in context.world.log
        if entry[2] in kinds and entry[0] >= since_s
    ]


def _wait(context, is_met, limit_s):
    waiting = context.world.wait_for(is_met, limit_s)
    assert context.runner.run(waiting), context.world.event_log_text()[-3000:]


@then('a strong daemon owns the partition within {limit_s:g} seconds')
def check_strong_owner(context, limit_s):
    strong = _of_kind(context, 'strong')
    _wait(context, lambda: context.world.owner in strong, limit_s)
    context.since_s = context.world.now_s()


@then('no daemon has claimed since')
def check_no_claim(context):
    claims = _logged(context, 'owner_claimed', since_s=context.since_s)
    assert not claims, claims
    assert context.world.owner is not None


@then('the owner is strong, and no weak daemon has claimed since the loss')
def check_claimants(context):
    assert _kind(context.world.owner) == 'strong'
    weak = {d.name for d in _of_kind(context, 'weak')}
    claims = _logged(context, 'owner_claimed', since_s=context.lost_s)
    assert not weak & {name for _, name, _, _ in claims}, claims


@when('all strong daemons are killed')
def kill_strong(context):
    context.old_owner = context.world.owner
    context.lost_s = context.world.now_s()

    async def kill():
        for daemon in _of_kind(context, 'strong'):
            await daemon.kill()

    context.runner.run(kill())


@then('a strong daemon took over from a weak one that was alive')
def check_taken_over(context):
    ((released_s, name, _, fields),) = _logged(context, 'owner_released')
    assert name in {d.name for d in _of_kind(context, 'weak')}
    claims = _logged(context, 'owner_claimed', since_s=released_s)
    assert [claim[1] for claim in claims] == [fields['successor']], claims
    assert context.world.owner in _of_kind(context, 'strong')


@then('the owners have changed once')
def check_one_change(context):
    claims = _logged(context, 'owner_claimed')
    assert len(claims) == 2, claims
    assert len(_logged(context, 'owner_released')) == 1


def _store_offer(context, epoch, daemon):
    record = journal.offer_record(
        journal.Offer(epoch, daemon, hand_over.FULL_STRENGTH)
    )
    context.world.store.append(job_world.STATUSES, [record])


@when('all strong daemons offer at once')
def offer_at_once(context):
    epoch = context.world.owner.candidate.owner.epoch
    for daemon in _of_kind(context, 'strong'):
        _store_offer(context, epoch, daemon.name)


@when('an offer of a strong daemon that died is stored')
def store_dead_offer(context):
    context.since_s = context.world.now_s()
    _store_offer(
        context, context.world.owner.candidate.owner.epoch, 'entry-gone'
    )


@then('the owner releases the partition to it')
def check_released(context):
    _wait(context, lambda: _logged(context, 'owner_released'), READ_S)
    ((time_s, _, _, fields),) = _logged(context, 'owner_released')
    assert fields['successor'] == 'entry-gone', fields
    context.released_s = time_s


@then('a daemon claims within {limit_s:g} seconds of the release')
def check_claim_after_release(context, limit_s):
    def is_claimed():
        return _logged(context, 'owner_claimed', since_s=context.released_s)

    left_s = context.released_s + limit_s - context.world.now_s()
    _wait(context, is_claimed, left_s)
    took_s = is_claimed()[0][0] - context.released_s
    assert took_s >= ownership.MIN_OWNER_TIMEOUT_S - 0.1, took_s


@when('an offer to an earlier owner is stored')
def store_stale_offer(context):
    epoch = context.world.owner.candidate.owner.epoch
    _store_offer(context, epoch - 1, 'entry-gone')


@when('an offer is stored while the owner stops')
def stop_beside_offer(context):
    owner = context.world.owner

    async def stop():
        stopping = asyncio.create_task(owner.candidate.stop())
        # The owner goes on reading while its last records are stored.
        await asyncio.sleep(0)
        _store_offer(context, owner.candidate.owner.epoch, 'entry-gone')
        await stopping

    context.runner.run(stop())


@then('no daemon has released the partition')
def check_none_released(context):
    released = _logged(context, 'owner_released')
    assert not released, released
    assert context.world.owner is not None


@then('the partition was released to nobody in particular')
def check_no_successor(context):
    ((_, _, _, fields),) = _logged(context, 'owner_released')
    assert fields['successor'] == '', fields


@when("the owner's host becomes weak")
def weaken_owner(context):
    context.old_owner = context.world.owner
    parts = context.old_owner.parts
    parts.settings = attrs.evolve(parts.settings, **job_world.WEAK_HOST)


@then('the partition is handed over within {limit_s:g} seconds')
def check_handed_over(context, limit_s):
    world = context.world
    _wait(
        context, lambda: world.owner not in (None, context.old_owner), limit_s
    )
    ((_, _, _, fields),) = _logged(context, 'owner_released')
    assert fields['successor'] == world.owner.name, fields


@given('the strong daemon shuts down in {left_s:g} seconds')
def shut_down_strong(context, left_s):
    (daemon,) = _of_kind(context, 'strong')
    daemon.interface.begin_draining(context.world.now_s() + left_s)


@then('no daemon has offered')
def check_no_offer(context):
    offered = _logged(context, 'ownership_offered')
    assert not offered, offered


@when(
    'simulations with weak and strong daemons of seeds {first:d} to {last:d} '
    'run'
)
def run_mixed_simulations(context, first, last):
    limits = [
        job_world.WEAK_HOST,
        job_world.STRONG_HOST,
        job_world.WEAK_HOST,
        job_world.STRONG_HOST,
    ]
    context.verdicts = [
        fault_search.run_with_faults(seed, limits=limits)
        for seed in range(first, last + 1)
    ]


@then('the partition was handed over in some of them')
def check_some_handed_over(context):
    assert any(
        re.search(r'owner_released .*"successor": "entry', v.event_log_text)
        for v in context.verdicts
    )


@when(
    'the owner ends, and queue "{queue}" gets pool "{pool}" while its '
    'successor takes over'
)
def configure_during_takeover(context, queue, pool):
    world, former = context.world, context.world.owner
    world.store.append_s = TAKEOVER_APPEND_S

    def is_taking_over():
        return (
            world.owner is not None
            and world.owner is not former
            and not world.owner.candidate.owner.is_at_work
        )

    async def run():
        await former.kill()
        assert await world.wait_for(is_taking_over, 10.0)
        taking_over = world.owner
        changed = attrs.evolve(world.configuration.queues[queue], pool=pool)
        world.configure(**{queue: changed})
        reader = taking_over.parts.configuration_reader
        assert await world.wait_for(
            lambda: reader.configuration is world.configuration, 5.0
        )
        assert is_taking_over()
        world.store.append_s = 0.0
        owner = taking_over.candidate.owner
        assert await world.wait_for(lambda: owner.is_at_work, 5.0)
        await former.restart()

    context.runner.run(run())


@then('the tasks of job "{job_id}" have run in pool "{pool}" alone')
def check_pool_of_runs(context, job_id, pool):
    world = context.world
    pools = {
        world.executors[fields['executor']].entry.pool
        for _, _, kind, fields in world.log
        if kind == 'run_started' and fields['task'].split('.')[0] == job_id
    }
    assert pools == {pool}, pools
