"""Where the runs of each job fail, to tell whose fault it is."""

import collections


class FailureEvidence:
    """Keeps the executors on which the runs of jobs fail.

    A job that fails on more executors than may be at fault at once is at fault
    itself, until it ends.
    """

    def __init__(self):
        # Pairs of executor and step, for each job, of which no run has
        # succeeded since.
        self._failed_on = collections.defaultdict(set)
        self._at_fault = set()

    def is_at_fault(self, job_id):
        """Return whether the failures of a job are its own fault."""
        return job_id in self._at_fault

    def mark_at_fault(self, job_id):
        """Record that the failures of a job are its own fault."""
        self._failed_on.pop(job_id, None)
        self._at_fault.add(job_id)

    def note_failure(self, executor, run):
        """Record a failure; return on how many executors the job fails."""
        failed_on = self._failed_on[run.task_id.job_id]
        failed_on.add((executor.executor_id, run.task_id.step))
        return len({executor_id for executor_id, _ in failed_on})

    def note_success(self, executor, run):
        """Record that a run of a job has succeeded on an executor."""
        failed_on = self._failed_on.get(run.task_id.job_id)
        if failed_on:
            failed_on.discard((executor.executor_id, run.task_id.step))

    def forget_job(self, job_id):
        """Forget a job that has ended."""
        self._failed_on.pop(job_id, None)
        self._at_fault.discard(job_id)
