"""Steps that restart the daemons of a deployment one by one."""

import threading

from behave import given
from behave import then
from behave import when

from stage import deployment
from stage import processes
from steps import common

READY_TIMEOUT_S = 20.0
WORK_S = 1.0
BATCH_SIZE = 30


class ContinuousCallers(threading.Thread):
    """Send batches of requests until stopped.

    :param stage: the deployment that serves them
    """

    def __init__(self, stage):
        super().__init__(daemon=True)
        self._stage = stage
        self._stopping = threading.Event()
        self.tallies = []

    def run(self):
        """Send one batch after the other."""
        while not self._stopping.is_set():
            seed = len(self.tallies) + 1
            callers = common.BackgroundCallers(
                self._stage, BATCH_SIZE, seed=seed
            )
            callers.start()
            callers.join()
            self.tallies.append(callers.tally)

    def finish(self):
        """Wait for the current batch and return the merged tally."""
        self._stopping.set()
        self.join()
        merged, *others = self.tallies
        for tally in others:
            merged.outcomes.update(tally.outcomes)
            merged.reasons.update(tally.reasons)
            merged.wrong_answers.extend(tally.wrong_answers)
        return merged


def _members(context):
    _, status = context.stage.control('entry-a1', '/v1/status')
    return {m['daemon']: m['incarnation'] for m in status['members']}


@when('callers send requests while each daemon in turn is restarted')
def roll(context):
    stage = context.stage
    context.before = _members(context)
    callers = ContinuousCallers(stage)
    callers.start()
    context.codes = [_restart(process) for process in stage.daemons.values()]
    context.tally = callers.finish()


def _restart(process):
    code = process.terminate()
    process.start()
    processes.wait_until(
        lambda: deployment.is_ready(process.url),
        READY_TIMEOUT_S,
        f'{process.name} ready',
    )
    return code


@then('each daemon exited with code 0 and restarted at revision {revision:d}')
def check_restarted(context, revision):
    assert set(context.codes) == {0}, context.codes
    for daemon in context.stage.daemons:
        _, answer = context.stage.control(daemon, '/v1/document')
        assert answer['revision'] == revision, (daemon, answer['revision'])


@then('the status lists the same daemons with new incarnations')
def check_members(context):
    after = processes.wait_until(
        lambda: _members_if_all_new(context),
        READY_TIMEOUT_S,
        'all daemons joined',
    )
    assert set(after) == set(context.before), after


def _members_if_all_new(context):
    after = _members(context)
    is_whole = len(after) == len(context.before)
    is_new = all(after[name] != context.before.get(name) for name in after)
    return after if is_whole and is_new else None


@given('a running deployment whose requests outlast the shutdown grace period')
def start_slow(context):
    stage = context.make_stage(work_s=WORK_S)
    assert WORK_S > 2 * deployment.SHUTDOWN_GRACE_S
    result = stage.apply()
    assert result.returncode == 0, result.stderr
    stage.await_ready()


@given('a running deployment without a fleet')
def start_without_fleet(context):
    context.make_stage()


@then('the reason is "{reason}" and the retry delay is {delay_s:d} s')
def check_reason(context, reason, delay_s):
    answer = context.answer
    assert answer['reason'] == reason, answer
    assert answer['retry_after_s'] == delay_s, answer
