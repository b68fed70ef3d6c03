"""Steps for maintenance under faults, in virtual time."""

import asyncio
import copy

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from fakes import memory
from hawthorndeal_fleet import acknowledgements
from hawthorndeal_fleet import budget
from hawthorndeal_fleet import checks
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import peer_digests
from hawthorndeal_fleet import records

ZONES = {'a1': 'cz-a', 'a2': 'cz-a', 'b1': 'cz-b', 'c1': 'cz-c'}
WAVE = {'pools': ['pr-checker-pool'], 'expected_s': 60.0}
MAX_STEPS = 1500


class Bench(memory.Bench):
    """Simulates a fleet whose wave covers the hosts of one service."""

    def __init__(self, document):
        document = copy.deepcopy(document)
        for service in document['services'].values():
            service['max_deadline_s'] = 30.0
        super().__init__(checks.fleet_from_document(document, 'test'), ZONES)
        self.document = document
        self.watched = [
            name
            for name, host in self.fleet.hosts.items()
            if host.pool == 'pr-checker-pool'
        ]
        self.apply(document)
        for daemon in self.daemons:
            self.join(daemon)
        self.catch_up()

    def replace(self, lost):
        """Start a new process under the name of one that crashed."""
        self.daemons.remove(lost)
        fresh = memory.Daemon(self, lost.name, lost.zone, 2)
        self.daemons.append(fresh)
        self.join(fresh)
        self.catch_up()

    def join(self, daemon):
        """Append the record by which a daemon joins."""
        self.append(
            daemon,
            records.DaemonJoined(
                daemon.incarnation, daemon.name, daemon.zone, ''
            ),
        )

    def catch_up(self):
        """Have every daemon read the log to its end."""
        for daemon in self.daemons:
            daemon.catch_up()

    @property
    def state(self):
        """Return the state of the first running daemon with log access."""
        daemon = next(d for d in self.daemons if d.is_running and d.has_log)
        daemon.catch_up()
        return daemon.state

    def apply(self, document):
        """Apply a configuration file as an operator."""
        self.daemons[-1].catch_up()
        state = self.daemons[-1].state
        body = configuration.make_config_applied(
            state.document,
            state.revision,
            document,
            f'apply-{len(self.log)}',
            'ops',
        )
        offset = self.append('ops', body)
        self.daemons[-1].catch_up()
        return self.decisions[offset]

    def apply_wave(self, **changes):
        """Apply the file with the wave, with fields of the wave changed."""
        waves = {'test': {**WAVE, **changes}}
        # Moves may have changed pools, so start from the document in force.
        self.daemons[-1].catch_up()
        document = self.daemons[-1].state.document or self.document
        return self.apply({**document, 'waves': waves})

    def report(self):
        """Report hosts that failed or recovered, as the host watches would."""
        for name, host in self.hosts.hosts.items():
            is_down = name in self.state.down_hosts
            if host.is_failed != is_down:
                self.append(
                    'watch',
                    records.HostReported(
                        name, is_down, self.daemons[0].incarnation
                    ),
                )
        self.catch_up()

    def run_until(self, condition, steps=MAX_STEPS):
        """Step until a condition holds; return whether it does."""
        for _ in range(steps):
            if condition():
                return True
            asyncio.run(self.step())
        return condition()

    def run_for(self, seconds):
        """Advance the simulation by some seconds."""
        self.run_until(lambda: False, int(seconds))

    def at_step(self, name):
        """Return a disruption that is at a step, or None."""
        found = (
            d for d in self.state.disruptions.values() if d.step.value == name
        )
        return next(found, None)

    def holder_of(self, disruption):
        """Return the daemon that holds a disruption."""
        return next(
            d for d in self.daemons if d.incarnation == disruption.holder
        )

    def is_done(self):
        """Return whether the wave is complete."""
        done = self.state.finished.get('test', ())
        return set(done) == set(self.watched) and not self.state.disruptions


@given('entry hosts and a wave over the hosts of "{service}"')
def make_bench(context, service):
    context.bench = Bench(context.load_example('vltava.yaml'))


def _lose_response(verb):
    def run(bench):
        bench.hosts.lost.add(verb)

    return run


def _delay(verb):
    def run(bench):
        bench.hosts.delayed.add(verb)

    return run


def _lose_log_response(bench):
    assert bench.run_until(lambda: bench.at_step('quiet'))
    bench.holder_of(bench.at_step('quiet')).loses_answers = True


