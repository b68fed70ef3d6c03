"""Judges which accepted jobs had nothing running though there was room.

Judged by what executors and callers recorded, not by what daemons tell.
"""

import collections

import attrs

from . import events

LOOK_PERIOD_S = 0.1
# Longest time that a job may stand.
LIMIT_S = 3.0
# A long-running task is judged by itself, this long after its last run.
LASTING_GRACE_S = 6.0
# There is room if a task fits so many times, and, for short jobs, if less of
# the processors of its pool is in use.
MIN_ROOM = 2
MAX_USED_SHARE = 0.5
# A case is calm if no stand-in was held up for so long during it and for a
# while before: then it is the machine that can't run the stand-ins.
MAX_LATE_S = 0.5
CALM_BEFORE_S = 4.0


@attrs.frozen
class Case:
    """A job, or a long-running task of it, that had nothing running.

    :ivar task: name of the long-running task; empty for a short job
    """

    job_id: str
    pool: str
    task: str
    since_s: float
    until_s: float

    @property
    def waited_s(self):
        """For how long."""
        return self.until_s - self.since_s


@attrs.define(eq=False)
class _Executor:
    pool: str
    cpu_millicores: int
    mem_mb: int
    used_cpu_millicores: int = 0
    used_mem_mb: int = 0
    runs: dict = attrs.Factory(dict)

    def slots(self, need):
        """Return how many tasks fit."""
        return max(
            0,
            min(
                (self.cpu_millicores - self.used_cpu_millicores) // need[0],
                (self.mem_mb - self.used_mem_mb) // need[1],
            ),
        )


@attrs.define(eq=False)
class _Step:
    count: int
    need: tuple
    after: tuple
    max_per_executor: int
    is_lasting: bool
    done: set = attrs.Factory(set)


@attrs.define(eq=False)
class _Job:
    job_id: str
    pool: str
    steps: list
    max_attempts: int
    running: collections.Counter = attrs.Factory(collections.Counter)
    failures: collections.Counter = attrs.Factory(collections.Counter)
    is_failed: bool = False

    @property
    def is_over(self):
        """Whether all of its tasks are done, or one has failed for good."""
        return self.is_failed or all(
            len(step.done) >= step.count for step in self.steps
        )

    def ready_steps(self):
        """Return the numbers and steps whose turn has come."""
        return [
            (number, step)
            for number, step in enumerate(self.steps)
            if len(step.done) < step.count
            and all(
                len(self.steps[first].done) >= self.steps[first].count
                for first in step.after
            )
        ]


