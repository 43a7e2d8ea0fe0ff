"""Tokens that one daemon has been granted ahead of need.

Each request of a customer with a limit takes one, and gives it back when it
certainly has not run. Tokens are used up or expire; a restarted daemon has
none.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages

if typing.TYPE_CHECKING:
    from collections import abc

TOKEN_SECONDS = 3.0
"""After which a token may not be used any more."""
DEMAND_SECONDS = 2.0
"""Over so long the demand is averaged."""
DEMAND_SECONDS_MIN = 1.0
SERIES_FROM = 1.5
"""A demand that is younger counts as if it were as old, and one request alone
is no series that has just begun."""
LOW_SHARE = 0.5
"""With less of that left more are asked for."""
IDLE_DEMAND = 0.02
"""Requests a second below which a customer is forgotten."""
RETRY_SECONDS = 0.25
"""The allocator that had no token is asked again after this."""
WAIT_SECONDS_MAX = 5.0
"""The longest time after which a client is told to come back."""


@dataclasses.dataclass(slots=True)
class PrefetchedTokens:
    """Tokens of one customer, and what is known of its demand.

    ``count`` decays with ``DEMAND_SECONDS``, from ``began`` on. The allocator
    had none, is not asked again until ``empty_until``, and expects one at
    ``token_at``. ``waiting`` requests need one now.
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

    For ``ahead`` seconds of demand tokens are asked for ahead of need.
    """

    prefetch_seconds: float = 0.7
    by_customer: dict[str, PrefetchedTokens] = dataclasses.field(
        default_factory=dict
    )


def track_request(stocks: PrefetchStore, customer: str, now: float) -> None:
    """Count one request of a customer, whether it will run or not."""
    stock = stocks.by_customer.get(customer)
    if stock is None:
        stock = stocks.by_customer[customer] = PrefetchedTokens(now)
    stock.decayed_count = _count(stock, now) + 1.0
    stock.counted_at = now


def take_token(stocks: PrefetchStore, customer: str, now: float) -> bool:
    """Take a token for one request; return whether there was one."""
    stock = stocks.by_customer.get(customer)
    if stock is None or _tokens(stock, now) < 1:
        return False
    stock.tokens -= 1
    return True


def give_back_token(stocks: PrefetchStore, customer: str, now: float) -> None:
    """Return the token of a request that has not run and never will."""
    stock = stocks.by_customer.get(customer)
    if stock is not None and now < stock.expires_at:
        stock.tokens += 1


def is_exhausted(stocks: PrefetchStore, customer: str, now: float) -> bool:
    """Return whether it is known that there is no token to be had now."""
    stock = stocks.by_customer.get(customer)
    return stock is not None and now < stock.exhausted_until


def token_wait_seconds(
    stocks: PrefetchStore, customer: str, now: float
) -> float:
    """Return after how many seconds the allocator expects a token."""
    stock = stocks.by_customer.get(customer)
    wait = 0.0 if stock is None else stock.next_token_at - now
    return min(max(0.0, wait), WAIT_SECONDS_MAX)


def demand_rate(stock: PrefetchedTokens, now: float) -> float:
    """Return the requests a second of a customer."""
    count = _count(stock, now)
    if count < SERIES_FROM:
        return count / DEMAND_SECONDS
    age = max(DEMAND_SECONDS_MIN, now - stock.started_at)
    seen = -math.expm1(-age / DEMAND_SECONDS)
    return count / (DEMAND_SECONDS * seen)


def is_low(stocks: PrefetchStore, customer: str, now: float) -> bool:
    """Return whether more tokens should be asked for."""
    stock = stocks.by_customer.get(customer)
    if stock is None or now < stock.exhausted_until:
        return False
    return _tokens(stock, now) < LOW_SHARE * _target(stocks, stock, now)


def list_needs(
    stocks: PrefetchStore, now: float
) -> tuple[_messages.Need, ...]:
    """Return what to ask for now; customers without demand are forgotten."""
    found = []
    for customer, stock in list(stocks.by_customer.items()):
        rate = demand_rate(stock, now)
        left = _tokens(stock, now)
        if rate < IDLE_DEMAND and not stock.waiting:
            del stocks.by_customer[customer]
            left, lacking = 0, 0
        else:
            lacking = max(
                0, _target(stocks, stock, now) + stock.waiting - left
            )
        found.append(_messages.Need(customer, rate, left, lacking))
    return tuple(found)


def handle_grants(
    stocks: PrefetchStore,
    grants: abc.Iterable[_messages.Grant],
    asked_at: float,
    now: float,
) -> None:
    """Take the tokens that were asked for at an instant."""
    for grant in grants:
        stock = stocks.by_customer.get(grant.customer)
        if stock is None:
            continue
        stock.tokens = _tokens(stock, now) + grant.tokens
        stock.expires_at = asked_at + TOKEN_SECONDS
        stock.next_token_at = now + grant.wait
        retry = min(grant.wait, RETRY_SECONDS)
        stock.exhausted_until = now + retry


def _target(stocks: PrefetchStore, stock: PrefetchedTokens, now: float) -> int:
    # A token that lies at a daemon with one request now and then is missed
    # elsewhere; there each request asks for its own.
    if _count(stock, now) < SERIES_FROM:
        return 0
    return math.ceil(stocks.prefetch_seconds * demand_rate(stock, now))


def _tokens(stock: PrefetchedTokens, now: float) -> int:
    if now >= stock.expires_at:
        stock.tokens = 0
    return stock.tokens


def _count(stock: PrefetchedTokens, now: float) -> float:
    passed = now - stock.counted_at
    return stock.decayed_count * math.exp(-passed / DEMAND_SECONDS)
