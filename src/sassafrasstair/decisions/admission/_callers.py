"""Which routes only upstreams call, learnt from who calls them.

Clients stand on all VMs, so a route for clients is called from the VMs of
all services. One that is called from the VMs of few is called by their
upstreams, as part of other requests.
"""

from __future__ import annotations

import dataclasses

MIN_CALLS = 20
"""Calls of a route before anything is concluded from them."""
MIN_CALLER_SHARE = 0.02
"""A service with a smaller part of the calls does not count as a caller."""
INNER_MAX_SHARE = 0.5
"""At most so large a part of the services calls a route that is inner."""
HALVE_AT = 400
"""Calls after which the counts are halved, so that they follow changes."""


@dataclasses.dataclass(slots=True)
class Callers:
    """Calls by route and by the service on the VM where they began."""

    calls: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


def note_caller(callers: Callers, route: str, service: str) -> None:
    """Count one call."""
    counts = callers.calls.setdefault(route, {})
    counts[service] = counts.get(service, 0.0) + 1.0
    if sum(counts.values()) >= HALVE_AT:
        for name in list(counts):
            counts[name] /= 2.0


def is_inner(callers: Callers, route: str, services: int) -> bool:
    """Return whether only upstreams call the route.

    ``services`` is the number of services that are known.
    """
    counts = callers.calls.get(route, {})
    total = sum(counts.values())
    if total < MIN_CALLS:
        return False
    seen = sum(count >= MIN_CALLER_SHARE * total for count in counts.values())
    return seen <= INNER_MAX_SHARE * services
