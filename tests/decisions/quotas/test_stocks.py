"""Tests of the tokens that a daemon has prefetched."""

from __future__ import annotations

import math

import pytest

from sassafrasstair.decisions import quotas
from sassafrasstair.decisions.quotas import _stocks

CUSTOMER = "c"


def _store_with(tokens: int, asked_at: float) -> quotas.PrefetchStore:
    store = quotas.PrefetchStore()
    quotas.track_request(store, CUSTOMER, asked_at)
    _grant(store, tokens, asked_at)
    return store


def _grant(store: quotas.PrefetchStore, tokens: int, asked_at: float) -> None:
    grant = quotas.Grant(CUSTOMER, tokens, 0.0)
    quotas.handle_grants(store, [grant], asked_at, asked_at)


@pytest.mark.parametrize(
    ("granted_again_at", "given_back_at", "tokens"),
    [
        (None, 2.9, 1),
        (None, 3.1, 0),
        (2.0, 2.9, 2),
        (2.0, 3.1, 1),
        (5.0, 5.5, 1),
    ],
)
def test_token_is_given_back_only_until_it_expires(
    granted_again_at: float | None, given_back_at: float, tokens: int
) -> None:
    """A later grant prolonged the life of tokens that requests held.

    The requests of an outage gave back many at once long after their time,
    beyond the burst of the limit.
    """
    store = _store_with(1, 0.0)
    assert quotas.take_token(store, CUSTOMER, 0.5)
    until = quotas.usable_until(store, CUSTOMER)
    assert until == _stocks.TOKEN_SECONDS
    if granted_again_at is not None:
        _grant(store, 1, granted_again_at)
    quotas.give_back_token(store, CUSTOMER, until, given_back_at)
    usable = 0
    while quotas.take_token(store, CUSTOMER, given_back_at):
        usable += 1
    assert usable == tokens


def test_unknown_customer_has_no_usable_tokens() -> None:
    store = quotas.PrefetchStore()
    assert quotas.usable_until(store, CUSTOMER) == -math.inf
