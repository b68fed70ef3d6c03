"""A scheduler without a daemon, on a manual clock."""

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler
from hawthorndeal_jobs import specs

POOL = 'web'
CAPACITY = specs.Resources(4000, 16384)
CONFIGURATION = queues.Configuration(
    1,
    {POOL: queues.Queue(POOL, POOL, 'web.example', '/')},
    {POOL: queues.Pool(POOL)},
)


def steps(*counts, **options):
    """Return a job of consecutive steps with these numbers of tasks."""
    room = specs.Resources(1000, 1024)
    step_specs = tuple(
        specs.StepSpec(
            count,
            room,
            1.0,
            after=(number - 1,) if number else (),
            **options,
        )
        for number, count in enumerate(counts)
    )
    return specs.JobSpec('payload', step_specs)


class Harness:
    """Drive one scheduler as a daemon does.

    :ivar now_s: monotonic time, also used as wall clock time
    """

    def __init__(self):
        self.now_s = 100.0
        self.replica = replica.Replica()
        self.scheduler = scheduler.Scheduler(self.replica, CONFIGURATION)

    def add_executor(self, name, rack=''):
        """Register an executor and report an empty first poll."""
        self.register_executor(name, rack=rack)
        self.poll(name)

    def register_executor(self, name, host='', pool=POOL, rack=''):
        """Register an executor, or update its entry."""
        entry = executors.ExecutorEntry(
            name, f'{name}:1', pool, 'z', CAPACITY, rack=rack, host=host
        )
        self.scheduler.update_executor(entry, self.now_s)

    def add_job(self, job_id, spec):
        """Add an accepted job."""
        job = self._new_job(job_id, spec)
        self.scheduler.add_job(job, self.now_s, self.now_s)
        return job

    def _new_job(self, job_id, spec):
        job = jobs.Job(job_id, POOL, POOL, self.now_s, spec)
        job.occurrence(0)
        self.replica.jobs[job_id] = job
        return job

    def inherit_job(self, job_id, spec, executor_id, crashed_executors=()):
        """Add a job that a previous owner has started on an executor."""
        job = self._new_job(job_id, spec)
        for task in job.occurrence(0).tasks[0]:
            task.crashed_executors = crashed_executors
        self.assign_all_tasks(job_id, executor_id)
        self.scheduler.add_job(job, self.now_s, self.now_s)

    def assign_all_tasks(self, job_id, executor_id):
        """Mark all tasks of a job as assigned by a previous owner."""
        for step in self.replica.jobs[job_id].occurrences[0].tasks:
            for task in step:
                task.state = jobs.TaskState.ASSIGNED
                task.run = 1
                task.executor = executor_id
        self.scheduler.inherit(self.now_s, self.now_s)

    def poll(self, name, running=(), ended=(), sent_s=None):
        """Report the answer to a poll that took 10 ms, or longer."""
        sent_s = self.now_s if sent_s is None else sent_s
        self.now_s += 0.01
        answer = run_state.ExecutorPoll(
            sent_s, self.now_s, self.now_s, tuple(running), tuple(ended)
        )
        return self.scheduler.handle_poll(name, answer, self.now_s)

    def poll_runs(self, name):
        """Report the answer to a poll that lists all runs."""
        runs = self.scheduler.executors[name].runs.values()
        return self.poll(
            name,
            [
                run_state.ReportedRun(run.task_id, run.number, '', 0)
                for run in runs
            ],
        )

    def plan(self, max_starts=None, is_idle=True):
        """Return the decisions of one scheduling cycle."""
        self.now_s += 0.01
        return self.scheduler.plan(self.now_s, self.now_s, max_starts, is_idle)

    def start_all(self):
        """Run one scheduling cycle and report each start as accepted."""
        starts = self.plan().starts
        for run in starts:
            run.phase = run_state.RunPhase.SENT
            self.scheduler.handle_start_answer(
                run, run_tracking.StartAnswer.ACCEPTED, self.now_s
            )
        return starts
