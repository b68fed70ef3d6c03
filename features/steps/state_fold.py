"""Steps that fold valid and invalid records without a log."""

import contextlib
import copy
import statistics
import time
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import document
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import index
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from measure import fleets as measured_fleets
from stage import fleets
from stage import folding

HOUR_S = 3600.0
START_S = folding.START_S


@given('a folded state of Vltava')
def fold_vltava(context):
    context.folded = folding.FoldedState()
    context.folded.apply(context.load_example('vltava.yaml'))
    context.folded.add(folding.make_daemon_joined('a'))


@given('a folded state of Vltava with {count:d} members')
def fold_vltava_members(context, count):
    fold_vltava(context)
    for name in 'b'[: count - 1]:
        context.folded.add(folding.make_daemon_joined(name), writer=name)


def _record(**changes):
    data = folding.encode(folding.make_host_reported(), 'foreign')
    return {**data, **changes}


def _nested(depth, innermost):
    for _ in range(depth):
        innermost = {'x': innermost}
    return innermost


def _deep_list():
    value = []
    for _ in range(100_000):
        value = [value]
    return value


def _deep_delta():
    body = {
        'apply_id': 'deep',
        'operator': 'ops',
        'base_revision': 1,
        'delta': _nested(5000, 1),
        'digest': '',
    }
    return _record(kind='ConfigApplied', body=body)


_ENTRIES = {
    'a string': lambda: "b'\\x00record'",
    'bytes': lambda: b'\x00\xff',
    'a number that is not finite': lambda: _record(stamp_s=float('nan')),
    'a number of 400 digits': lambda: _record(stamp_s=10**400),
    'half a surrogate pair': lambda: _record(writer='\ud800'),
    'an entry of 10 MB': lambda: _record(writer='x' * 10_000_000),
    '100,000 nested lists': _deep_list,
    'a delta nested 5,000 deep': _deep_delta,
    'an unknown kind': lambda: _record(kind='Foreign'),
    'a list for a kind': lambda: _record(kind=['HostReported']),
    'a newer level': lambda: _record(level=2, kind='Foreign'),
    'a string for a timestamp': lambda: _record(stamp_s='now'),
    'a missing body': lambda: _record(body=None),
}


@when('the log holds {entry}')
def fold_entry(context, entry):
    data = _ENTRIES[entry]()
    # A copy of the state, as held by another daemon, has to decide alike.
    twin = copy.deepcopy(context.folded.state)
    context.decision = context.folded.add_data(data)
    again = fold.fold(twin, twin.next_offset, data)
    assert again == context.decision, (again, context.decision)


@when('a record is decided by a rule that raises an exception')
def fold_with_failing_rule(context):
    failing = mock.Mock(side_effect=KeyError('defect'))
    with mock.patch.object(fold, '_apply', failing):
        context.decision = context.folded.add(folding.make_host_reported())


@when('a kind above the rules in force is folded')
def fold_newer_kind(context):
    with mock.patch.dict(records._KIND_LEVELS, {'HostReported': 2}):
        context.decision = context.folded.add(folding.make_host_reported())


@then('the decision is refused as "{code}"')
def check_code(context, code):
    assert not context.decision.is_accepted
    assert context.decision.code == code, context.decision


@then('the refusal is counted as "{code}"')
def check_count(context, code):
    assert context.folded.state.refusals == {code: 1}


@then('a valid record after it is accepted')
def check_next_record(context):
    assert context.folded.add(folding.make_host_reported()).is_accepted
    assert context.folded.state.down_hosts == {folding.HOST}


def _applied(folded, max_unavailable):
    new = copy.deepcopy(folded.state.document)
    budgets = new['workspaces']['vltava']['budgets']
    budgets['portal']['max_unavailable'] = max_unavailable
    state = folded.state
    return configuration.make_config_applied(
        state.document, state.revision, new, f'apply-{max_unavailable}', 'ops'
    )


_REPEATED = {
    'an accepted apply': lambda folded: _applied(folded, 2),
    'a refused apply': lambda folded: _applied(folded, 1000),
    'a join': lambda folded: folding.make_daemon_joined('c'),
    'a claim': lambda folded: folding.make_request_claimed(),
    'a host report': lambda folded: folding.make_host_reported(),
}


def _state_effects(state):
    left_out = {'next_offset', 'digest', 'marks', 'refusals', 'index'}
    return attrs.asdict(
        state, filter=lambda field, _: field.name not in left_out
    )


@when('the log repeats {record} {times:d} times')
def fold_repeatedly(context, record, times):
    folded = context.folded
    data = folding.encode(_REPEATED[record](folded), 'repeated')
    context.decisions = [folded.add_data(data)]
    context.effects = copy.deepcopy(_state_effects(folded.state))
    context.decisions += [folded.add_data(data) for _ in range(times - 1)]


@then('every repeat has the first verdict')
def check_repeat_verdicts(context):
    first, *others = context.decisions
    for other in others:
        assert other.code == 'repeated', other
        assert attrs.evolve(other, code=first.code) == first, other


@then('the state is the one after the first record')
def check_effects(context):
    assert _state_effects(context.folded.state) == context.effects


@when('a claim, its return and the same claim again are folded')
def fold_repeated_claim(context):
    data = folding.encode(folding.make_request_claimed(), 'claim')
    context.folded.add_data(data)
    returned = records.ClaimReturned(folding.KEY, folding.HOLDER)
    assert context.folded.add(returned).is_accepted
    context.folded.add_data(data)


@then('the claim is still returned')
def check_returned(context):
    claim = context.folded.state.claims[folding.KEY]
    assert claim.status is state_module.ClaimStatus.RETURNED, claim


