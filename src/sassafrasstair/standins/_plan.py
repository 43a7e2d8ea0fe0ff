"""What the load tool asks for, and when: open-loop arrivals and a surge."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles

SURGE_BEGIN = 1 / 3
SURGE_END = 2 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Rate of new requests in each second over ``seconds``.

    The first and last thirds run at ``rate``. In the middle one the rate
    grows evenly up to ``rate * surge_factor``.
    """

    seconds: float
    rate: float
    surge_factor: float = 1.0

    @property
    def surge_end(self) -> float:
        """Seconds from the start at which the surge is over."""
        return self.seconds * SURGE_END


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """One request that a caller wants answered; times in seconds."""

    nonce: str
    request_class: str
    service: str
    tenant: str
    caller: str
    deadline: float
    once: bool
    body_bytes: int
    arrival: float


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """Who calls, and what for: ``mix`` weighs the classes."""

    bundle: bundles.Bundle
    mix: dict[str, float]
    count: int
    body_bytes: dict[str, int]


def rate_at(plan: Plan, at: float) -> float:
    """Return the rate ``at`` seconds from the start."""
    begin = plan.seconds * SURGE_BEGIN
    if not begin <= at < plan.surge_end:
        return plan.rate
    grown = (at - begin) / (plan.surge_end - begin)
    return plan.rate * (1 + (plan.surge_factor - 1) * grown)


def arrivals(plan: Plan, rng: random.Random) -> abc.Iterator[float]:
    """Yield the times of arrivals, independent of any answer."""
    at = rng.expovariate(plan.rate)
    while at < plan.seconds:
        yield at
        at += rng.expovariate(rate_at(plan, at))


def draw(callers: Callers, arrival: float, rng: random.Random) -> Want:
    """Return the request that arrives at ``arrival``.

    A caller keeps its tenant through the run.
    """
    names = list(callers.mix)
    (name,) = rng.choices(names, list(callers.mix.values()))
    rules = callers.bundle.classes[name]
    number = rng.randrange(callers.count)
    tenants = list(callers.bundle.tenants)
    return Want(
        nonce=f"{rng.getrandbits(128):032x}",
        request_class=name,
        service=rules.service,
        tenant=tenants[number % len(tenants)],
        caller=f"caller-{number}",
        deadline=rules.deadline_ms / 1000,
        once=rules.once,
        body_bytes=callers.body_bytes.get(name, 0),
        arrival=arrival,
    )
