"""Decoding of the customers in the store's policy."""

from __future__ import annotations

import json

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.platform import _documents
from tests.platform import samples

KEY = "2thhkmgjqnirth5mgjy5"
TENANT: dict[str, object] = {
    "api_keys": [KEY],
    "priority": 1,
    "rate_per_s": 180,
    "burst": 90,
}


def _decode(tenants: object) -> policies.Policy:
    value = {
        "version": "r7",
        "routes": {
            "one": samples.ROUTE,
            "two": samples.ROUTE | {"prefix": "/b/", "allow_anonymous": True},
        },
        "tenants": tenants,
    }
    return _documents.decode_policy(json.dumps(value).encode())


def test_decoded_customers_hold_key_digests_only() -> None:
    """Daemons would otherwise store, exchange or log API keys in clear."""
    policy = _decode({"pulo780": TENANT, "free": {"api_keys": ["k2"]}})
    assert policy.customers is not None
    one, free = policy.customers
    assert one.name == "pulo780"
    assert one.keys == (policies.digest_key(KEY.encode()),)
    assert (one.rate, one.burst, one.importance) == (180.0, 90.0, 8)
    assert (free.rate, free.importance) == (0.0, None)
    assert KEY not in repr(policy)
    assert [route.anonymous for route in policy.routes] == [False, True]


def test_policy_without_customers_requires_no_keys() -> None:
    assert _decode(None).customers is None
    assert _decode({}).customers == ()


@pytest.mark.parametrize(
    "tenants",
    [
        {"a": TENANT, "b": TENANT},
        {"a": TENANT | {"api_keys": [KEY, KEY]}},
        {"a": TENANT | {"rate_per_s": -1}},
        {"a": TENANT | {"rate_per_s": "many"}},
        {"a": TENANT | {"api_keys": [""]}},
        {"a": TENANT | {"api_keys": ["two\r\nlines"]}},
        {"a": TENANT | {"api_keys": [7]}},
        {"with blank": TENANT},
        {"": TENANT},
        [TENANT],
    ],
)
def test_policy_with_an_invalid_customer_is_rejected(tenants: object) -> None:
    """Otherwise a duplicate key or an invalid rate would take effect."""
    with pytest.raises(_documents.PolicyError) as caught:
        _decode(tenants)
    assert KEY not in str(caught.value)
