"""Identification of the customer of a request by its API key."""

from __future__ import annotations

import enum
import hashlib
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.policies import _policies
    from sassafrasstair.decisions.policies import _tables

DIGEST_BYTES = 16
"""Length of the digest of an API key."""


class Unidentified(enum.Enum):
    """Why a request has no customer."""

    ANONYMOUS = "anonymous"
    """The request needs no key."""
    NO_KEY = "no_key"
    """The request needs a key and has none."""
    UNKNOWN_KEY = "unknown_key"
    """The policy lists no customer with the request's key."""


def digest_key(key: bytes) -> bytes:
    """Return the digest that identifies an API key; keys are not stored."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def customers_by_key_digest(
    policy: _policies.Policy,
) -> dict[bytes, _policies.Customer] | None:
    """Return the customers by key digest, None if no request needs a key."""
    if policy.customers is None:
        return None
    return {
        key: customer for customer in policy.customers for key in customer.keys
    }


def identify_customer(
    table: _tables.Table, route: _policies.Route, key_digest: bytes | None
) -> _policies.Customer | Unidentified:
    """Return the customer of a request, or why it has none.

    ``key_digest`` is the digest of the request's API key, None without one.
    """
    customers = table.customers_by_key_digest
    if customers is None:
        return Unidentified.ANONYMOUS
    customer = None if key_digest is None else customers.get(key_digest)
    if customer is not None:
        return customer
    if route.anonymous:
        return Unidentified.ANONYMOUS
    return (
        Unidentified.NO_KEY if key_digest is None else Unidentified.UNKNOWN_KEY
    )