def _holder_finder(step):
    # The step has to be observed before the holder takes the next one.
    def find(bench):
        assert bench.run_until(lambda: bench.at_step(step)), step
        return bench.holder_of(bench.at_step(step))

    return find


def _crash_holder(step):
    def run(bench):
        lost = _holder_finder(step)(bench)
        lost.is_running = False
        lost.is_listed = False
        bench.run_for(60)
        bench.replace(lost)

    return run


def _pause_holder(step):
    def run(bench):
        paused = _holder_finder(step)(bench)
        paused.is_running = False
        bench.run_for(90)
        paused.is_running = True

    return run


def _fail_rack(bench):
    assert bench.run_until(lambda: bench.at_step('quiet'))
    host = bench.at_step('quiet').host
    rack = bench.fleet.hosts[host].rack
    lost = [
        name
        for name in bench.watched
        if bench.fleet.hosts[name].rack == rack and name != host
    ]
    for name in lost:
        bench.hosts.fail(name)
        bench.report()
    bench.run_for(60)
    assert not bench.state.disruptions, bench.state.disruptions
    for name in lost:
        bench.hosts.repair(name)
    bench.report()


def _partition_zone(bench):
    assert bench.run_until(lambda: bench.at_step('granted'))
    for daemon in bench.daemons:
        if daemon.zone == 'cz-b':
            daemon.is_cut_off = True
            daemon.has_log = False
    bench.run_for(120)
    for daemon in bench.daemons:
        daemon.is_cut_off = False
        daemon.has_log = True


def _interrupt_log(bench):
    assert bench.run_until(lambda: bench.at_step('quiet'))
    for daemon in bench.daemons:
        daemon.has_log = False
    events = len(bench.hosts.events)
    for _ in range(60):
        asyncio.run(bench.step())
    late = bench.hosts.events[events:]
    assert not any(verb == 'reboot' for verb, _ in late), late
    for daemon in bench.daemons:
        daemon.has_log = True


def _pause_wave(bench):
    assert bench.run_until(lambda: bench.at_step('drained'))
    host = bench.at_step('drained').host
    assert bench.apply_wave(state='paused').is_accepted
    assert bench.run_until(lambda: not bench.state.disruptions, 120)
    bench.run_for(20)
    assert not bench.state.disruptions
    assert ('reboot', host) not in bench.hosts.events
    assert bench.apply_wave().is_accepted


def _apply_opposing_files(bench):
    assert bench.run_until(lambda: bench.at_step('drained'))
    host = bench.at_step('drained').host
    state = bench.state
    bodies = [
        configuration.make_config_applied(
            state.document,
            state.revision,
            {**state.document, 'waves': waves},
            f'opposite-{index}',
            'ops',
        )
        for index, waves in enumerate(
            ({'test': {**WAVE, 'state': 'cancelled'}}, {})
        )
    ]
    offsets = [bench.append('ops', body) for body in bodies]
    bench.catch_up()
    accepted = [bench.decisions[o].is_accepted for o in offsets]
    assert accepted == [True, False], accepted
    bench.run_for(60)
    assert not bench.state.disruptions
    assert ('reboot', host) not in bench.hosts.events
    assert bench.apply_wave().is_accepted


def _admit_tasks(step):
    def run(bench):
        assert bench.run_until(lambda: bench.at_step(step)), step
        host = bench.hosts.hosts[bench.at_step(step).host]
        host.is_leaving = False
        host.tasks = 2

    return run


FAULTS = {
    'no fault': lambda bench: None,
    'a lost response from the log': _lose_log_response,
    'a rack failure': _fail_rack,
    'a zone partition for 120 s': _partition_zone,
    'the log unavailable for 60 s': _interrupt_log,
    'the file pausing and resuming the wave': _pause_wave,
    'opposing file changes': _apply_opposing_files,
    **{
        f'a lost response from {verb}': _lose_response(verb)
        for verb in ('drain', 'reboot', 'restore')
    },
    **{
        f'a late {verb}': _delay(verb)
        for verb in ('drain', 'reboot', 'restore')
    },
    **{
        f'tasks admitted again at {step}': _admit_tasks(step)
        for step in ('drained', 'stopping')
    },
    **{
        f'the holder crashed at {step.value}': _crash_holder(step.value)
        for step in records.Step
    },
    **{
        f'the holder paused at {step.value}': _pause_holder(step.value)
        for step in records.Step
    },
}


@when('the wave runs with {fault}')
def run_wave(context, fault):
    bench = context.bench
    assert bench.apply_wave().is_accepted
    FAULTS[fault](bench)
    assert bench.run_until(bench.is_done), (
        bench.state.disruptions,
        bench.daemons[0].maintainer.explain(),
    )
    bench.run_for(90)


