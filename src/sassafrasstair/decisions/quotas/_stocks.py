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
class Stock:
    """Tokens of one customer, and what is known of its demand.

    ``count`` decays with ``DEMAND_SECONDS``, from ``began`` on. The allocator
    had none, is not asked again until ``empty_until``, and expects one at
    ``token_at``. ``waiting`` requests need one now.
    """

    began: float
    tokens: int = 0
    expires: float = -math.inf
    count: float = 0.0
    counted: float = -math.inf
    empty_until: float = -math.inf
    token_at: float = -math.inf
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class Stocks:
    """The tokens of one daemon by customer.

    For ``ahead`` seconds of demand tokens are asked for ahead of need.
    """

    ahead: float = 0.7
    stocks: dict[str, Stock] = dataclasses.field(default_factory=dict)


def wanted(stocks: Stocks, customer: str, now: float) -> None:
    """Count one request of a customer, whether it will run or not."""
    stock = stocks.stocks.get(customer)
    if stock is None:
        stock = stocks.stocks[customer] = Stock(now)
    stock.count = _count(stock, now) + 1.0
    stock.counted = now


def take(stocks: Stocks, customer: str, now: float) -> bool:
    """Take a token for one request; return whether there was one."""
    stock = stocks.stocks.get(customer)
    if stock is None or _tokens(stock, now) < 1:
        return False
    stock.tokens -= 1
    return True


def give_back(stocks: Stocks, customer: str, now: float) -> None:
    """Return the token of a request that has not run and never will."""
    stock = stocks.stocks.get(customer)
    if stock is not None and now < stock.expires:
        stock.tokens += 1


def is_empty(stocks: Stocks, customer: str, now: float) -> bool:
    """Return whether it is known that there is no token to be had now."""
    stock = stocks.stocks.get(customer)
    return stock is not None and now < stock.empty_until


def token_seconds(stocks: Stocks, customer: str, now: float) -> float:
    """Return after how many seconds the allocator expects a token."""
    stock = stocks.stocks.get(customer)
    wait = 0.0 if stock is None else stock.token_at - now
    return min(max(0.0, wait), WAIT_SECONDS_MAX)


def demand(stock: Stock, now: float) -> float:
    """Return the requests a second of a customer."""
    count = _count(stock, now)
    if count < SERIES_FROM:
        return count / DEMAND_SECONDS
    age = max(DEMAND_SECONDS_MIN, now - stock.began)
    seen = -math.expm1(-age / DEMAND_SECONDS)
    return count / (DEMAND_SECONDS * seen)


def is_low(stocks: Stocks, customer: str, now: float) -> bool:
    """Return whether more tokens should be asked for."""
    stock = stocks.stocks.get(customer)
    if stock is None or now < stock.empty_until:
        return False
    return _tokens(stock, now) < LOW_SHARE * _target(stocks, stock, now)


def needs(stocks: Stocks, now: float) -> tuple[_messages.Need, ...]:
    """Return what to ask for now; customers without demand are forgotten."""
    found = []
    for customer, stock in list(stocks.stocks.items()):
        rate = demand(stock, now)
        left = _tokens(stock, now)
        if rate < IDLE_DEMAND and not stock.waiting:
            del stocks.stocks[customer]
            left, lacking = 0, 0
        else:
            lacking = max(
                0, _target(stocks, stock, now) + stock.waiting - left
            )
        found.append(_messages.Need(customer, rate, left, lacking))
    return tuple(found)


def granted(
    stocks: Stocks,
    grants: abc.Iterable[_messages.Grant],
    asked_at: float,
    now: float,
) -> None:
    """Take the tokens that were asked for at an instant."""
    for grant in grants:
        stock = stocks.stocks.get(grant.customer)
        if stock is None:
            continue
        stock.tokens = _tokens(stock, now) + grant.tokens
        stock.expires = asked_at + TOKEN_SECONDS
        stock.token_at = now + grant.wait
        retry = min(grant.wait, RETRY_SECONDS)
        stock.empty_until = now + retry


def _target(stocks: Stocks, stock: Stock, now: float) -> int:
    # A token that lies at a daemon with one request now and then is missed
    # elsewhere; there each request asks for its own.
    if _count(stock, now) < SERIES_FROM:
        return 0
    return math.ceil(stocks.ahead * demand(stock, now))


def _tokens(stock: Stock, now: float) -> int:
    if now >= stock.expires:
        stock.tokens = 0
    return stock.tokens


def _count(stock: Stock, now: float) -> float:
    passed = now - stock.counted
    return stock.count * math.exp(-passed / DEMAND_SECONDS)
