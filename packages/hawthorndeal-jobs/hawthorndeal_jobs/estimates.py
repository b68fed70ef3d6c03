"""Correct declared run times by the run times observed in the same queue."""

import attrs

# Number of finished tasks before a queue's declared run times are corrected.
MIN_SAMPLES = 12
# Weight of the newest task once there are many samples.
MIN_WEIGHT = 0.02
CORRECTION_RANGE = (0.25, 4.0)


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
