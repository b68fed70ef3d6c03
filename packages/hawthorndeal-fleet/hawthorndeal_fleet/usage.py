"""Correct declared sizes by the usage that workers report.

Samples are part of the records that end or checkpoint a job, so they cost no
append of their own. Their weight is halved whenever it reaches a limit, so
that old samples lose influence.
"""

import math

import attrs

from . import jobs

MIN_SAMPLES = 8.0
MAX_SAMPLES = 64.0
MIN_CPU_FACTOR = 0.5
MAX_CPU_FACTOR = 2.0
# Memory can't be throttled, so it is never charged below what was declared.
MIN_MEMORY_FACTOR = 1.0
MAX_MEMORY_FACTOR = 2.0


@attrs.frozen
class Ratio:
    """Sums over ratios of used to declared capacity.

    :ivar samples: total weight of the samples
    """

    samples: float = 0.0
    total: float = 0.0
    total_squares: float = 0.0

    def with_sample(self, ratio):
        """Return the sums with one more sample, halved at the weight limit."""
        added = Ratio(
            self.samples + 1.0,
            self.total + ratio,
            self.total_squares + ratio * ratio,
        )
        return added if added.samples < MAX_SAMPLES else added._halved()

    def _halved(self):
        return Ratio(self.samples / 2, self.total / 2, self.total_squares / 2)

    def factor(self, lowest, highest):
        """Return the mean plus one standard deviation, within bounds.

        With too few samples the factor is 1.
        """
        if self.samples < MIN_SAMPLES:
            return 1.0
        mean = self.total / self.samples
        variance = max(0.0, self.total_squares / self.samples - mean * mean)
        return min(highest, max(lowest, mean + math.sqrt(variance)))


@attrs.frozen
class Usage:
    """Usage ratios of a group of jobs."""

    cpu: Ratio = attrs.Factory(Ratio)
    memory: Ratio = attrs.Factory(Ratio)


def note(state, job, observed):
    """Add a task's usage to its group; ignore invalid or empty reports."""
    is_number = math.isfinite(observed.cpu_cores)
    if not is_number or min(observed.cpu_cores, observed.memory_bytes) <= 0:
        return
    known = state.usage.get(job.group, Usage())
    state.usage[job.group] = Usage(
        known.cpu.with_sample(
            observed.cpu_cores * 1000 / job.size.cpu_millicores
        ),
        known.memory.with_sample(
            observed.memory_bytes / job.size.memory_bytes
        ),
    )


def corrected_size(state, job, capacity):
    """Return the size to charge a job for on a host of a given capacity.

    It never exceeds a capacity that the declared size fits into, so that a
    correction can't make a job impossible to place.
    """
    known = state.usage.get(job.group)
    if known is None:
        return job.size
    cpu = known.cpu.factor(MIN_CPU_FACTOR, MAX_CPU_FACTOR)
    memory = known.memory.factor(MIN_MEMORY_FACTOR, MAX_MEMORY_FACTOR)
    size = job.size
    return jobs.Size(
        _scale_bounded(size.cpu_millicores, cpu, capacity.cpu_millicores),
        _scale_bounded(size.memory_bytes, memory, capacity.memory_bytes),
        size.accelerators,
    )


def _scale_bounded(declared, factor, limit):
    return min(math.ceil(declared * factor), max(declared, limit))
