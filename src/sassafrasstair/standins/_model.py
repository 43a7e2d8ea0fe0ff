"""How long a stand-in upstream takes, and what it says of its health."""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

CONTENTION = 0.3
"""Throughput lost for each whole multiple of the slots past the first."""

SHED_FACTOR = 4.0
"""An upstream refuses new work at this multiple of its slots."""

COLD_FACTOR = 4.0
"""Service time at the very start, as a multiple of the warm one."""

FIXED_SHARE = 0.5
"""Share of the service time that is the same for each request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the stand-in was started with; times in seconds.

    ``health_lag`` is the age of the load that is told; ``health_says``, if
    not empty, is the state that is told whatever the truth. ``rate_limit``,
    unless it is None, is the number of requests per second that the stand-in
    says in its answers it takes.
    """

    slots: int
    service: float
    cold: float = 0.0
    health_lag: float = 0.0
    health_says: str = ""
    rate_limit: float | None = None


@dataclasses.dataclass(slots=True)
class Model:
    """State of the model: requests in flight and past loads."""

    rules: Rules
    started: float
    inflight: int = 0
    draining: bool = False
    loads: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )


def sheds(model: Model) -> bool:
    """Return whether new work is refused before it is begun."""
    most = model.rules.slots * SHED_FACTOR
    return model.draining or model.inflight >= most


def begin(model: Model, now: float) -> None:
    """Note that a request begins."""
    model.inflight += 1
    _note(model, now)


def end(model: Model, now: float) -> None:
    """Note that a request ended."""
    model.inflight -= 1
    _note(model, now)


def service_seconds(model: Model, now: float, rng: random.Random) -> float:
    """Return how long a request that starts now takes.

    Past the slots, requests share them, and contention costs throughput,
    so that load above the slots lessens what gets done.
    """
    rules = model.rules
    crowd = max(1.0, model.inflight / rules.slots)
    slowdown = crowd * (1 + CONTENTION * (crowd - 1))
    varied = FIXED_SHARE + rng.expovariate(1 / (1 - FIXED_SHARE))
    return rules.service * varied * slowdown * _cold_factor(model, now)


def told_state(model: Model) -> str:
    """Return the state that ``/health`` tells."""
    if model.rules.health_says:
        return model.rules.health_says
    return "draining" if model.draining else "serving"


def told_load(model: Model, now: float) -> float:
    """Return the load that ``/health`` tells: 1.0 is all slots in use."""
    before = now - model.rules.health_lag
    while len(model.loads) > 1 and model.loads[1][0] <= before:
        model.loads.popleft()
    if not model.loads or model.loads[0][0] > before:
        return 0.0
    return model.loads[0][1]


def _note(model: Model, now: float) -> None:
    model.loads.append((now, model.inflight / model.rules.slots))
    told_load(model, now)


def _cold_factor(model: Model, now: float) -> float:
    rules = model.rules
    if rules.cold <= 0:
        return 1.0
    warmed = min(1.0, (now - model.started) / rules.cold)
    return COLD_FACTOR + (1.0 - COLD_FACTOR) * warmed
