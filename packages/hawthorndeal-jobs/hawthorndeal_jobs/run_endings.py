"""Apply the ends of runs to their tasks, steps and jobs."""

from . import crash_blame
from . import jobs
from . import run_state
from . import run_tracking

_Cause = run_state.EndCause


class RunEndings:
    """Applies the ends of runs, and keeps which occurrences changed.

    :param steps: the steps whose tasks may start
    :param forget_advice: forgets what is known of advice on a job's steps
    :param run_index: the runs on all executors
    :param health: an :class:`executor_health.ExecutorHealth`
    """

    def __init__(self, steps, forget_advice, run_index, health):
        self._steps = steps
        self._health = health
        self._forget_advice = forget_advice
        self._run_index = run_index
        self._changed = {}

    def note_changed(self, run):
        """Record that the task of a run has changed."""
        run.occurrence.note_changed(run.task_id.step, run.task_id.index)
        self._changed[run.occurrence] = None

    def pop_changed(self):
        """Return the occurrences that changed since the last call."""
        changed, self._changed = list(self._changed), {}
        return changed

    def stop_job(self, job):
        """Stop all runs of a job that has ended."""
        self._steps.remove_job(job)
        self._forget(job.job_id)
        for run in self._run_index.runs_of_job(job.job_id):
            if job.must_end_runs_of(run.step):
                run.is_stop_requested = True

    def finish(self, executor, ended, now_s):
        """Remove a run that has ended from its executor."""
        run, task = ended.run, ended.run.task
        was_current = run_tracking.is_current(run)
        executor.remove(run, now_s)
        self._steps.pools_to_schedule.add(executor.entry.pool)
        self._update_executor_health(executor, ended, now_s)
        if not was_current:
            self._finish_superseded(ended, now_s)
            return
        if ended.cause in (_Cause.DONE, _Cause.FAILED):
            # Its executor has survived it.
            crash_blame.clear(task)
        if ended.checkpoint and run.step.is_checkpointing:
            task.checkpoint = ended.checkpoint
        self.note_changed(run)
        if ended.cause is _Cause.DONE and not run.step.is_lasting:
            self._mark_done(run, now_s)
        elif ended.cause is _Cause.FAILED and not run.step.is_lasting:
            self._mark_failed(run, now_s)
        else:
            self._mark_pending(run, now_s)

    def _finish_superseded(self, ended, now_s):
        """Process the end of a run that its task no longer refers to."""
        run = ended.run
        if run.step.is_lasting:
            return
        if ended.cause is _Cause.DONE:
            self._mark_done(run, now_s)
        elif ended.cause is _Cause.FAILED:
            run.occurrence.note_failed_run(run.task_id, run.number)
            self.note_changed(run)
            # While a later run is under way, its end decides.
            if run.task.state is jobs.TaskState.PENDING:
                self._give_up_if_exhausted(run, now_s)

    def _update_executor_health(self, executor, ended, now_s):
        if ended.cause is _Cause.DONE:
            self._health.record_success(executor, ended.run)
            self._record_run_time(ended.run, now_s)
        elif ended.cause is _Cause.FAILED:
            self._health.record_failure(executor, ended.run, now_s)

    def _record_run_time(self, run, now_s):
        if run.started_s is not None and not run.step.is_lasting:
            self._steps.estimates.note(
                run.occurrence.job.queue,
                run.step.estimate_s,
                now_s - run.started_s,
            )

    def _mark_done(self, run, now_s):
        if run.step.is_gang and run.task.state is jobs.TaskState.DONE:
            # The end of another member has represented all of them.
            return
        occurrence, step = run.occurrence, run.task_id.step
        tasks = {run.task_id.index: run.task}
        if run.step.is_gang:
            tasks = dict(enumerate(occurrence.tasks[step]))
        was_pending = any(
            task.state is jobs.TaskState.PENDING for task in tasks.values()
        )
        # A failed task keeps its state, and so does its job.
        ended = {
            index: task
            for index, task in tasks.items()
            if task.state not in (jobs.TaskState.DONE, jobs.TaskState.FAILED)
        }
        for index, task in ended.items():
            task.state = jobs.TaskState.DONE
            task.checkpoint = ''
            occurrence.note_changed(step, index)
        occurrence.note_done(step, len(ended))
        self.note_changed(run)
        if was_pending:
            self._steps.drop_done_tasks(occurrence, step)
        self._stop_other_runs(run)
        if occurrence.is_step_done(step):
            self._steps.complete_step(occurrence, step, now_s)
        if occurrence.job.is_done:
            self._forget(occurrence.job.job_id)

    def _forget(self, job_id):
        self._forget_advice(job_id)
        self._health.forget_job(job_id)

    def _stop_other_runs(self, ended_run):
        if ended_run.step.is_gang:
            return
        for run in self._run_index.runs_of_task(ended_run.task_id):
            run.is_stop_requested = True

    def give_up(self, run):
        """Fail the job of a task that must not start again."""
        self.note_changed(run)
        run.task.state = jobs.TaskState.FAILED
        job = run.occurrence.job
        if not job.is_failed:
            job.is_failed = True
            self.stop_job(job)

    def _mark_failed(self, run, now_s):
        run.occurrence.note_failed_run(run.task_id, run.number)
        self._mark_pending(run, now_s)

    def _mark_pending(self, run, now_s):
        run.task.state = jobs.TaskState.PENDING
        if not self._give_up_if_exhausted(run, now_s):
            self._steps.requeue(run.task_id, run.occurrence.job)

    def _give_up_if_exhausted(self, run, now_s):
        """Fail the job of a task that has no attempt left.

        :returns: whether it has none
        """
        occurrence = run.occurrence
        if run.step.is_lasting:
            return False
        max_attempts = self._steps.queue_of(occurrence.job).max_attempts
        if occurrence.failed_attempts(run.task_id) < max_attempts:
            return False
        if not occurrence.job.is_failed:
            self._health.record_given_up(run, now_s)
        self.give_up(run)
        return True