@then('every host of the wave was rebooted once and is back')
def check_rebooted(context):
    events = context.bench.hosts.events
    rebooted = sorted(host for verb, host in events if verb == 'reboot')
    assert rebooted == sorted(context.bench.watched), rebooted
    hosts = context.bench.hosts.hosts
    away = [n for n, h in hosts.items() if h.is_leaving or not h.is_live]
    assert not away, away


@then('no budget was exceeded and nothing was interrupted')
def check_invariants(context):
    assert not context.bench.hosts.violations, context.bench.hosts.violations
    assert context.bench.max_unavailable_seen['pr-checker'] <= 2


@when('two daemons request two hosts concurrently')
def request_two_hosts(context):
    bench = context.bench
    bench.apply_wave()
    context.offsets = [
        _request_host(bench, host, daemon)
        for host, daemon in zip(bench.watched, bench.daemons)
    ][:2]


def _request_host(bench, host, daemon):
    incarnation = getattr(daemon, 'incarnation', daemon)
    offset = bench.append(
        daemon, records.DisruptionAsked(host, 'test', incarnation)
    )
    bench.catch_up()
    return offset


@then('exactly {count:d} of the two is granted')
def check_granted(context, count):
    decisions = [context.bench.decisions[o] for o in context.offsets]
    assert sum(d.is_accepted for d in decisions) == count, decisions


def _fail(bench, host):
    bench.hosts.fail(host)
    bench.report()


def _use_up_window(bench):
    limit = bench.document['workspaces']['vltava']['budgets']['pr-checker']
    _fail(bench, bench.watched[1])
    # The downtime left is then less than the expected downtime of a host.
    # Log time advances with records, and no timestamp may be far ahead of
    # it, so the clock advances in ten steps with a record after each.
    for index in range(10):
        bench.clock.elapsed_s += (limit['downtime_s'] - 30) / 10
        bench.apply_wave(expected_s=60.0 + index)
    bench.hosts.repair(bench.watched[1])
    bench.report()


def _renew(bench, holder):
    bench.clock.elapsed_s += 29
    bench.append(holder, records.PermissionRenewed(holder.incarnation))
    bench.clock.elapsed_s += 29


def _declare_dead(bench, holder):
    bench.apply({**bench.document, 'dead_daemons': [holder.incarnation]})
    assert holder.incarnation not in bench.daemons[-1].state.members


def _leave(bench, holder):
    bench.append(holder, records.DaemonLeft(holder.incarnation))


def _wait(seconds):
    def run(bench, holder):
        bench.clock.elapsed_s += seconds

    return run


HOLDER_EVENTS = {
    'while its holder renews it': _renew,
    'immediately after its holder was replaced': Bench.replace,
    'immediately after its holder was declared dead': _declare_dead,
    'after its holder left': _leave,
    '29 s after the last record of its holder': _wait(29),
    '31 s after the last record of its holder': _wait(31),
}


@when('another daemon tries to take over a grant {when}')
def take_over(context, when):
    bench = context.bench
    bench.apply_wave()
    holder, other = bench.daemons[:2]
    offset = _request_host(bench, bench.watched[0], holder)
    HOLDER_EVENTS[when](bench, holder)
    body = records.DisruptionTaken(bench.watched[0], offset, other.incarnation)
    taken = bench.append(other, body)
    bench.catch_up()
    context.decision = bench.decisions[taken]


@then('the grant is taken over')
def check_taken(context):
    assert context.decision.is_accepted, context.decision


@then('the grant is not taken over')
def check_not_taken(context):
    assert not context.decision.is_accepted
    assert 'may act for' in context.decision.reason, context.decision


@when('the log and the reboot service fail and only the latter recovers')
def lose_log_and_reboots(context):
    bench = context.bench
    bench.apply_wave()
    bench.hosts.unavailable.add('reboot')
    assert bench.run_until(lambda: bench.at_step('stopping'))
    for daemon in bench.daemons:
        daemon.has_log = False
    for _ in range(25):
        asyncio.run(bench.step())
    bench.hosts.unavailable.clear()
    for _ in range(30):
        asyncio.run(bench.step())


@then('no host was rebooted')
def check_no_reboot(context):
    events = context.bench.hosts.events
    assert not any(verb == 'reboot' for verb, _ in events), events


