"""Decide which tasks are to blame when an executor crashes.

A crash tells nothing of its cause, and an executor runs many tasks at once.
Most tasks that crash executors do so soon after their start. So a crash makes
those tasks suspects that had only just started, and their next starts are on
probation: apart from other suspects and from all that has only just started.
If the executor crashes again, one task is left to blame; if the run lasts, its
task is cleared. Tasks that crash executors some seconds after their start are
found by a third crash.

A start that was not answered may never have taken effect. It makes its task a
suspect, but a task is given up only after two crashes under runs that are
known to have started, or after more crashes than chance explains. The latter
holds, too, for a run that this owner found running and that lasted on: how
long it had lasted before is not known.
"""

import attrs

from . import jobs
from . import run_state

# A run that lasted this long did not crash its executor by being started.
PROVING_S = 0.2
# A run that lasted this long has nothing to do with a crash.
MAX_BLAMED_S = 3.0
# A probation lasts longer than the task's last run by this factor.
PROBATION_FACTOR = 1.5
# Number of crashes from which a task is on probation, if none of its runs
# ended right after its start.
CRASHES_BEFORE_PROBATION = 2
# Confirmed crashes from which a task may be given up.
CRASHES_BEFORE_GIVING_UP = 2
# A task under which so many executors have crashed is given up even if it was
# never the only suspect, and one more even if it is not known to have started
# on them.
MAX_CRASHES = 4
MAX_UNCONFIRMED_CRASHES = 5

_Phase = run_state.RunPhase


@attrs.frozen
class Suspect:
    """A task that may have crashed an executor.

    :ivar run: the run that it had there
    :ivar survival_s: how long the run is known to have lasted
    :ivar is_blamed: whether the task is to be given up
    """

    run: run_state.Run
    survival_s: float
    is_blamed: bool


def probation_s(task):
    """Return how long the next run of a task is on probation; 0 if not."""
    if not task.crash_count:
        return 0.0
    is_early = task.crash_survival_s < PROVING_S
    if not is_early and task.crash_count < CRASHES_BEFORE_PROBATION:
        return 0.0
    return max(PROVING_S, PROBATION_FACTOR * task.crash_survival_s)


def may_start_beside(task):
    """Return whether a task may start beside others, without probation.

    One that is given up at the next crash has to be the only suspect.
    """
    return task.crash_count < MAX_CRASHES - 1


def is_proven(executor, run):
    """Return whether a run has lasted long enough to be above suspicion."""
    survival_s = executor.survival_s(run)
    return survival_s is not None and survival_s >= max(
        PROVING_S, run.probation_s
    )


def is_cleared(executor, run):
    """Return whether a run shows that earlier crashes had other causes."""
    survival_s = executor.survival_s(run)
    needed_s = run.probation_s or MAX_BLAMED_S
    return survival_s is not None and survival_s >= needed_s


def judge(executor, runs, is_shared=False):
    """Return the suspects of the crash of an executor.

    Runs on probation are suspected first. If they all belong to one job, they
    are to blame, and their neighbours are not suspected.

    :param runs: the runs that may have been executing
    :param is_shared: whether other executors crashed for the same cause
    :rtype: list[Suspect]
    """
    unproven = [run for run in runs if not is_proven(executor, run)]
    on_probation = [run for run in unproven if run.probation_s]
    job_ids = {run.task_id.job_id for run in on_probation}
    if len(job_ids) == 1 and not is_shared:
        return [
            _suspect(executor, run, _limit_on_probation(executor, run))
            for run in on_probation
        ]
    return [
        _suspect(executor, run, MAX_CRASHES)
        for run in runs
        if (executor.survival_s(run) or 0.0) < MAX_BLAMED_S
    ]


def _limit_on_probation(executor, run):
    """Return the number of crashes from which a run on probation is to blame.

    One that this owner found running may have outlasted its probation before,
    unless the executor crashed right after.
    """
    survival_s = executor.survival_s(run) or 0.0
    if run.is_inherited and survival_s >= PROVING_S:
        return MAX_CRASHES
    return CRASHES_BEFORE_GIVING_UP


def _suspect(executor, run, limit):
    """Return a suspect that is to blame from a number of crashes on."""
    task, is_confirmed = run.task, run.is_known_to_have_started
    crashes = task.crash_count + 1
    confirmed = len(task.crashed_executors) + is_confirmed
    is_blamed = not is_proven(executor, run) and (
        crashes >= MAX_UNCONFIRMED_CRASHES
        or crashes >= limit
        and confirmed >= CRASHES_BEFORE_GIVING_UP
    )
    return Suspect(run, executor.survival_s(run) or 0.0, is_blamed)


def may_be_responsible(run):
    """Return whether a run may have been executing a task that goes on."""
    return (
        run.phase is not _Phase.PLANNED
        and not run.occurrence.job.is_terminal
        and run.task.state in (jobs.TaskState.PENDING, jobs.TaskState.ASSIGNED)
    )


def note_crash(suspect):
    """Record a crash in the state of a suspected task."""
    task, executor_id = suspect.run.task, suspect.run.executor_id
    if executor_id in task.crashed_executors:
        return
    task.crash_survival_s = suspect.survival_s
    if suspect.run.is_known_to_have_started:
        task.crashed_executors += (executor_id,)
    else:
        task.unconfirmed_crashes += 1


def clear(task):
    """Forget the crashes under a task."""
    task.crashed_executors = ()
    task.unconfirmed_crashes = task.started_run = 0
    task.crash_survival_s = 0.0
