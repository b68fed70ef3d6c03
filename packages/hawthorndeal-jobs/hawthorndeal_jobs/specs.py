"""The declaration of a job, as submitted by a client."""

import functools
import itertools

import attrs

# Larger jobs don't fit into one record of the store.
MAX_TASKS = 5000
MAX_STEPS = 100
# The owner keeps the tasks of all occurrences until the job has ended.
MAX_TASKS_IN_ALL = 100000


@attrs.frozen
class Resources:
    """Resources that a task requires or an executor offers."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, count):
        """Return what a number of tasks require together."""
        return Resources(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.gpus * count,
        )

    def dominant_share(self, other):
        """Return the fraction of the dominant resource that this takes."""
        return max(
            _fraction(self.cpu_millicores, other.cpu_millicores),
            _fraction(self.memory_mb, other.memory_mb),
            _fraction(self.gpus, other.gpus),
        )

    def at_least(self, other):
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def smallest_share(self, other):
        """Return the fraction of the scarcest resource that this has."""
        shares = [
            amount / whole
            for amount, whole in (
                (self.cpu_millicores, other.cpu_millicores),
                (self.memory_mb, other.memory_mb),
                (self.gpus, other.gpus),
            )
            if whole
        ]
        return min(shares, default=1.0)

    def is_within(self, other):
        """Return True if every resource fits into another amount."""
        return (
            self.cpu_millicores <= other.cpu_millicores
            and self.memory_mb <= other.memory_mb
            and self.gpus <= other.gpus
        )


def _fraction(amount, whole):
    return amount / whole if whole else 0.0


@attrs.frozen
class StepSpec:
    """One step: a number of identical tasks.

    :ivar count: number of tasks
    :ivar request: resources of each task
    :ivar estimate_s: declared run time of a task; often inaccurate
    :ivar after: indexes of steps that must be done first, each of them once
    :ivar is_checkpointing: whether a stopped task can resume elsewhere
    :ivar is_gang: whether the tasks run all at the same time or not at all
    :ivar is_rack_sensitive: whether the tasks are slower across racks
    :ivar required_label: label that the executor must have, if any
    :ivar data_rack: rack that holds the input data, if any
    :ivar max_per_executor: limit on tasks of the step per executor; 0 for
        none
    :ivar allows_copies: whether two runs of a task may overlap
    :ivar is_lasting: whether tasks run until the job is cancelled
    :ivar image: image that the tasks run; tasks of one image behave alike
    :ivar tail_target_ms: tail latency target of a serving task; 0 for none
    :ivar is_filler: whether the tasks only use spare processor time
    :ivar max_unavailable: number of long-running tasks that planned
        operations may make unavailable at once; None if not declared
    """

    count: int
    request: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_rack_sensitive: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_executor: int = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ''
    tail_target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int | None = None

    @functools.cached_property
    def reserved(self):
        """Resources that a task reserves on an executor."""
        if self.is_filler:
            return attrs.evolve(self.request, cpu_millicores=0)
        return self.request

    @functools.cached_property
    def placement_kind(self):
        """Key of all that determines where there is room, and its cost."""
        return (
            *attrs.astuple(self.reserved),
            self.required_label,
            self.data_rack,
            self.is_filler,
            self.is_lasting,
            bool(self.tail_target_ms),
            self.count if self.is_gang else 0,
        )


@attrs.frozen
class JobSpec:
    """A declared job.

    :ivar payload: text passed to every task
    :ivar repetitions: number of scheduled occurrences; 0 to run once, now
    :ivar first_due_s: when the first occurrence is due, since the epoch
    :ivar interval_s: time between two occurrences
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self):
        """Number of times that the steps run."""
        return max(1, self.repetitions)

    @functools.cached_property
    def concurrent_occurrences(self):
        """Number of occurrences that may be under way at once.

        Together they are no larger than the largest job without occurrences.
        Long-running ones never end, so none of them waits for others.
        """
        if any(step.is_lasting for step in self.steps):
            return self.occurrences
        by_steps = MAX_STEPS // len(self.steps)
        return max(1, min(by_steps, MAX_TASKS // self.tasks))

    def due_s(self, number):
        """Return when an occurrence may start, in seconds since the epoch."""
        if not self.repetitions:
            return 0.0
        return self.first_due_s + number * self.interval_s

    def finite_work_core_s(self):
        """Return the declared work of all steps that end by themselves."""
        return sum(
            step.count * step.reserved.cpu_millicores / 1000 * step.estimate_s
            for step in self.steps
            if not step.is_lasting
        )

    @functools.cached_property
    def critical_path_s(self):
        """Declared run time of the critical path."""
        finish_s = []
        for step in self.steps:
            begin_s = max((finish_s[i] for i in step.after), default=0.0)
            finish_s.append(begin_s + step.estimate_s)
        return max(finish_s, default=0.0)

    @functools.cached_property
    def remaining_paths_s(self):
        """Declared run time of the critical path from each step on."""
        following_s = [0.0] * len(self.steps)
        paths_s = [0.0] * len(self.steps)
        for index, step in reversed(list(enumerate(self.steps))):
            paths_s[index] = step.estimate_s + following_s[index]
            for other in step.after:
                following_s[other] = max(following_s[other], paths_s[index])
        return tuple(paths_s)

    @functools.cached_property
    def first_tasks(self):
        """Number of the first task of each step, over all steps."""
        return (0, *itertools.accumulate(step.count for step in self.steps))

    @property
    def tasks(self):
        """Number of tasks of all steps, in one occurrence."""
        return self.first_tasks[-1]

    @functools.cached_property
    def successors(self):
        """Indexes of the steps that wait for each step."""
        found = [[] for _ in self.steps]
        for index, step in enumerate(self.steps):
            for other in step.after:
                found[other].append(index)
        return tuple(map(tuple, found))


def validation_error(spec):
    """Return what is invalid in a declared job, or an empty string."""
    if not spec.steps or len(spec.steps) > MAX_STEPS:
        return f'a job has 1 to {MAX_STEPS} steps, not {len(spec.steps)}'
    tasks = sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        return f'a job has at most {MAX_TASKS} tasks, not {tasks}'
    if spec.repetitions < 0 or spec.interval_s < 0:
        return (
            'a job has neither a negative number of occurrences nor interval'
        )
    in_all = tasks * spec.occurrences
    limit = MAX_TASKS_IN_ALL
    if any(step.is_lasting for step in spec.steps):
        limit = MAX_TASKS
    if in_all > limit:
        return f'all occurrences have at most {limit} tasks, not {in_all}'
    for index, step in enumerate(spec.steps):
        if step.count < 1:
            return f'step {index} must have at least 1 task, not {step.count}'
        if _has_negative_number(step):
            return f'step {index} asks for less than nothing'
        if any(not 0 <= other < index for other in step.after):
            return (
                f'step {index} may only depend on earlier steps,'
                f' not on {list(step.after)}'
            )
    return ''


def _has_negative_number(step):
    numbers = (
        *attrs.astuple(step.request),
        step.estimate_s,
        step.max_per_executor,
        step.tail_target_ms,
        step.max_unavailable or 0,
    )
    return min(numbers) < 0