@when('members write timestamps {stamps} hours ahead')
def write_timestamps(context, stamps):
    for pair in stamps.split():
        writer, _, hours = pair.partition(':')
        context.folded.add(
            folding.make_host_reported(),
            writer=writer,
            stamp_s=START_S + float(hours) * HOUR_S,
        )


@then('the log\'s time is {hours:g} hours ahead')
def check_time(context, hours):
    ahead_s = context.folded.state.log_time_s - START_S
    assert ahead_s == hours * HOUR_S, ahead_s / HOUR_S


_NAMES = strategies.sampled_from([*'ababab', 'c', 'A!'])
_ADDRESSES = [f'10.0.0.{number}:1' for number in (1, 2, 3)]
_FIELDS = {
    'zones': {'region': _NAMES},
    'pools': {},
    'hosts': {
        'pool': _NAMES,
        'zone': _NAMES,
        'rack': _NAMES,
        'cpu_cores': strategies.sampled_from([1, 1, 1, 0]),
        'memory_bytes': strategies.just(2**30),
    },
    'services': {'workspace': _NAMES, 'pool': _NAMES},
    'endpoints': {
        'service': _NAMES,
        'host': _NAMES,
        'address': strategies.sampled_from([*_ADDRESSES, 'nowhere']),
    },
    'workspaces': {
        'budgets': strategies.dictionaries(
            _NAMES,
            strategies.none()
            | strategies.fixed_dictionaries(
                {'max_unavailable': strategies.integers(0, 2)}
            ),
            max_size=2,
        )
    },
    'waves': {
        'pools': strategies.lists(_NAMES, max_size=2),
        'hosts': strategies.lists(_NAMES, max_size=2),
    },
}


def _section_patches(section, fields):
    whole = strategies.fixed_dictionaries(fields)
    parts = [
        strategies.fixed_dictionaries({field: values})
        for field, values in fields.items()
    ]
    entries = strategies.one_of(strategies.none(), whole, *parts)
    return strategies.fixed_dictionaries(
        {section: strategies.dictionaries(_NAMES, entries, max_size=2)}
    )


_SECOND_SERVICE = {
    'workspaces': {'a': {'budgets': None}},
    'services': {'b': {'workspace': 'a', 'pool': 'a'}},
    'endpoints': {'b': {'service': 'b'}},
}
_TAKEN_ADDRESS = {'endpoints': {'a': {'address': _ADDRESSES[1]}}}
_PATCHES = strategies.one_of(
    *(_section_patches(*item) for item in _FIELDS.items()),
    strategies.sampled_from(
        [
            {'unknown': None},
            {'unknown': 1},
            {'weights': {'moves': -1.0}},
            {'weights': {'moves': 2.0}},
            {'weights': None},
            {'waves': None},
            {'endpoints': None},
            {'hosts': 'text'},
        ]
    ),
)


def _check_whole(result):
    with contextlib.suppress(errors.InvalidFile):
        return checks.fleet_from_document(result, 'whole')
    return None


def _compare_patch(state, patch):
    result = document.merge(state.document, patch)
    whole = _check_whole(result)
    before = copy.deepcopy(state.index._referrers)
    try:
        fleet, changes = checks.patch_fleet(
            state.fleet, state.index, result, patch, 'part'
        )
    except errors.InvalidFile:
        assert whole is None, (result, patch)
        assert state.index._referrers == before
        return
    assert fleet == whole, (result, patch)
    state.document = result
    state.fleet = fleet
    state.index.update(changes)
    assert state.index._referrers == index.build(whole)._referrers


@then('any series of patches gives the results of checking whole documents')
def check_equivalence(context):
    accepted = []

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.example([_SECOND_SERVICE, _TAKEN_ADDRESS])
    @hypothesis.example([{'hosts': {'a': {'zone': 'b'}}}])
    @hypothesis.given(strategies.lists(_PATCHES, max_size=8))
    def compare(patches):
        state = state_module.State()
        state.document = fleets.minimal_document()
        state.fleet = checks.fleet_from_document(state.document, 'start')
        state.index = index.build(state.fleet)
        for patch in patches:
            _compare_patch(state, patch)
        accepted.append(state.document != fleets.minimal_document())

    compare()
    assert sum(accepted) > len(accepted) // 5, sum(accepted)


@when('its weights are set to {value:g}')
def set_weights(context, value):
    state = context.folded.state
    new = {**state.document, 'weights': {'moves': value}}
    body = configuration.make_config_applied(
        state.document, state.revision, new, 'weights', 'ops'
    )
    context.decision = context.folded.add(body)


@given('a folded fleet of {hosts:d} hosts')
def fold_large(context, hosts):
    context.folded = folding.FoldedState()
    context.folded.apply(measured_fleets.make(hosts))


@when('{count:d} hosts are changed one by one')
def change_hosts(context, count):
    context.took_s = []
    state = context.folded.state
    for name in list(state.fleet.hosts)[:count]:
        cores = state.fleet.hosts[name].cpu_cores
        patch = {'hosts': {name: {'cpu_cores': cores + 1}}}
        body = folding.make_patch_applied(state, patch)
        started_s = time.perf_counter()
        decision = context.folded.add(body)
        context.took_s.append(time.perf_counter() - started_s)
        assert decision.is_accepted, decision


@then('a change takes at most {limit_ms:d} ms at the median')
def check_change(context, limit_ms):
    median_ms = statistics.median(context.took_s) * 1000
    print(f'\na change of one host: {median_ms:.2f} ms at the median')
    assert median_ms <= limit_ms, median_ms
