"""How loads that were heard are averaged: by time and not by answers.

Failure: after a surge has filled a chain few requests are let in. Where each
answer moved the average by a tenth it stayed high for 5 s after the queues had
drained, and nothing more was let in.
"""

from __future__ import annotations

import math

SMOOTH_SECONDS = 0.15
"""Time constant over which heard loads are averaged."""


def weight(elapsed: float, least: float) -> float:
    """Return the weight of an answer ``elapsed`` seconds after the last.

    Many answers come in one moment: each counts for ``least`` at least.
    """
    return max(least, 1.0 - math.exp(-max(0.0, elapsed) / SMOOTH_SECONDS))
