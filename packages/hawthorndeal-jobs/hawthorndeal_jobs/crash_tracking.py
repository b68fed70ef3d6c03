"""Keep in the state of tasks which executors crashed under them."""

from . import crash_blame
from . import run_tracking
from . import shared_crashes


class CrashTracking:
    """Records crashes, and the runs that show that a task is innocent.

    :param steps: the steps whose tasks may start
    :param endings: keeps which occurrences changed
    """

    def __init__(self, steps, endings):
        self._steps = steps
        self._endings = endings
        self._shared = shared_crashes.SharedCrashes()

    def note_crash(self, executor, exposed, others, now_s):
        """Record the crash of an executor, and return the suspects.

        :param exposed: runs that may have been executing then
        :param others: the other executors that have not ended
        :rtype: list[crash_blame.Suspect]
        """
        is_shared = self._shared.is_shared(executor, others, now_s)
        self._shared.note(executor, now_s)
        runs = filter(crash_blame.may_be_responsible, exposed)
        suspects = crash_blame.judge(executor, list(runs), is_shared)
        for suspect in suspects:
            crash_blame.note_crash(suspect)
            self._endings.note_changed(suspect.run)
            self._steps.note_suspected(suspect.run.task_id)
        return suspects

    def note_started(self, run):
        """Store that a suspect has started, for a crash after a takeover."""
        task = run.task
        is_news = run.started_s is not None and task.started_run < run.number
        if is_news and run.is_suspect and run_tracking.is_current(run):
            task.started_run = run.number
            self._endings.note_changed(run)

    def clear_suspects(self, executor):
        """Forget the crashes under tasks whose runs have lasted.

        :returns: whether other work may start on the executor
        """
        cleared = []
        for run in executor.suspect_runs.values():
            self.note_started(run)
            if crash_blame.is_cleared(executor, run):
                cleared.append(run)
        for run in cleared:
            del executor.suspect_runs[run.key]
            crash_blame.clear(run.task)
            self._endings.note_changed(run)
        return bool(cleared)
