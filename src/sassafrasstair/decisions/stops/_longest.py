"""The longest time that something has taken recently."""

from __future__ import annotations

import dataclasses
import math

HALF_LIFE_SECONDS = 30.0
"""The longest time fades by half in this time, unless it is reached again."""


@dataclasses.dataclass(slots=True)
class Longest:
    """The longest time in seconds, as of ``observed_at``."""

    seconds: float
    observed_at: float


def observe(longest: Longest | None, seconds: float, now: float) -> Longest:
    """Return the longest time once another one was observed."""
    return Longest(max(seconds, current(longest, now)), now)


def current(longest: Longest | None, now: float) -> float:
    """Return the longest time as it counts now, 0 if none is known."""
    if longest is None:
        return 0.0
    elapsed = now - longest.observed_at
    return longest.seconds * math.exp2(-elapsed / HALF_LIFE_SECONDS)
