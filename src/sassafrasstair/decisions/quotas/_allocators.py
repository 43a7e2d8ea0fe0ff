"""Handing out tokens to the daemons of one failure domain.

Token buckets, filled at the domain's share of each limit. Tokens that were
handed out and not used yet count as being in the bucket, so in no window more
of them are used than it may hold and gains.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages
from sassafrasstair.decisions.quotas import _shares
from sassafrasstair.decisions.quotas import _stocks

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.quotas import _limits

ASKER_SECONDS = 6.0
"""A daemon that has not asked for so long has no demand here any more."""
LASTING_DEMAND = 0.6
LASTING_SECONDS = 20.0
"""Up to so many requests a second a demand fades with this time constant: of a
customer with one request now and then the last ones don't tell where the next
one comes."""
TOKEN_LEAST = 1e-3
RATE_LEAST = 1e-3
"""Tokens, and tokens a second, from which the wait for the next one is worked
out."""
WAIT_SECONDS = 0.3
"""The wait that is told while the share of the domain is not known."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Tokens of one customer as of an instant; below 0 after an overdraft."""

    tokens: float
    filled_at: float


@dataclasses.dataclass(slots=True)
class OutstandingTokens:
    """Tokens that a daemon may still use until ``expires``."""

    tokens: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class Requester:
    """One daemon of the domain, and its demand by customer."""

    last_request_at: float
    demands: _messages.Amounts = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Allocator:
    """State of the allocator of one failure domain.

    ``customers`` are all that the policy names, ``limits`` those of the ones
    that have a limit. ``lasting`` is the part of the demands that fades
    slowly, as of ``faded``. ``out`` are tokens by customer and the host of the
    daemon that has them.
    """

    shares: _shares.Shares
    customers: frozenset[str] = frozenset()
    limits: dict[str, _limits.Limit] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    requesters: dict[str, Requester] = dataclasses.field(default_factory=dict)
    slow_demands: _messages.Amounts = dataclasses.field(default_factory=dict)
    slow_demands_at: float = -math.inf
    outstanding: dict[str, dict[str, OutstandingTokens]] = dataclasses.field(
        default_factory=dict
    )


def new_allocator(shares: _shares.Shares) -> Allocator:
    """Return an allocator that has handed out nothing."""
    return Allocator(shares)


def set_limits(
    allocator: Allocator,
    limits: abc.Mapping[str, _limits.Limit | None],
    now: float,
) -> None:
    """Take the limits of another policy, None for a customer without one.

    A customer that is new begins with no tokens.
    """
    fill_buckets(allocator, now)
    allocator.customers = frozenset(limits)
    allocator.limits = {
        customer: limit
        for customer, limit in limits.items()
        if limit is not None
    }
    allocator.buckets = {
        customer: allocator.buckets.get(customer) or Bucket(0.0, now)
        for customer in allocator.limits
    }


def answer_request(
    allocator: Allocator, asked: _messages.AllocationRequest, now: float
) -> tuple[_messages.Grant, ...]:
    """Hand out tokens, as far as there are any."""
    demands = {need.customer: need.demand for need in asked.needs}
    allocator.requesters[asked.host] = Requester(now, demands)
    for need in asked.needs:
        _note_out(allocator, asked.host, need, need.left, now)
    return tuple(
        _grant(allocator, asked.host, need, now) for need in asked.needs
    )


def tick(allocator: Allocator, now: float) -> None:
    """Work out the demand of the domain, and its claims by that."""
    for host, asker in list(allocator.requesters.items()):
        if now - asker.last_request_at > ASKER_SECONDS:
            del allocator.requesters[host]
    demands: _messages.Amounts = {}
    for asker in allocator.requesters.values():
        for customer, rate in asker.demands.items():
            demands[customer] = demands.get(customer, 0.0) + rate
    _fade(allocator, demands, now)
    fill_buckets(allocator, now)
    _shares.set_demands(allocator.shares, demands, allocator.limits)


def _fade(
    allocator: Allocator, demands: _messages.Amounts, now: float
) -> None:
    kept = math.exp(-(now - allocator.slow_demands_at) / LASTING_SECONDS)
    lasting = {}
    for customer in allocator.limits:
        before = kept * allocator.slow_demands.get(customer, 0.0)
        rate = max(demands.get(customer, 0.0), before)
        demands[customer] = rate
        lasting[customer] = min(rate, LASTING_DEMAND)
    allocator.slow_demands, allocator.slow_demands_at = lasting, now


def fill_buckets(allocator: Allocator, now: float) -> None:
    """Fill the buckets at the shares until now; to be called before a change.

    Otherwise a share that rises would count from the last time on.
    """
    for customer, bucket in allocator.buckets.items():
        _fill(allocator, customer, bucket, now)


def _grant(
    allocator: Allocator, host: str, need: _messages.Need, now: float
) -> _messages.Grant:
    customer = need.customer
    limit = allocator.limits.get(customer)
    if limit is None and customer in allocator.customers:
        return _messages.Grant(customer, need.wanted, 0.0)
    if limit is None or allocator.shares.adopting:
        return _messages.Grant(customer, 0, WAIT_SECONDS if need.wanted else 0)
    bucket = allocator.buckets[customer]
    _fill(allocator, customer, bucket, now)
    tokens = min(need.wanted, _whole(bucket.tokens))
    if tokens:
        bucket.tokens -= tokens
        _note_out(allocator, host, need, need.left + tokens, now)
    if tokens or not need.wanted:
        return _messages.Grant(customer, tokens, 0.0)
    rate = limit.rate * _shares.share_available(allocator.shares, customer)
    wait = (TOKEN_LEAST - bucket.tokens) / max(rate, RATE_LEAST)
    return _messages.Grant(customer, 0, wait)


def _whole(tokens: float) -> int:
    """Return how many may be handed out: the last one may be overdrawn.

    Otherwise a customer with little demand would wait for its first one.
    """
    return 0 if tokens < 0.0 else max(1, math.ceil(tokens))


def _note_out(
    allocator: Allocator,
    host: str,
    need: _messages.Need,
    tokens: int,
    now: float,
) -> None:
    holders = allocator.outstanding.setdefault(need.customer, {})
    if tokens:
        holders[host] = OutstandingTokens(tokens, now + _stocks.TOKEN_SECONDS)
    else:
        holders.pop(host, None)


def _fill(
    allocator: Allocator, customer: str, bucket: Bucket, now: float
) -> None:
    limit = allocator.limits[customer]
    part = _shares.share_available(allocator.shares, customer)
    out = _outstanding(allocator, customer, now)
    gained = limit.rate * part * max(0.0, now - bucket.filled_at)
    bucket.tokens = min(limit.burst * part - out, bucket.tokens + gained)
    bucket.filled_at = now


def _outstanding(allocator: Allocator, customer: str, now: float) -> int:
    holders = allocator.outstanding.get(customer)
    if not holders:
        return 0
    for host in [
        each for each, out in holders.items() if out.expires_at <= now
    ]:
        del holders[host]
    return sum(out.tokens for out in holders.values())
