"""Finding a request's route, at a cost that does not grow with the routes."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.policies import _customers

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.policies import _policies


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """The routes of one policy by host and then by prefix, and by name.

    ``services`` are all that the policy names, ``customers`` those who hold
    a key by its digest, None where no request needs one.
    """

    policy: _policies.Policy
    routes_by_host: dict[str, dict[str, _policies.Route]]
    routes_by_name: dict[str, _policies.Route]
    services: frozenset[str]
    customers: dict[bytes, _policies.Customer] | None


def new_table(policy: _policies.Policy) -> Table:
    """Return the table of a policy."""
    hosts: dict[str, dict[str, _policies.Route]] = {}
    for route in policy.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    named = frozenset(
        share.service for route in policy.routes for share in route.shares
    )
    return Table(
        policy,
        hosts,
        {route.name: route for route in policy.routes},
        named | frozenset(policy.services),
        _customers.by_key(policy),
    )


def match_route(table: Table, host: str, path: str) -> _policies.Route | None:
    """Return the route with the longest prefix of ``path``.

    ``host`` may have a port. Prefixes begin and end with a slash, so only
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
    """Return one of the route's services, by the weights of its shares."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    drawn = rng.random() * sum(share.weight for share in shares)
    for share in shares:
        drawn -= share.weight
        if drawn < 0.0:
            return share.service
    return shares[-1].service
