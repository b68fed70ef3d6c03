"""Correct declared run times by what was seen of the same queue."""

import attrs

# Tasks of a queue after which its declared times are corrected.
MIN_SAMPLES = 12
# Weight of the newest task once there are many.
MIN_WEIGHT = 0.02
FACTOR_RANGE = (0.25, 4.0)


@attrs.define
class _Seen:
    """Hold mean times of one queue's tasks, in seconds."""

    samples: int = 0
    declared_s: float = 0.0
    actual_s: float = 0.0


@attrs.define
class EstimateCorrector:
    """Learn, for each queue, how far declared run times are off."""

    _seen: dict[str, _Seen] = attrs.Factory(dict)

    def note(self, queue, declared_s, actual_s):
        """Note a task that has ended as done."""
        seen = self._seen.setdefault(queue, _Seen())
        seen.samples += 1
        weight = max(MIN_WEIGHT, 1.0 / seen.samples)
        seen.declared_s += (declared_s - seen.declared_s) * weight
        seen.actual_s += (actual_s - seen.actual_s) * weight

    def factor(self, queue):
        """Return what declared times of a queue are to be multiplied by."""
        seen = self._seen.get(queue)
        if seen is None or seen.samples < MIN_SAMPLES or not seen.declared_s:
            return 1.0
        least, most = FACTOR_RANGE
        return min(most, max(least, seen.actual_s / seen.declared_s))
