"""Lookup tables of a policy, built once when the policy becomes active.

The time to look up a route does not grow with the number of routes.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.policies import _customers

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.policies import _policies


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Lookup tables of one policy.

    ``routes_by_host`` maps a host to its routes by prefix. ``services`` are
    all services that the policy names. ``customers_by_key_digest`` maps the
    digest of an API key to its customer; it is None if no request needs a
    key.
    """

    policy: _policies.Policy
    routes_by_host: dict[str, dict[str, _policies.Route]]
    routes_by_name: dict[str, _policies.Route]
    services: frozenset[str]
    customers_by_key_digest: dict[bytes, _policies.Customer] | None


def new_table(policy: _policies.Policy) -> Table:
    """Return the lookup tables of a policy."""
    routes_by_host: dict[str, dict[str, _policies.Route]] = {}
    for route in policy.routes:
        routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = route
    named = frozenset(
        share.service for route in policy.routes for share in route.shares
    )
    return Table(
        policy,
        routes_by_host,
        {route.name: route for route in policy.routes},
        named | frozenset(policy.services),
        _customers.customers_by_key_digest(policy),
    )


def match_route(table: Table, host: str, path: str) -> _policies.Route | None:
    """Return the host's route with the longest prefix of ``path``, or None.

    ``host`` may include a port. Prefixes begin and end with a slash, so only
    the path up to each of its slashes is looked up.
    """
    name = host.lower()
    prefixes = table.routes_by_host.get(name)
    if prefixes is None:
        prefixes = table.routes_by_host.get(name.partition(":")[0])
    if prefixes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: _policies.Route, rng: random.Random) -> str:
    """Return one of the route's services, drawn at random by weight."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    drawn = rng.random() * sum(share.weight for share in shares)
    for share in shares:
        drawn -= share.weight
        if drawn < 0.0:
            return share.service
    return shares[-1].service
