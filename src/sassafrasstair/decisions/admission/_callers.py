"""Detection of inner routes, which only upstreams call.

Clients run on all VMs, so a route for clients is called from the VMs of all
services. A route that is called from the VMs of few services is an inner
route: their upstreams call it as part of other requests.
"""

from __future__ import annotations

import dataclasses

MIN_CALLS = 20
"""The number of calls from which on a route may be classified as inner."""
MIN_CALLER_SHARE = 0.02
"""A service with a smaller share of the calls does not count as a caller."""
INNER_MAX_SHARE = 0.5
"""A route that a larger share of the services calls is not inner."""
HALVE_AT = 400
"""The counts are halved after this many calls, so that they follow changes."""


@dataclasses.dataclass(slots=True)
class Callers:
    """Counts of calls by route and by the service on the calling VM."""

    calls: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


def note_caller(callers: Callers, route: str, service: str) -> None:
    """Count one call of the route from a VM of ``service``."""
    counts = callers.calls.setdefault(route, {})
    counts[service] = counts.get(service, 0.0) + 1.0
    if sum(counts.values()) >= HALVE_AT:
        for name in list(counts):
            counts[name] /= 2.0


def is_inner(callers: Callers, route: str, services: int) -> bool:
    """Return whether only upstreams call the route.

    ``services`` is the number of known services.
    """
    counts = callers.calls.get(route, {})
    total = sum(counts.values())
    if total < MIN_CALLS:
        return False
    caller_count = sum(
        count >= MIN_CALLER_SHARE * total for count in counts.values()
    )
    return caller_count <= INNER_MAX_SHARE * services
