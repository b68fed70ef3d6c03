"""What a caller declares when it submits a job."""

import attrs

# A job wider than this can't be kept in one record of the store.
MAX_TASKS = 5000
MAX_STEPS = 100


@attrs.frozen
class Resources:
    """Count what a task takes or an executor has."""

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

    def dominant_share(self, other):
        """Return the part that this takes of what it takes most of."""
        return max(
            _fraction(self.cpu_millicores, other.cpu_millicores),
            _fraction(self.memory_mb, other.memory_mb),
            _fraction(self.gpus, other.gpus),
        )

    def is_within(self, other):
        """Tell whether all of this fits into another amount."""
        return (
            self.cpu_millicores <= other.cpu_millicores
            and self.memory_mb <= other.memory_mb
            and self.gpus <= other.gpus
        )


def _fraction(amount, whole):
    return amount / whole if whole else 0.0


@attrs.frozen
class StepSpec:
    """Declare the tasks of one step; they are all alike.

    :ivar count: tasks of the step
    :ivar request: what each task takes
    :ivar estimate_s: declared run time of a task; often far off
    :ivar after: indexes of steps that must be done before
    :ivar is_checkpointing: whether a stopped task can go on elsewhere
    :ivar is_gang: whether the tasks run all at once or not at all
    :ivar is_rack_sensitive: whether several racks slow the tasks down
    :ivar required_label: label that the executor must have, if any
    :ivar data_rack: rack that holds the data, if any
    :ivar max_per_executor: tasks of the step on one executor; 0 for any
    :ivar allows_copies: whether one task may run twice at a time
    :ivar is_lasting: whether tasks run until the job is cancelled
    :ivar image: what the tasks run; tasks of one image behave alike
    :ivar tail_target_ms: bound on a serving task's tail latency; 0 for none
    :ivar is_filler: whether the tasks only use processors left over
    :ivar max_unavailable: lasting tasks away at once by planned acts; None
        where nothing was declared
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

    @property
    def reserved(self):
        """Return what a task takes of an executor's capacity."""
        if self.is_filler:
            return attrs.evolve(self.request, cpu_millicores=0)
        return self.request


@attrs.frozen
class JobSpec:
    """Declare a job.

    :ivar payload: text handed to every task
    :ivar repetitions: occurrences of the steps; 0 for once, at once
    :ivar first_due_s: when the first is due, in seconds since the epoch
    :ivar interval_s: time from one occurrence to the next
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self):
        """Return how often the steps run."""
        return max(1, self.repetitions)

    def due_s(self, number):
        """Return when an occurrence may start, since the epoch."""
        if not self.repetitions:
            return 0.0
        return self.first_due_s + number * self.interval_s

    def critical_path_s(self):
        """Return the declared run time of the longest chain of steps."""
        finish_s = []
        for step in self.steps:
            begin_s = max((finish_s[i] for i in step.after), default=0.0)
            finish_s.append(begin_s + step.estimate_s)
        return max(finish_s, default=0.0)


def problem_of(spec):
    """Return what is wrong with a declared job, or an empty text."""
    if not spec.steps or len(spec.steps) > MAX_STEPS:
        return f'a job has 1 to {MAX_STEPS} steps, not {len(spec.steps)}'
    tasks = sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        return f'a job has at most {MAX_TASKS} tasks, not {tasks}'
    for index, step in enumerate(spec.steps):
        if step.count < 1:
            return f'step {index} has {step.count} tasks'
        if any(not 0 <= other < index for other in step.after):
            return f'step {index} waits for {list(step.after)}'
    return ''
