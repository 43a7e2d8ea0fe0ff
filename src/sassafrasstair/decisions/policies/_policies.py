"""The contents of one policy version. Durations are in seconds."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The services for requests to ``host`` whose path starts with ``prefix``.

    If ``idempotent``, a request may run more than once. ``timeout`` is the
    longest time until the final answer, ``objective`` the target latency.
    ``importance`` is as in ``load.rank``: requests of greater importance are
    shed later. ``attempts_max`` limits the instances that one request may be
    sent to. ``shares`` are the services among which the requests are split.
    If ``anonymous``, a request needs no key.
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
    """A customer that sends requests, and its rate limit.

    ``keys`` are digests of its API keys. ``rate`` (requests per second) and
    ``burst`` (requests) apply to all daemons together; a rate of 0 means no
    limit. ``importance``, unless None, takes precedence over the route's.
    """

    name: str
    keys: tuple[bytes, ...]
    rate: float = 0.0
    burst: float = 0.0
    importance: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what a client sends and how long it takes.

    ``head_bytes`` and ``body_bytes`` limit the sizes of a request's head and
    body, ``head_seconds`` the time until its head is complete, and
    ``idle_seconds`` the time for which a connection may be idle.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One version of the policy; the highest version seen is in force.

    ``services`` are named in addition to the services of the routes. If
    ``customers`` is None, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: ClientLimits
    services: tuple[str, ...] = ()
    customers: tuple[Customer, ...] | None = None
