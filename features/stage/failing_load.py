"""Play jobs that fail by themselves beside ordinary ones.

The failing tasks of a hopeless job end soon after their start, on whatever
executor. Executors may fail, too: all that they start ends so.
"""

from hawthorndeal_jobs import run_state
from stage import beside_room
from stage import queue_load

# From the start of a run to its failure.
FAILURE_S = 0.05
LOOK_PERIOD_S = 0.1
# Time for what is left after the last job.
REST_S = 15.0
# Mean run time of a task.
TASK_S = 0.64


class FailingLoad(queue_load.QueueLoad):
    """A pool whose runs may fail.

    :param hopeless_share: share of the jobs whose tasks all fail
    :param failing: how many executors fail all that they start
    :param tells_progress: whether executors tell how far their runs are
    :ivar room: judges how long ordinary jobs stand beside room
    :ivar hopeless: ids of the jobs whose tasks all fail
    """

    def __init__(
        self,
        seed,
        hosts,
        hopeless_share=0.0,
        failing=0,
        tells_progress=True,
        task_s=TASK_S,
    ):
        super().__init__(seed, hosts, task_s)
        self.room = beside_room.BesideRoom()
        self.hopeless = set()
        self._hopeless_share = hopeless_share
        self._tells_progress = tells_progress
        self._failing = {f'x{number}' for number in range(failing)}
        self._end_s = 0.0

    def play(self, load, seconds):
        """Submit jobs for some time, and play until they have ended."""
        self._end_s = self.now_s + seconds + REST_S
        self.submit_burst(load, seconds)
        self._at(self.now_s, self._look)
        self.run()

    def _submit(self, played):
        if self._rng.random() < self._hopeless_share:
            self.hopeless.add(played.job.job_id)
        super()._submit(played)

    def _look(self):
        self.room.look(self._scheduler, self.now_s)
        # Executors without runs are still listed.
        for executor in self._scheduler.executors.values():
            self._scheduler.update_executor(executor.entry, self.now_s)
            self._report_progress(executor)
        self._wake()
        if self.now_s < self._end_s:
            self._at(self.now_s + LOOK_PERIOD_S, self._look)

    def _report_progress(self, executor):
        rows = tuple(
            run_state.ReportedRun(
                run.task_id, run.number, '', self._percent(run)
            )
            for run in executor.runs.values()
            if run.started_s is not None
        )
        poll = run_state.ExecutorPoll(
            self.now_s, self.now_s, self.now_s, rows, (), is_whole=False
        )
        self._scheduler.handle_poll(executor.executor_id, poll, self.now_s)

    def _percent(self, run):
        if not self._tells_progress:
            return 0
        took_s, _ = self._end_of(run)
        return min(99, int(100 * (self.now_s - run.started_s) / took_s))

    def _end_of(self, run):
        is_hopeless = run.task_id.job_id in self.hopeless
        if is_hopeless or run.executor_id in self._failing:
            return FAILURE_S, run_state.EndCause.FAILED
        return super()._end_of(run)

    @property
    def ordinary(self):
        """The jobs that could be done."""
        return [
            played
            for job_id, played in self.played.items()
            if job_id not in self.hopeless
        ]

    def standing(self, limit_s):
        """Return the ordinary jobs that stood beside room for longer."""
        return [
            case
            for case in self.room.longer_than(limit_s)
            if case.job_id not in self.hopeless
        ]
