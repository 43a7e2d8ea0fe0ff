"""Averages of reports, weighted by time and not by number of answers."""

from __future__ import annotations

import math


def weight(
    elapsed: float, constant_seconds: float, min_weight: float
) -> float:
    """Return the weight of a report ``elapsed`` seconds after the last one.

    ``constant_seconds`` is the time constant of the average. The weight is at
    least ``min_weight``, so that reports of the same moment count too.
    """
    by_time = 1.0 - math.exp(-max(0.0, elapsed) / constant_seconds)
    return max(min_weight, by_time)