class Judge:
    """Follows the events of a run, and looks at each moment.

    :param max_attempts: by pool, how often a task may fail
    :ivar cases: what stood for longer than the limit
    :ivar longest_s: longest time for which each short job stood
    :ivar overfull: number of starts beyond an executor's capacity
    """

    def __init__(self, max_attempts, limit_s=LIMIT_S):
        self._max_attempts = max_attempts
        self._limit_s = limit_s
        self._executors = {}
        self._by_pool = collections.defaultdict(set)
        self._jobs = {}
        # Accepted jobs that aren't over.
        self._open = {}
        self._standing = {}
        self._last_run_s = {}
        self._now_s = 0.0
        self.cases = []
        self.longest_s = {}
        self.overfull = 0
        # Begin and end of the times in which a stand-in was held up.
        self._held_up = []

    def follow(self, recorded):
        """Process all events of a run.

        :param recorded: events in the order of their times
        """
        look_s = recorded[0].time_s if recorded else 0.0
        for event in recorded:
            while look_s < event.time_s:
                self.look(look_s)
                look_s += LOOK_PERIOD_S
            self.apply(event)
        self.end()

    # Events

    def apply(self, event):
        """Process an event."""
        handle = {
            events.Kind.EXECUTOR_UP: self._add_executor,
            events.Kind.EXECUTOR_DOWN: self._remove_executor,
            events.Kind.STARTED: self._start,
            events.Kind.ENDED: self._end_run,
            events.Kind.SUBMITTED: self._submit,
            events.Kind.ACCEPTED: self._accept,
            events.Kind.LATE: self._note_late,
        }.get(event.kind)
        if handle is not None:
            handle(event)

    def _note_late(self, event):
        late_s = event.fields['late_s']
        if late_s >= MAX_LATE_S:
            self._held_up.append((event.time_s - late_s, event.time_s))

    def calm_cases(self):
        """Return the cases in which no stand-in was held up."""
        return [
            case
            for case in self.cases
            if not any(
                begin_s <= case.until_s
                and end_s >= case.since_s - CALM_BEFORE_S
                for begin_s, end_s in self._held_up
            )
        ]

    def _add_executor(self, event):
        executor = _Executor(**event.fields)
        self._executors[event.subject] = executor
        self._by_pool[executor.pool].add(executor)

    def _remove_executor(self, event):
        executor = self._executors.pop(event.subject)
        self._by_pool[executor.pool].remove(executor)

    def _submit(self, event):
        pool = event.fields['pool']
        steps = [
            _Step(
                plain['count'],
                (plain['cpu_millicores'], plain['mem_mb']),
                tuple(plain['after']),
                plain['max_per_executor'],
                plain['is_lasting'],
            )
            for plain in event.fields['steps']
        ]
        job = _Job(event.subject, pool, steps, self._max_attempts[pool])
        self._jobs[event.subject] = job

    def _accept(self, event):
        job = self._jobs[event.subject]
        if job.is_over:
            return
        self._open[event.subject] = job
        for step_number, step in enumerate(job.steps):
            if step.is_lasting:
                for index in range(step.count):
                    name = _task_name(job, step_number, index)
                    self._last_run_s.setdefault(name, event.time_s)

    def _start(self, event):
        task, executor = event.fields['task'], self._executors[event.subject]
        job_id, _, step_number, _ = task.split('.')
        job = self._jobs[job_id]
        need = job.steps[int(step_number)].need
        self.overfull += not executor.slots(need)
        executor.runs[task, event.fields['run']] = need
        executor.used_cpu_millicores += need[0]
        executor.used_mem_mb += need[1]
        job.running[task] += 1

    def _end_run(self, event):
        task, how = event.fields['task'], event.fields['how']
        job_id, _, step_number, index = task.split('.')
        job, executor = self._jobs[job_id], self._executors[event.subject]
        need = executor.runs.pop((task, event.fields['run']))
        executor.used_cpu_millicores -= need[0]
        executor.used_mem_mb -= need[1]
        job.running[task] -= 1
        if not job.running[task]:
            del job.running[task]
        self._last_run_s[task] = event.time_s
        step = job.steps[int(step_number)]
        if how == 'done':
            step.done.add(int(index))
        elif how == 'failed' and not step.is_lasting:
            job.failures[task] += 1
            job.is_failed |= job.failures[task] >= job.max_attempts
        if job.is_over:
            self._open.pop(job_id, None)

    # Looks

    def look(self, now_s):
        """Judge what stands at a time."""
        self._now_s = now_s
        used_shares = self._used_shares()
        standing = {
            key: self._standing.get(key, now_s)
            for job in self._open.values()
            for key in self._standing_of(job, used_shares)
        }
        for key in self._standing.keys() - standing.keys():
            self._finish(key)
        self._standing = standing

    def end(self):
        """Finish the cases that stand at the end."""
        for key in self._standing:
            self._finish(key)
        self._standing = {}

    def _finish(self, key):
        job_id, pool, task = key
        case = Case(job_id, pool, task, self._standing[key], self._now_s)
        if not task:
            longest_s = self.longest_s.get(job_id, 0.0)
            self.longest_s[job_id] = max(longest_s, case.waited_s)
        if case.waited_s >= self._limit_s:
            self.cases.append(case)

    def _used_shares(self):
        return {
            pool: sum(e.used_cpu_millicores for e in executors)
            / sum(e.cpu_millicores for e in executors)
            for pool, executors in self._by_pool.items()
            if executors
        }

    def _standing_of(self, job, used_shares):
        """Yield the keys of what stands of a job."""
        if job.steps[0].is_lasting:
            yield from self._standing_tasks(job)
            return
        if job.running:
            return
        if used_shares.get(job.pool, 1.0) >= MAX_USED_SHARE:
            return
        if any(
            self._has_room(job, number, step)
            for number, step in job.ready_steps()
        ):
            yield job.job_id, job.pool, ''

    def _standing_tasks(self, job):
        for number, step in enumerate(job.steps):
            names = (_task_name(job, number, i) for i in range(step.count))
            waiting = [
                name
                for name in names
                if name not in job.running
                and self._now_s - self._last_run_s[name]
                > LASTING_GRACE_S - self._limit_s
            ]
            if waiting and self._has_room(job, number, step):
                yield from ((job.job_id, job.pool, name) for name in waiting)

    def _has_room(self, job, number, step):
        slots = 0
        for executor in self._by_pool[job.pool]:
            fitting = executor.slots(step.need)
            if fitting and step.max_per_executor:
                fitting = min(
                    fitting,
                    step.max_per_executor - _runs_of(executor, job, number),
                )
            slots += max(0, fitting)
            if slots >= MIN_ROOM:
                return True
        return False


def _task_name(job, step_number, index):
    return f'{job.job_id}.0.{step_number}.{index}'


def _runs_of(executor, job, step_number):
    prefix = f'{job.job_id}.0.{step_number}.'
    return sum(task.startswith(prefix) for task, _ in executor.runs)