@when('a daemon requests {target}')
def request_host(context, target):
    bench = context.bench
    bench.apply_wave()
    host, daemon = bench.watched[0], bench.daemons[0]
    if target == 'a host that is down':
        _fail(bench, host)
    elif target == 'a host beside a failed one':
        _fail(bench, bench.watched[1])
    elif target == 'a host with no downtime left in the window':
        _use_up_window(bench)
    elif target == 'a host of another pool':
        host = 'portal-h1'
    elif target == 'a host before the wave starts':
        bench.apply_wave(start_at_s=memory.START_S + 1000)
    elif target == 'a host of a paused wave':
        bench.apply_wave(state='paused')
    elif target == 'a host without being a member':
        daemon = 'non-member'
    context.decision = bench.decisions[_request_host(bench, host, daemon)]


@then('the request is rejected because "{reason}"')
def check_refused(context, reason):
    assert not context.decision.is_accepted
    assert reason in context.decision.reason, context.decision.reason


@when(
    'a host has {work_s:d} s of planned work with a failure of {down_s:d} s '
    'in it'
)
def fail_during_work(context, work_s, down_s):
    bench = context.bench
    bench.apply_wave()
    host, daemon = bench.watched[0], bench.daemons[0]
    offset = _request_host(bench, host, daemon)
    bench.clock.elapsed_s += (work_s - down_s) / 2
    _fail(bench, host)
    bench.clock.elapsed_s += down_s
    bench.hosts.repair(host)
    bench.report()
    bench.clock.elapsed_s += (work_s - down_s) / 2
    bench.append(
        daemon,
        records.DisruptionEnded(host, offset, daemon.incarnation, False),
    )
    bench.clock.elapsed_s += 500
    bench.apply_wave(state='cancelled')
    bench.catch_up()


@then('{spent_s:d} executor seconds of "{service}" are spent')
def check_spent(context, spent_s, service):
    found_s = budget.spent_s(context.bench.state, service)
    assert found_s == spent_s, found_s


@when('a host fails after another was granted')
def fail_after_grant(context):
    bench = context.bench
    bench.apply_wave()
    assert bench.run_until(lambda: bench.at_step('drained'))
    context.host = bench.at_step('drained').host
    other = next(name for name in bench.watched if name != context.host)
    _fail(bench, other)
    bench.run_for(30)


@then('the granted host is released without a reboot')
def check_released(context):
    bench = context.bench
    assert not bench.state.disruptions, bench.state.disruptions
    assert ('reboot', context.host) not in bench.hosts.events
    assert not bench.hosts.hosts[context.host].is_leaving


@when('the first host of the wave never comes back')
def never_come_back(context):
    bench = context.bench
    bench.hosts.stuck_in_reboot.update(bench.watched)
    bench.apply_wave()
    assert bench.run_until(lambda: bench.at_step('stopping'))
    context.host = bench.at_step('stopping').host
    bench.run_for(60)
    bench.append(
        'watch',
        records.HostReported(
            context.host, False, bench.daemons[0].incarnation
        ),
    )
    bench.run_for(120)


@then('its reason says "{text}"')
def check_reason(context, text):
    bench = context.bench
    for daemon in bench.daemons:
        reason = daemon.maintainer.explain()[context.host]
        is_holder = daemon is bench.holder_of(
            bench.state.disruptions[context.host]
        )
        expected = 'not up yet' if is_holder else text
        assert expected in reason, reason


@then('no other host of the service is disrupted')
def check_no_other_disruption(context):
    assert list(context.bench.state.disruptions) == [context.host]
    assert context.bench.state.down_hosts == {context.host}


@when('zone "{zone}" is partitioned off before the wave starts')
def partition_before_wave(context, zone):
    bench = context.bench
    bench.run_for(5)
    for daemon in bench.daemons:
        if daemon.zone == zone:
            daemon.is_cut_off = True
            daemon.has_log = False
    bench.run_for(15)
    bench.apply_wave()
    bench.run_for(200)


@then('no host is stopped')
def check_no_stop(context):
    assert not context.bench.hosts.events, context.bench.hosts.events


@then('every reachable daemon gives the reason "{text}"')
def check_explained(context, text):
    for daemon in context.bench.daemons:
        if not daemon.is_cut_off:
            reasons = daemon.maintainer.explain()
            for host in context.bench.watched:
                assert text in reasons[host], reasons


