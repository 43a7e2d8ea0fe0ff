"""The usual service time of each request class at an instance.

Entrances compare instances by it. It is smoother than the estimates by which
the guard refuses work: service times of one class vary by as much as their
mean, and a short slow spell does not make a slow instance.
"""

from __future__ import annotations

import dataclasses
import math

from sassafrasstair.decisions import stops

# A spell of half a second moves the usual time by 0.28 of its slowdown.
SMOOTHING_SECONDS = 1.5
# The weight of a sample after a pause; a single one says little.
WEIGHT_MAX = 0.1
# A mean of fewer samples is not reported.
MIN_SAMPLES = 3
# The class whose last sample is the oldest is dropped beyond this number.
CLASSES_MAX = 256


@dataclasses.dataclass(slots=True)
class UsualTime:
    """The usual service time of one class, last sampled at ``sampled_at``.

    ``longest`` is the longest one.
    """

    seconds: float
    samples: int
    sampled_at: float
    longest: stops.Longest


def add_sample(
    times: dict[str, UsualTime], request_class: str, seconds: float, now: float
) -> None:
    """Add the service time of finished work.

    The first samples are averaged. Later ones count by the time since the
    one before, so that the smoothing does not depend on their rate.
    """
    usual = times.get(request_class)
    if usual is None:
        if len(times) >= CLASSES_MAX:
            del times[min(times, key=lambda name: times[name].sampled_at)]
        times[request_class] = UsualTime(
            seconds, 1, now, stops.observe_longest(None, seconds, now)
        )
        return
    usual.samples += 1
    usual.longest = stops.observe_longest(usual.longest, seconds, now)
    elapsed = now - usual.sampled_at
    weight = min(WEIGHT_MAX, -math.expm1(-elapsed / SMOOTHING_SECONDS))
    weight = max(weight, 1.0 / usual.samples)
    usual.seconds += weight * (seconds - usual.seconds)
    usual.sampled_at = now


def seconds(times: dict[str, UsualTime], request_class: str) -> float | None:
    """Return the usual service time, None while too little is known."""
    usual = times.get(request_class)
    if usual is None or usual.samples < MIN_SAMPLES:
        return None
    return usual.seconds


def longest_seconds(
    times: dict[str, UsualTime], request_class: str, now: float
) -> float:
    """Return the longest service time of late, 0 if none is known."""
    usual = times.get(request_class)
    return stops.current_longest(None if usual is None else usual.longest, now)
