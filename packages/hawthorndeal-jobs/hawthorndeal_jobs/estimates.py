"""Correct declared run times by the times observed in the same queue."""

import attrs

# Number of finished tasks before a queue's declared run times are corrected.
MIN_SAMPLES = 12
# Weight of the newest task once there are many samples.
MIN_WEIGHT = 0.02
CORRECTION_RANGE = (0.25, 4.0)
# Weight of the newest step, as of a new sample in the timers of TCP.
STEP_WEIGHT = 0.125
# Applies to the steps of a queue of which nothing is known yet.
INITIAL_STEP_FACTOR = 1.3
STEP_FACTOR_RANGE = (1.0, 2.5)


@attrs.define
class _RunTimes:
    """Mean run times of the tasks of one queue, in seconds."""

    samples: int = 0
    declared_s: float = 0.0
    actual_s: float = 0.0


@attrs.define
class EstimateCorrector:
    """Learns the ratio of actual to declared run times for each queue."""

    _run_times: dict[str, _RunTimes] = attrs.Factory(dict)

    def note(self, queue, declared_s, actual_s):
        """Record the run time of a successful task."""
        times = self._run_times.setdefault(queue, _RunTimes())
        times.samples += 1
        weight = max(MIN_WEIGHT, 1.0 / times.samples)
        times.declared_s += (declared_s - times.declared_s) * weight
        times.actual_s += (actual_s - times.actual_s) * weight

    def factor(self, queue):
        """Return the factor to multiply a queue's declared run times by."""
        times = self._run_times.get(queue)
        if (
            times is None
            or times.samples < MIN_SAMPLES
            or not times.declared_s
        ):
            return 1.0
        low, high = CORRECTION_RANGE
        return min(high, max(low, times.actual_s / times.declared_s))


@attrs.define
class _StepFactor:
    """Mean ratio of actual to declared step times, and mean deviation."""

    mean: float
    deviation: float = 0.0


@attrs.define
class StepTimes:
    """Learns by how much the steps of each queue take longer than declared.

    A step is as slow as its slowest task, and takes calls to executors, so
    that it takes longer than the mean of its tasks. The mean deviation is
    added, since an expectation that half of the steps miss is of no use.
    """

    _factors: dict[str, _StepFactor] = attrs.Factory(dict)

    def note(self, queue, declared_s, actual_s):
        """Record the time from the last start in a step to its end."""
        if declared_s <= 0.0:
            return
        ratio = actual_s / declared_s
        known = self._factors.setdefault(queue, _StepFactor(ratio))
        error = ratio - known.mean
        known.mean += error * STEP_WEIGHT
        known.deviation += (abs(error) - known.deviation) * STEP_WEIGHT

    def factor(self, queue):
        """Return the factor that most steps of a queue don't exceed."""
        known = self._factors.get(queue)
        if known is None:
            return INITIAL_STEP_FACTOR
        low, high = STEP_FACTOR_RANGE
        return min(high, max(low, known.mean + known.deviation))
