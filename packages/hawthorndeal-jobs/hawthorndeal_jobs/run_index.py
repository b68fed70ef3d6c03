"""Index of the runs of a partition, by job, task and possible need."""

from . import quotas


class RunIndex:
    """The runs on all executors.

    Executors add and remove their runs; a run reports its own changes.

    :ivar quotas: counts what the runs of each workspace use
    """

    def __init__(self):
        self.quotas = quotas.QuotaLedger()
        self._by_job = {}
        self._by_task = {}
        self._stop_candidates = {}
        self._fillers = {}
        # Ids of executors whose paces may have to change.
        self._pace_candidates = set()

    def add(self, run):
        """Add a run."""
        task_id = run.task_id
        self._by_job.setdefault(task_id.job_id, {})[run] = None
        self._by_task.setdefault(task_id, {})[run] = None
        if run.step.is_filler:
            self._fillers.setdefault(run.executor_id, {})[run] = None
        run.index = self
        self.quotas.add(run.workspace, run.step)
        self.update(run)
        self.note_pace_input(run.executor_id)

    def remove(self, run):
        """Remove a run."""
        _discard(self._by_job, run.task_id.job_id, run)
        _discard(self._by_task, run.task_id, run)
        _discard(self._fillers, run.executor_id, run)
        self._stop_candidates.pop(run, None)
        run.index = None
        self.quotas.remove(run.workspace, run.step)
        self.note_pace_input(run.executor_id)

    def update(self, run):
        """Process a change of whether a run may have to be stopped."""
        if run.may_need_stop:
            self._stop_candidates[run] = None
        else:
            self._stop_candidates.pop(run, None)

    def runs_of_job(self, job_id):
        """Return the runs of a job."""
        return list(self._by_job.get(job_id, ()))

    def has_runs_of_job(self, job_id):
        """Return whether there are runs of a job."""
        return job_id in self._by_job

    def runs_of_task(self, task_id):
        """Return the runs of a task."""
        return list(self._by_task.get(task_id, ()))

    def stop_candidates(self):
        """Return the runs that may have to be stopped, in order of place."""
        return sorted(self._stop_candidates, key=lambda run: run.place)

    def note_pace_input(self, executor_id):
        """Record that the runs or the load of an executor have changed."""
        if executor_id in self._fillers:
            self._pace_candidates.add(executor_id)
        else:
            self._pace_candidates.discard(executor_id)

    def note_paces_settled(self, executor_id):
        """Record that an executor keeps its paces until the next change."""
        self._pace_candidates.discard(executor_id)

    def pace_candidates(self):
        """Return the ids of executors whose paces may have to change."""
        return list(self._pace_candidates)


def _discard(groups, key, run):
    group = groups.get(key)
    if group is None:
        return
    group.pop(run, None)
    if not group:
        del groups[key]
