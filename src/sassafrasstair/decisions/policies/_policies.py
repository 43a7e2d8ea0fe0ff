"""What a policy says, as one version has it. Durations are in seconds."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and the part of a route's requests that it gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests go whose host and path begin like this.

    ``idempotent`` requests may run more than once. ``timeout`` is the
    longest time until the final answer, ``objective`` the time that an
    answer should take. ``importance`` is as in ``load.rank``: greater is
    shed later. ``attempts_max`` bounds the instances that one request may
    be sent to. ``anonymous`` requests need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    importance: int
    attempts_max: int
    shares: tuple[Share, ...]
    anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Who sends requests, and how many.

    ``keys`` are digests of its API keys. ``rate`` in requests a second and
    ``burst`` in requests hold for all daemons together; a rate of 0 is no
    limit. ``importance`` goes before that of a route, unless it is None.
    """

    name: str
    keys: tuple[bytes, ...]
    rate: float = 0.0
    burst: float = 0.0
    importance: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take; bytes, seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One version of the policy; the highest version seen is in force.

    ``services`` are those that it names beside the services of its routes.
    Where ``customers`` is None no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: ClientLimits
    services: tuple[str, ...] = ()
    customers: tuple[Customer, ...] | None = None
