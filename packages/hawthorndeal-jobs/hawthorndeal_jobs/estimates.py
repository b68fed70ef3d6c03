"""Correct declared run times by what was seen of the same queue."""

import attrs

# Tasks of a queue after which its declared times are corrected.
MIN_SAMPLES = 12
# Weight of the newest task once there are many.
MIN_WEIGHT = 0.02
CORRECTION_RANGE = (0.25, 4.0)


@attrs.define
class _RunTimes:
    """Hold mean times of one queue's tasks, in seconds."""

    samples: int = 0
    declared_s: float = 0.0
    actual_s: float = 0.0


@attrs.define
class EstimateCorrector:
    """Learn, for each queue, how far declared run times are off."""

    _run_times: dict[str, _RunTimes] = attrs.Factory(dict)

    def note(self, queue, declared_s, actual_s):
        """Note a task that has ended as done."""
        times = self._run_times.setdefault(queue, _RunTimes())
        times.samples += 1
        weight = max(MIN_WEIGHT, 1.0 / times.samples)
        times.declared_s += (declared_s - times.declared_s) * weight
        times.actual_s += (actual_s - times.actual_s) * weight

    def factor(self, queue):
        """Return what declared times of a queue are to be multiplied by."""
        times = self._run_times.get(queue)
        if (
            times is None
            or times.samples < MIN_SAMPLES
            or not times.declared_s
        ):
            return 1.0
        low, high = CORRECTION_RANGE
        return min(high, max(low, times.actual_s / times.declared_s))