@when('an entry host stops responding and {what}')
def stop_entry_host(context, what):
    bench = context.bench
    bench.run_for(5)
    lost = bench.daemons[1]
    lost.is_running = False
    lost.is_listed = what == 'the list still contains it'
    wait_s = 12 if what == 'the list has omitted it for 12 s' else 60
    if what == 'an operator declares it dead':
        wait_s = 12
        bench.document = {
            **bench.document,
            'dead_daemons': [lost.incarnation],
        }
        assert bench.apply(bench.document).is_accepted
    bench.run_for(wait_s)
    bench.apply_wave()
    # Long enough for running requests to end, but shorter than the longest
    # request deadline.
    bench.run_for(21)


@then('the wave proceeds')
def check_proceeds(context):
    assert context.bench.hosts.events


@then('the wave waits')
def check_waits(context):
    assert not context.bench.hosts.events, context.bench.hosts.events


@when('the log is down when a scheduled wave starts')
def start_without_log(context):
    bench = context.bench
    start_at_s = bench.clock.now_s() + 12
    assert bench.apply_wave(start_at_s=start_at_s).is_accepted
    bench.run_for(3)
    for daemon in bench.daemons:
        daemon.has_log = False
    for _ in range(30):
        asyncio.run(bench.step())


@then('no daemon tried to request a host')
def check_no_request_attempts(context):
    asked = [
        body
        for daemon in context.bench.daemons
        for body in daemon.attempts
        if isinstance(body, records.DisruptionAsked)
    ]
    assert not asked, asked


@when('all daemons acknowledge a grant 1 s {when} the outage ends')
def acknowledge(context, when):
    bench = context.bench
    bench.apply_wave()
    _request_host(bench, bench.watched[0], bench.daemons[0])
    peers = peer_digests.PeerTable()
    for daemon in bench.daemons:
        peers.note(daemon.digest(), 100.0)
    ended_s = 101.0 if when == 'before' else 99.0
    context.refusal = acknowledgements.quiesce_refusal(
        bench.state,
        bench.state.disruptions[bench.watched[0]],
        acknowledgements.PeerView(peers, now_s=102.0, outage_ended_s=ended_s),
    )


@then('the acknowledgements do not count')
def check_not_counted(context):
    assert 'in an outage' in context.refusal, context.refusal


@then('the acknowledgements count')
def check_counted(context):
    assert context.refusal is None, context.refusal


@when('a move wave is removed from the file while its host is stopping')
def remove_move_wave(context):
    bench = context.bench
    context.host = bench.watched[0]
    known = bench.document['pools']
    bench.document = {**bench.document, 'pools': {**known, 'spare-pool': {}}}
    assert bench.apply(bench.document).is_accepted
    wave = {
        'action': 'move',
        'target_pool': 'spare-pool',
        'hosts': [context.host],
    }
    assert bench.apply_wave(**wave).is_accepted
    bench.hosts.delayed.add('move')
    assert bench.run_until(lambda: bench.at_step('stopping'))
    document = bench.state.document
    pools = {n: p for n, p in document['pools'].items() if n != 'spare-pool'}
    refused = bench.apply({**document, 'waves': {}, 'pools': pools})
    assert 'on its way there' in refused.reason, refused
    assert bench.apply({**document, 'waves': {}}).is_accepted
    assert bench.run_until(lambda: not bench.state.disruptions)


@then('the host is in pool "{pool}" on every daemon and was not rebooted')
def check_moved(context, pool):
    bench = context.bench
    bench.catch_up()
    for daemon in bench.daemons:
        assert daemon.state.pool_of(context.host) == pool
    assert bench.hosts.hosts[context.host].pool == pool
    assert not any(verb == 'reboot' for verb, _ in bench.hosts.events)


@given('fixed seeds for the random faults')
def load_document(context):
    context.document = context.load_example('vltava.yaml')


@then('no sequence of faults violates an invariant')
def check_fault_sequences(context):
    names = sorted(FAULTS)
    faults = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(names), strategies.integers(1, 40)
        ),
        min_size=2,
        max_size=3,
    )

    @hypothesis.settings(
        derandomize=True,
        max_examples=15,
        deadline=None,
        database=None,
        # Shrinking would take minutes in CI.
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(faults)
    def check(chosen):
        bench = Bench(context.document)
        assert bench.apply_wave().is_accepted
        for name, wait_s in chosen:
            bench.run_for(wait_s)
            if not _is_spent(bench, name):
                FAULTS[name](bench)
        bench.run_for(200)
        assert not bench.hosts.violations, bench.hosts.violations

    check()


def _is_spent(bench, name):
    """Return whether too few hosts or daemons are left for a fault."""
    lost = [d for d in bench.daemons if not d.is_running]
    remaining = len(bench.watched) - len(bench.state.finished.get('test', ()))
    return remaining < 3 or bool(lost)
