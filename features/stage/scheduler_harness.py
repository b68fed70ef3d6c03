"""A scheduler by itself, on a clock that only the scenario moves."""

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
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
    """Return a job whose steps of so many tasks wait for each other."""
    room = specs.Resources(1000, 1024)
    made = tuple(
        specs.StepSpec(
            count,
            room,
            1.0,
            after=(number - 1,) if number else (),
            **options,
        )
        for number, count in enumerate(counts)
    )
    return specs.JobSpec('payload', made)


class Harness:
    """Play a daemon's part towards one scheduler.

    :ivar now_s: the steady clock
    """

    def __init__(self):
        self.now_s = 100.0
        self.replica = replica.Replica()
        self.scheduler = scheduler.Scheduler(self.replica, CONFIGURATION)

    def add_executor(self, name):
        """Have an executor be listed and answer a first look."""
        self.enter(name)
        self.look(name)

    def enter(self, name, host=''):
        """Have an executor tell of itself."""
        entry = executors.ExecutorEntry(
            name, f'{name}:1', POOL, 'z', CAPACITY, host=host
        )
        self.scheduler.update_executor(entry, self.now_s)

    def add_job(self, job_id, spec):
        """Have a job accepted."""
        job = jobs.Job(job_id, POOL, POOL, self.now_s, spec)
        job.occurrence(0)
        self.replica.jobs[job_id] = job
        self.scheduler.add_job(job, self.now_s, self.now_s)
        return job

    def order_before(self, job_id, executor_id):
        """Have an earlier owner have ordered every task of a job."""
        for step in self.replica.jobs[job_id].occurrences[0].tasks:
            for task in step:
                task.state = jobs.TaskState.ASSIGNED
                task.run = 1
                task.executor = executor_id
        self.scheduler.inherit(self.now_s, self.now_s)

    def look(self, name, running=(), ended=()):
        """Have an executor answer a look sent a moment ago."""
        sent_s = self.now_s
        self.now_s += 0.01
        answer = executors.ExecutorPoll(
            sent_s, self.now_s, self.now_s, tuple(running), tuple(ended)
        )
        return self.scheduler.handle_poll(name, answer, self.now_s)

    def plan(self):
        """Return what one turn decides."""
        self.now_s += 0.01
        return self.scheduler.plan(self.now_s, self.now_s)

    def start_all(self):
        """Return what one turn starts, with every start accepted."""
        starts = self.plan().starts
        for run in starts:
            run.phase = executors.RunPhase.SENT
            self.scheduler.handle_start_answer(
                run, run_tracking.StartAnswer.ACCEPTED, self.now_s
            )
        return starts
