"""Decide what the failure of a run says of its executor.

A step that also fails on an executor that does other work well fails by
itself, so that its failures say nothing of executors. Otherwise few hopeless
jobs would make all executors of a pool look unhealthy.
"""

import collections

from . import executor_health


class FailureBlame:
    """Remembers on which executors each step has failed."""

    def __init__(self):
        # Executors by job and step; None for a step that fails by itself.
        self._failed_on = collections.defaultdict(dict)

    def note_failure(self, executor, task_id, now_s):
        """Record that a run of a task failed on an executor."""
        step_key = task_id.step_key
        steps = self._failed_on[task_id.job_id]
        failed_on = steps.setdefault(step_key, {})
        if failed_on is None:
            return
        failed_on[executor.executor_id] = executor
        if len(failed_on) > 1 and executor_health.has_succeeded_lately(
            executor, now_s
        ):
            steps[step_key] = None
            for other in failed_on.values():
                executor_health.retract_failures(other, step_key)
            return
        executor_health.record_failure(executor, step_key, now_s)

    def note_success(self, executor, run, now_s):
        """Record that a run of a task succeeded on an executor."""
        executor_health.record_success(executor, run, now_s)
        job_id = run.task_id.job_id
        if job_id in self._failed_on:
            self._failed_on[job_id].pop(run.task_id.step_key, None)

    def forget_job(self, job_id):
        """Forget the failures of a job that has ended."""
        self._failed_on.pop(job_id, None)
