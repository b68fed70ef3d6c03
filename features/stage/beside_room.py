"""Judge how long jobs have nothing running though there is room for them."""

import collections

import attrs

# There is room if a task fits so many times, and if no more of the pool's
# processors are in use.
TIMES = 2
MAX_USED_SHARE = 0.5


@attrs.frozen
class Case:
    """A job that had nothing running beside room.

    :ivar waited_s: for how long
    """

    job_id: str
    pool: str
    since_s: float
    waited_s: float


class BesideRoom:
    """Watches the jobs of one scheduler.

    :ivar cases: the longest case of each job
    """

    def __init__(self):
        self.cases = {}
        self._since_s = {}

    def look(self, scheduler, now_s):
        """Process the state at a time."""
        by_job = collections.defaultdict(list)
        for step in scheduler.steps.unfinished():
            if step.pending:
                by_job[step.job].append(step)
        standing = {
            job: self._since_s.get(job, now_s)
            for job, steps in by_job.items()
            if not scheduler.has_runs(job.job_id)
            and any(_has_room(scheduler, step) for step in steps)
        }
        self._since_s = standing
        for job, since_s in standing.items():
            waited_s = now_s - since_s
            known = self.cases.get(job.job_id)
            if known is None or known.waited_s < waited_s:
                self.cases[job.job_id] = Case(
                    job.job_id, job.pool, since_s, waited_s
                )

    def longer_than(self, limit_s):
        """Return the cases that lasted longer."""
        return [c for c in self.cases.values() if c.waited_s > limit_s]


def _has_room(scheduler, ready_step):
    executors = scheduler.executors_in(scheduler.steps.pool_of(ready_step.job))
    need = ready_step.spec.reserved
    slots = sum(_times_within(need, executor.free) for executor in executors)
    whole = sum(e.entry.capacity.cpu_millicores for e in executors)
    free = sum(e.free.cpu_millicores for e in executors)
    return slots >= TIMES and whole - free < MAX_USED_SHARE * whole


def _times_within(need, free):
    pairs = zip(attrs.astuple(need), attrs.astuple(free))
    return max(0, min(left // asked for asked, left in pairs if asked))
