"""Validation of a policy, whichever source it comes from."""

from __future__ import annotations

import re
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.policies import _policies

SECONDS_MAX = 86_400.0
"""No client waits for a day, so a greater value is invalid."""
VERSION_MAX = 10**18 - 1
COUNT_MAX = 2**53 - 1
"""Greatest size or number of attempts."""
AMOUNT_MAX = 1e12
"""Greatest weight, rate or burst; sums of them stay finite."""
ROUTE_NAME_MAX = 1_000
"""Characters of a route's name, which daemons send in a header field."""
_CUSTOMER_NAME = re.compile(r"[!-~]{1,200}")


def find_fault(policy: _policies.Policy) -> str:
    """Return the first invalid part of a policy, '' if all are valid."""
    if not 0 <= policy.version <= VERSION_MAX:
        return "version"
    limits = policy.limits
    if not 0 < limits.head_bytes <= COUNT_MAX:
        return "limits"
    if not 0 <= limits.body_bytes <= COUNT_MAX:
        return "limits"
    if not (_is_time(limits.head_seconds) and _is_time(limits.idle_seconds)):
        return "limits"
    for route in policy.routes:
        fault = _find_route_fault(route)
        if fault:
            return f"{route.name[:80]!r}: {fault}"
    return _find_customer_fault(policy.customers or ())


def _find_customer_fault(customers: abc.Sequence[_policies.Customer]) -> str:
    keys: set[bytes] = set()
    names: set[str] = set()
    for customer in customers:
        name = f"customer {customer.name[:80]!r}"
        # Customer names are sent in a header field.
        if (
            not _CUSTOMER_NAME.fullmatch(customer.name)
            or customer.name in names
        ):
            return f"{name}: name"
        if not (_is_amount(customer.rate) and _is_amount(customer.burst)):
            return f"{name}: limits"
        if len(set(customer.keys)) < len(customer.keys):
            return f"{name}: a key twice"
        if not keys.isdisjoint(customer.keys):
            return f"{name}: a key of another customer"
        names.add(customer.name)
        keys.update(customer.keys)
    return ""


def _is_amount(value: float) -> bool:
    return 0.0 <= value <= AMOUNT_MAX


def _find_route_fault(route: _policies.Route) -> str:
    if not route.host:
        return "host"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        return "prefix"
    if not (_is_time(route.timeout) and 0.0 <= route.objective <= SECONDS_MAX):
        return "times"
    if not 1 <= route.attempts_max <= COUNT_MAX:
        return "attempts"
    # Daemons send route names in a field separated by spaces.
    if not route.name.isprintable() or " " in route.name:
        return "name"
    if not 1 <= len(route.name) <= ROUTE_NAME_MAX:
        return "name"
    weights = [share.weight for share in route.shares]
    if not all(_is_amount(weight) for weight in weights):
        return "weights"
    if sum(weights) <= 0.0 or not all(each.service for each in route.shares):
        return "services"
    return ""


def _is_time(seconds: float) -> bool:
    return 0.0 < seconds <= SECONDS_MAX
