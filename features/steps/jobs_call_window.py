"""Steps for the number of calls in flight, and for plans with a limit."""

import heapq
import itertools
import math

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import call_window
from hawthorndeal_jobs import run_state
from hawthorndeal_platform import executor_orders
from hawthorndeal_scheduler import executor_agent
from stage import scheduler_harness

NAMES = 'abcd'
HOSTS = 8
# How often the owner of a narrow link sends calls, and how fast executors
# answer there.
SEND_PERIOD_S = 0.005
LINK_ANSWER_S = 0.01
LINK_EXECUTORS = 40


class _Caller:
    """Sends as many calls as a window allows, in rounds.

    :ivar now_s: time of the calls
    """

    def __init__(self, usual_s):
        self.window = call_window.CallWindow()
        self.now_s = 100.0
        self.usual_s = usual_s
        self._names = itertools.cycle(NAMES)
        self._calls = []

    def send(self, name, took_s, is_answered):
        """Send a call whose end is known."""
        call = self.window.note_sent(name, self.now_s)
        end = (self.now_s + took_s, len(self._calls), call, is_answered)
        self._calls.append(end)
        return end[0]

    def end_until(self, limit_s):
        """Report the ends up to a time."""
        due = sorted(end for end in self._calls if end[0] <= limit_s)
        self._calls = [end for end in self._calls if end[0] > limit_s]
        for end_s, _, call, is_answered in due:
            self.now_s = end_s
            self.window.note_end(call, is_answered, end_s)
        self.now_s = max(self.now_s, limit_s)

    def run_round(self, took_s=None):
        """Send as many calls as allowed, and await their answers.

        Silent calls are awaited only if there is no other one.

        :param took_s: times of the executors that differ from the usual one;
            None for a silent one
        """
        took_s = took_s or {}
        answered_s = []
        for name in itertools.islice(
            self._names, self.window.free_calls(self.now_s)
        ):
            call_s = took_s.get(name, self.usual_s)
            if call_s is None:
                self.send(name, executor_orders.CALL_TIMEOUT_S, False)
            else:
                answered_s.append(self.send(name, call_s, True))
        if answered_s:
            self.end_until(max(answered_s))
        else:
            self.end_all()

    def end_all(self):
        """Report the ends of all calls."""
        self.end_until(max([end[0] for end in self._calls] or [self.now_s]))


class _NarrowLink:
    """A link that carries the owner's calls one after the other.

    :ivar ends: time of the end of each call, and whether it was answered
    """

    def __init__(self, rate_before, rate_after, changed_s):
        self.ends = []
        self.changed_s = changed_s
        self.rate_after = rate_after
        self._rate_before = rate_before
        self._window = call_window.CallWindow()
        self._free_s = 0.0
        self._calls = []
        self._numbers = itertools.count()

    def play(self, seconds):
        """Send as many calls as the window allows."""
        for turn in range(round(seconds / SEND_PERIOD_S)):
            now_s = turn * SEND_PERIOD_S
            self._end_until(now_s)
            for _ in range(self._window.free_calls(now_s)):
                self._send(now_s)

    def _end_until(self, now_s):
        while self._calls and self._calls[0][0] <= now_s:
            end_s, _, call, is_answered = heapq.heappop(self._calls)
            self._window.note_end(call, is_answered, end_s)
            self.ends.append((end_s, is_answered))

    def _send(self, now_s):
        is_changed = now_s >= self.changed_s
        rate = self.rate_after if is_changed else self._rate_before
        self._free_s = max(self._free_s, now_s) + 1.0 / rate
        took_s = self._free_s + LINK_ANSWER_S - now_s
        timeout_s = executor_orders.CALL_TIMEOUT_S
        number = next(self._numbers)
        call = self._window.note_sent(f'x{number % LINK_EXECUTORS}', now_s)
        end_s = now_s + min(took_s, timeout_s)
        heapq.heappush(self._calls, (end_s, number, call, took_s < timeout_s))


@given(
    'a link that carries {before:d} calls a second, and {after:d} after '
    '{changed:d} seconds'
)
def make_link(context, before, after, changed):
    context.link = _NarrowLink(before, after, changed)


@when('as many calls as allowed are sent for {seconds:d} seconds')
def play_link(context, seconds):
    context.seconds = seconds
    context.link.play(seconds)


@then('no call times out later than {settled:d} seconds after the change')
def check_time_outs(context, settled):
    context.settled_s = context.link.changed_s + settled
    lost = [
        end_s
        for end_s, is_answered in context.link.ends
        if not is_answered and end_s > context.settled_s
    ]
    assert not lost, (len(lost), lost[:5])


@then('the link carries {share:g} of what it can from then on, or more')
def check_carried(context, share):
    link = context.link
    carried = sum(
        is_answered and end_s > context.settled_s
        for end_s, is_answered in link.ends
    )
    possible = link.rate_after * (context.seconds - context.settled_s)
    assert carried >= share * possible, (carried, possible)


@given('a window for calls to 4 executors that answer in {usual:g} s')
def make_window(context, usual):
    context.caller = _Caller(usual)


@when('each executor answers {count:d} calls')
def answer_calls(context, count):
    caller = context.caller
    sent = 0
    while sent < count * len(NAMES):
        sent += caller.window.free_calls(caller.now_s)
        caller.run_round()
    context.size = caller.window.size


