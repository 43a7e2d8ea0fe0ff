"""Tokens that one daemon has prefetched from its allocator.

Each request of a customer with a limit takes one token. The token is returned
if the request certainly has not run. Tokens are used up or expire; a restarted
daemon has none.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages

if typing.TYPE_CHECKING:
    from collections import abc

TOKEN_SECONDS = 3.0
"""The time after which a token may no longer be used."""
DEMAND_SECONDS = 2.0
"""The time constant of the average that estimates the demand."""
DEMAND_SECONDS_MIN = 1.0
MIN_SERIES_COUNT = 1.5
"""The estimate assumes that a demand began at least ``DEMAND_SECONDS_MIN``
ago. A decayed count below ``MIN_SERIES_COUNT``, as after a single request, is
not taken as the start of a series."""
REFILL_FRACTION = 0.5
"""Below this part of the target number more tokens are requested."""
IDLE_DEMAND = 0.02
"""The demand in requests a second below which a customer is removed."""
RETRY_SECONDS = 0.25
"""The longest time until an allocator without tokens is asked again."""
WAIT_SECONDS_MAX = 5.0
"""The longest time after which a client is told to try again."""


@dataclasses.dataclass(slots=True)
class PrefetchedTokens:
    """Tokens of one customer, and the estimate of its demand.

    ``decayed_count`` counts requests since ``started_at``, last updated at
    ``counted_at``, and decays with the time constant ``DEMAND_SECONDS``. When
    the allocator has no tokens, it is not asked again until
    ``exhausted_until``, and expects the next token at ``next_token_at``.
    ``waiting`` is the number of requests that need a token now.
    """

    started_at: float
    tokens: int = 0
    expires_at: float = -math.inf
    decayed_count: float = 0.0
    counted_at: float = -math.inf
    exhausted_until: float = -math.inf
    next_token_at: float = -math.inf
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class PrefetchStore:
    """The tokens of one daemon by customer.

    The daemon keeps enough tokens for ``prefetch_seconds`` of demand.
    """

    prefetch_seconds: float = 0.7
    by_customer: dict[str, PrefetchedTokens] = dataclasses.field(
        default_factory=dict
    )


def track_request(store: PrefetchStore, customer: str, now: float) -> None:
    """Count a request of a customer, whether or not it runs."""
    entry = store.by_customer.get(customer)
    if entry is None:
        entry = store.by_customer[customer] = PrefetchedTokens(now)
    entry.decayed_count = _current_count(entry, now) + 1.0
    entry.counted_at = now


def take_token(store: PrefetchStore, customer: str, now: float) -> bool:
    """Take a token for one request; return whether one was available."""
    entry = store.by_customer.get(customer)
    if entry is None or _usable_tokens(entry, now) < 1:
        return False
    entry.tokens -= 1
    return True


def usable_until(store: PrefetchStore, customer: str) -> float:
    """Return when the tokens that are held now expire."""
    entry = store.by_customer.get(customer)
    return -math.inf if entry is None else entry.expires_at


def give_back_token(
    store: PrefetchStore, customer: str, until: float, now: float
) -> None:
    """Put back the token of a request that has not run and never will.

    ``until`` is when the token expires, which a later grant does not change.
    """
    entry = store.by_customer.get(customer)
    if entry is not None and now < min(until, entry.expires_at):
        entry.tokens += 1


def drop_tokens(store: PrefetchStore) -> None:
    """Drop all tokens, which another allocator does not count."""
    for entry in store.by_customer.values():
        entry.tokens = 0


def is_exhausted(store: PrefetchStore, customer: str, now: float) -> bool:
    """Return whether the allocator is known to have no token now."""
    entry = store.by_customer.get(customer)
    return entry is not None and now < entry.exhausted_until


def token_wait_seconds(
    store: PrefetchStore, customer: str, now: float
) -> float:
    """Return the seconds until the allocator expects to have a token."""
    entry = store.by_customer.get(customer)
    wait = 0.0 if entry is None else entry.next_token_at - now
    return min(max(0.0, wait), WAIT_SECONDS_MAX)


def demand_rate(entry: PrefetchedTokens, now: float) -> float:
    """Return the estimated demand of a customer in requests a second."""
    count = _current_count(entry, now)
    if count < MIN_SERIES_COUNT:
        return count / DEMAND_SECONDS
    age = max(DEMAND_SECONDS_MIN, now - entry.started_at)
    seen = -math.expm1(-age / DEMAND_SECONDS)
    return count / (DEMAND_SECONDS * seen)


def is_low(store: PrefetchStore, customer: str, now: float) -> bool:
    """Return whether more tokens should be requested."""
    entry = store.by_customer.get(customer)
    if entry is None or now < entry.exhausted_until:
        return False
    return _usable_tokens(entry, now) < REFILL_FRACTION * _target_tokens(
        store, entry, now
    )


def list_needs(store: PrefetchStore, now: float) -> tuple[_messages.Need, ...]:
    """Return the needs to send now, and remove customers without demand."""
    found = []
    for customer, entry in list(store.by_customer.items()):
        rate = demand_rate(entry, now)
        left = _usable_tokens(entry, now)
        if rate < IDLE_DEMAND and not entry.waiting:
            del store.by_customer[customer]
            left, lacking = 0, 0
        else:
            lacking = max(
                0, _target_tokens(store, entry, now) + entry.waiting - left
            )
        found.append(_messages.Need(customer, rate, left, lacking))
    return tuple(found)


def handle_grants(
    store: PrefetchStore,
    grants: abc.Iterable[_messages.Grant],
    asked_at: float,
    now: float,
) -> None:
    """Add granted tokens; the request for them was sent at ``asked_at``."""
    for grant in grants:
        entry = store.by_customer.get(grant.customer)
        if entry is None:
            continue
        entry.tokens = _usable_tokens(entry, now) + grant.tokens
        entry.expires_at = asked_at + TOKEN_SECONDS
        entry.next_token_at = now + grant.wait
        retry = min(grant.wait, RETRY_SECONDS)
        entry.exhausted_until = now + retry


def _target_tokens(
    store: PrefetchStore, entry: PrefetchedTokens, now: float
) -> int:
    # A token held by a daemon that rarely needs one is not available to
    # other daemons. Such a daemon requests a token for each request.
    if _current_count(entry, now) < MIN_SERIES_COUNT:
        return 0
    return math.ceil(store.prefetch_seconds * demand_rate(entry, now))


def _usable_tokens(entry: PrefetchedTokens, now: float) -> int:
    if now >= entry.expires_at:
        entry.tokens = 0
    return entry.tokens


def _current_count(entry: PrefetchedTokens, now: float) -> float:
    passed = now - entry.counted_at
    return entry.decayed_count * math.exp(-passed / DEMAND_SECONDS)
