"""The fake upstream: slower past its slots, slower still when cold."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import random

# With n running on s slots, work takes (n / s) ** CONTENTION times longer:
# more than in proportion, so that throughput falls past the slots.
CONTENTION = 1.2
NOISE = 0.2
COLD_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Upstream:
    """One instance; ``seconds`` is its own work with a slot to itself."""

    slots: int
    connections: int
    seconds: float
    factor: float = 1.0
    cold_from: float = 0.0
    warm_at: float = 0.0
    running: int = 0


def warmth(upstream: Upstream, now: float) -> float:
    """Return the share of the slots that work at full speed."""
    if now >= upstream.warm_at:
        return 1.0
    span = upstream.warm_at - upstream.cold_from
    passed = (now - upstream.cold_from) / span
    return COLD_SHARE + (1 - COLD_SHARE) * passed


def capacity(upstream: Upstream, now: float) -> float:
    """Return how many works a second it can finish."""
    slots = upstream.slots * warmth(upstream, now)
    return slots / (upstream.seconds * upstream.factor)


def begin(upstream: Upstream, now: float, rng: random.Random) -> float | None:
    """Take a slot and return the seconds of work; None is a refusal."""
    if upstream.running >= upstream.connections:
        return None
    upstream.running += 1
    slots = upstream.slots * warmth(upstream, now)
    crowd = math.pow(max(1.0, upstream.running / slots), CONTENTION)
    noise = rng.uniform(1 - NOISE, 1 + NOISE)
    return upstream.seconds * upstream.factor * crowd * noise


def end(upstream: Upstream) -> None:
    """Give the slot back."""
    upstream.running -= 1
