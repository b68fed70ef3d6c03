"""Fit a straight line through measured points."""

import attrs


@attrs.frozen
class Line:
    """Describe a fitted line and its largest residual.

    :ivar slope: increase per unit of size
    :ivar intercept: value at size zero
    :ivar residual_share: largest absolute residual, as a share of the
        largest absolute value
    """

    slope: float
    intercept: float
    residual_share: float

    def at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points):
    """Return the least-squares line through pairs of size and value.

    :param points: at least two pairs with different sizes
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    line = Line(slope, mean_y - slope * mean_x, 0.0)
    worst = max(abs(y - line.at(x)) for x, y in points)
    scale = max(abs(y) for _, y in points) or 1.0
    return attrs.evolve(line, residual_share=worst / scale)