@when('for {rounds:d} rounds {slow:d} executors {trouble}')
def have_trouble(context, rounds, slow, trouble):
    caller = context.caller
    took_s = None
    if trouble.startswith('take'):
        took_s = caller.usual_s + float(trouble.split()[1])
    for _ in range(rounds):
        caller.run_round(dict.fromkeys(NAMES[:slow], took_s))
    caller.end_all()


@when(
    'for 1 round the owner is busy for {busy:g} s before it reads the answers'
)
def be_busy(context, busy):
    caller = context.caller
    for name in NAMES * (int(caller.window.size) // len(NAMES)):
        caller.send(name, caller.usual_s + busy, True)
    caller.window.note_pause(busy)
    caller.end_all()


@when('100 calls are sent and answered one after the other')
def send_single_calls(context):
    caller = context.caller
    for name in NAMES * 25:
        caller.end_until(caller.send(name, caller.usual_s, True))


@then('the window grows')
def check_grown(context):
    size = context.caller.window.size
    assert size > context.size, (context.size, size)


@then('the window is halved')
def check_halved(context):
    size = context.caller.window.size
    assert size == context.size / 2, (context.size, size)


@then('the window is {wanted:d}')
def check_size(context, wanted):
    assert context.caller.window.size == wanted, context.caller.window.size


@then('the window is at least {wanted:d}')
def check_least_size(context, wanted):
    assert context.caller.window.size >= wanted, context.caller.window.size


@when('{count:d} calls to "{names}" are sent')
def send_silent_calls(context, count, names):
    for name in itertools.islice(itertools.cycle(names), count):
        context.caller.send(name, executor_orders.CALL_TIMEOUT_S, False)


@when(
    '{count:d} calls to "{name}" are sent after {delay:g} seconds and answered'
)
def send_answered_calls(context, count, name, delay):
    caller = context.caller
    caller.now_s += delay
    for _ in range(count):
        caller.end_until(caller.send(name, caller.usual_s, True))


@when('{seconds:g} seconds pass without another answer')
def pass_silently(context, seconds):
    context.caller.now_s += seconds


@then('{count:d} calls may be sent')
def check_free(context, count):
    caller = context.caller
    free = caller.window.free_calls(caller.now_s)
    assert free == count, free


@given('steps "{steps}" and executors with room for 32 tasks')
def make_steps(context, steps):
    harness = context.harness = scheduler_harness.Harness()
    for number in range(HOSTS):
        harness.add_executor(f'x{number}')
    context.wanted = {}
    for text in steps.split():
        add_step(context, text)


@when('step "{text}" arrives')
def add_step(context, text):
    name, count = text.split('*')
    context.wanted[name] = int(count)
    options = {'is_gang': name == 'gang', 'is_lasting': name == 'lasting'}
    spec = scheduler_harness.steps(int(count), **options)
    context.harness.add_job(name, spec)
    context.harness.now_s += 0.01


def _names(runs):
    return [run.task_id.job_id for run in runs]


@when('cycles of {bound:d} starts are planned until nothing is left')
def plan_all(context, bound):
    context.bound = bound
    plan = context.harness.plan
    planned = (plan(bound, is_idle=False).starts for _ in itertools.count())
    context.cycles = list(itertools.takewhile(bool, planned))


@then('the first cycle starts "{names}"')
def check_first_cycle(context, names):
    assert _names(context.cycles[0]) == names.split(), context.cycles[0]


@then('as many cycles as needed start each task once')
def check_cycles(context):
    runs = list(itertools.chain.from_iterable(context.cycles))
    total = sum(context.wanted.values())
    assert len(runs) == len({run.task_id for run in runs}) == total, runs
    assert len(context.cycles) == math.ceil(total / context.bound)
    assert all(len(cycle) <= context.bound for cycle in context.cycles)


@when('a cycle of {bound:d} starts is planned {how} others in flight')
def plan_one(context, bound, how):
    plan = context.harness.plan(bound, is_idle=how == 'without')
    context.starts = plan.starts


@when('no cycle is planned for {seconds:g} s')
def pass_time(context, seconds):
    context.harness.now_s += seconds


@then('it starts "{names}"')
def check_starts(context, names):
    assert _names(context.starts) == names.split(), context.starts


@then('it starts ""')
def check_no_starts(context):
    assert not context.starts, context.starts


@then('step "{name}" isn\'t counted as unplaced')
def check_not_unplaced(context, name):
    (ready_step,) = (
        step
        for step in context.harness.scheduler.steps.pending()
        if step.occurrence.job.job_id == name
    )
    assert ready_step.unplaced_since_s is None, ready_step.unplaced_since_s


@when('the start of a run has been unknown for {age:g} s')
def make_unknown_run(context, age):
    harness = scheduler_harness.Harness()
    harness.add_executor('a')
    harness.add_job('j', scheduler_harness.steps(2))
    run, other = harness.start_all()
    run.phase = run_state.RunPhase.UNKNOWN
    run.phase_changed_s = harness.now_s
    context.wait_s = executor_agent.poll_wait_s(
        [run, other], harness.now_s + age
    )


@then('a poll waits for {wait:g} s')
def check_poll_wait(context, wait):
    assert math.isclose(context.wait_s, wait, abs_tol=1e-9), context.wait_s
