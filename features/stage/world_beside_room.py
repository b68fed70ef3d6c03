"""Judge whether accepted jobs stand beside room, by what executors run.

Unlike :mod:`stage.beside_room`, nothing that a daemon believes counts here:
neither which executors it knows, nor which runs it takes to be executing.
"""

import itertools

import attrs

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import quotas
from hawthorndeal_jobs import specs
from stage import beside_room

LIMIT_S = 3.0
# How long after a fault its consequences are not judged.
CALM_S = 4.0
# How long after its last run a long-running task may be absent.
LASTING_LIMIT_S = 6.0
PERIOD_S = 0.2


@attrs.frozen
class Finding:
    """A job, or a long-running task, that stood beside room.

    :ivar task: the long-running task, or None
    :ivar waited_s: for how long, counted in the calm alone
    :ivar told: what the owner's scheduler said of it when it had stood for
        LIMIT_S
    """

    job_id: str
    task: object
    pool: str
    since_s: float
    waited_s: float
    told: tuple


class WorldBesideRoom:
    """Watches the accepted jobs of a simulation.

    :param world: a :class:`job_world.World`
    :param accepted: ids of the jobs that callers know to be accepted
    :ivar calm_from_s: until when the consequences of faults are not judged
    :ivar findings: the longest of each job or long-running task
    :ivar longest_s: the longest wait in a calm, over the limit or not
    """

    def __init__(self, world, accepted):
        self._world = world
        self._accepted = accepted
        self._ended = set()
        self._pools = {}
        self._since_s = {}
        self._last_run_s = {}
        self.calm_from_s = 0.0
        self.findings = {}
        self.longest_s = 0.0

    def note_fault(self, end_s):
        """Judge nothing until some time after the end of a fault."""
        self.calm_from_s = max(self.calm_from_s, end_s + CALM_S)

    def look(self):
        """Process the current state."""
        now_s = self._world.now_s()
        for name, queue in self._world.configuration.queues.items():
            self._pools[name] = queue.pool
        self._runs = {
            key[0]: run
            for executor in self._world.executors.values()
            for key, run in _advanced(executor).items()
        }
        self._last_run_s.update(dict.fromkeys(self._runs, now_s))
        running_jobs = {task_id.job_id for task_id in self._runs}
        standing = set(
            itertools.chain.from_iterable(
                self._standing_of(job_id, running_jobs, now_s)
                for job_id in self._unfinished()
            )
        )
        self._since_s = {
            key: max(self._since_s.get(key, now_s), self.calm_from_s)
            for key in standing
        }
        for key, since_s in self._since_s.items():
            self._note(key, since_s, now_s)

    def _unfinished(self):
        world = self._world
        for job_id in self._accepted - self._ended - world.cancelled.keys():
            status = world.stored_status(job_id)
            if status is not None and status.state.is_final:
                self._ended.add(job_id)
            else:
                yield job_id

    def _standing_of(self, job_id, running_jobs, now_s):
        """Yield the job or long-running tasks that stand beside room."""
        spec = self._world.specs[job_id]
        for number, step in enumerate(spec.steps):
            waiting = self._waiting(job_id, spec, number)
            if not waiting or not self._has_room(job_id, number, len(waiting)):
                continue
            if step.is_lasting:
                for task_id in waiting:
                    last_s = self._last_run_s.get(task_id, -LASTING_LIMIT_S)
                    if now_s - last_s >= LASTING_LIMIT_S - LIMIT_S:
                        yield job_id, task_id
            elif job_id not in running_jobs:
                yield job_id, None

    def _waiting(self, job_id, spec, number):
        """Return the tasks of a step whose turn has come and that don't run.

        Jobs of one occurrence are judged only.
        """
        ids = [_task_ids(job_id, n, s) for n, s in enumerate(spec.steps)]
        done = self._world.done
        if not all(
            task_id in done
            for before in spec.steps[number].after
            for task_id in ids[before]
        ):
            return []
        return [
            task_id
            for task_id in ids[number]
            if task_id not in done and task_id not in self._runs
        ]

    def _has_room(self, job_id, number, waiting):
        world = self._world
        step = world.specs[job_id].steps[number]
        queue = world.queues[job_id]
        executors = [
            executor
            for executor in world.executors.values()
            if executor.entry.pool == self._pools[queue]
            and not (executor.is_gone or executor.is_cut)
        ]
        together = waiting if step.is_gang else 1
        slots = sum(self._slots(e, job_id, number, step) for e in executors)
        if slots < beside_room.TIMES * together:
            return False
        if not self._may_use(queue, step.request.times(together)):
            return False
        if step.is_lasting:
            return True
        whole = sum(e.entry.capacity.cpu_millicores for e in executors)
        used = sum(self._used(e).cpu_millicores for e in executors)
        return used < beside_room.MAX_USED_SHARE * whole

    def _slots(self, executor, job_id, number, step):
        label = step.required_label
        if label and label not in executor.entry.labels:
            return 0
        free = [
            whole - used
            for whole, used in zip(
                attrs.astuple(executor.entry.capacity),
                attrs.astuple(self._used(executor)),
            )
        ]
        need = attrs.astuple(step.reserved)
        slots = min(max(0, f) // n for f, n in zip(free, need) if n)
        if not step.max_per_executor:
            return slots
        own = sum(
            key[0].job_id == job_id and key[0].step == number
            for key in executor.runs
        )
        return min(slots, max(0, step.max_per_executor - own))

    def _used(self, executor):
        return sum(
            (self._spec(key[0]).reserved for key in executor.runs),
            start=specs.Resources(),
        )

    def _spec(self, task_id):
        return self._world.specs[task_id.job_id].steps[task_id.step]

    def _may_use(self, queue, request):
        """Return whether the quota of a queue's workspace admits tasks."""
        workspaces = self._world.configuration.workspaces.values()
        used = sum(
            (
                self._spec(task_id).request
                for task_id in self._runs
                if self._world.queues.get(task_id.job_id) == queue
            ),
            start=specs.Resources(),
        )
        asked = used + request.times(beside_room.TIMES)
        return queue not in self._world.keys or all(
            quotas.is_within(asked, w.quota) for w in workspaces
        )

    def _note(self, key, since_s, now_s):
        waited_s = now_s - since_s
        self.longest_s = max(self.longest_s, waited_s)
        if waited_s < LIMIT_S:
            return
        job_id, task = key
        known = self.findings.get(key)
        told = known.told if known else self._told(job_id)
        if known is None or known.waited_s < waited_s:
            pool = self._pools[self._world.queues[job_id]]
            self.findings[key] = Finding(
                job_id, task, pool, since_s, round(waited_s, 2), told
            )

    def _told(self, job_id):
        owner = self._world.owner
        if owner is None:
            return ('no owner',)
        term = owner.candidate.owner
        found = term.scheduler.standing.find(term.now_s(), 0.0)
        return tuple(
            (step.obstacle.value, step.tasks, step.closed)
            for step in found
            if step.job_id == job_id
        ) or ('owner tells nothing',)


def _advanced(executor):
    executor.advance()
    return executor.runs


def _task_ids(job_id, number, step):
    return [jobs.TaskId(job_id, 0, number, i) for i in range(step.count)]
