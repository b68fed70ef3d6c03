"""Track the finished jobs whose records aren't deleted yet."""


class FinishedJobs:
    """Finished jobs of the partition, until they are dropped.

    A job is dropped once its final state is stored. It stays while a run of
    it may be executing, so that a successor knows what occupies the executors.

    :param board: the statuses that are stored
    """

    def __init__(self, board):
        self._board = board
        # Jobs whose final state isn't stored yet, and the others.
        self._unstored = {}
        self._stored = {}

    def __contains__(self, job_id):
        return job_id in self._unstored or job_id in self._stored

    def add(self, job):
        """Add a job unless it is known; return whether it was added."""
        job_id = job.job_id
        if job_id in self:
            return False
        self._unstored[job_id] = job
        self.note_status(job_id)
        return True

    def note_status(self, job_id):
        """Process a change of the stored status of a job."""
        if job_id in self._unstored and self._board.is_stored_final(job_id):
            self._stored[job_id] = self._unstored.pop(job_id)

    def pop_droppable(self, has_runs):
        """Remove and return the jobs to drop.

        :param has_runs: tells whether a run of a job may be executing
        """
        droppable = [
            job
            for job_id, job in self._stored.items()
            if not has_runs(job_id) and not job.has_assigned_tasks
        ]
        for job in droppable:
            del self._stored[job.job_id]
        return droppable
