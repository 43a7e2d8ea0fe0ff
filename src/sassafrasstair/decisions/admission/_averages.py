"""Averages of reported loads, weighted by time and not by number of answers.

After a surge has overloaded a chain, few requests are admitted and few
answers report its load. With a fixed weight of a tenth for each answer, the
average stayed high for 5 s after the queues had drained, and nothing more
was admitted during this time.
"""

from __future__ import annotations

from sassafrasstair.decisions import averages

SMOOTH_SECONDS = 0.15
"""The time constant over which reported loads are averaged."""


def weight(elapsed: float, min_weight: float) -> float:
    """Return the weight of an answer ``elapsed`` seconds after the last one.

    It is at least ``min_weight``, so that answers that arrive at the same
    moment count too.
    """
    return averages.weight(elapsed, SMOOTH_SECONDS, min_weight)
