"""Allocation of tokens to the daemons of one failure domain.

The allocator keeps one token bucket for each customer and fills it at the
domain's share of the customer's limit. Tokens that were granted and not used
yet still count against the size of the bucket, so the tokens used in any
window never exceed the size of the bucket plus the tokens added in the window.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages
from sassafrasstair.decisions.quotas import _shares
from sassafrasstair.decisions.quotas import _stocks
from sassafrasstair.decisions.quotas import _votes

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.quotas import _limits

REQUESTER_TIMEOUT_SECONDS = 6.0
"""After this time without a request the demand of a daemon is dropped."""
SLOW_DEMAND_MAX = 0.6
SLOW_DEMAND_SECONDS = 20.0
"""The part of a demand up to ``SLOW_DEMAND_MAX`` requests a second decays with
the time constant ``SLOW_DEMAND_SECONDS``. The last requests of a customer that
rarely sends any do not show in which domain its next request arrives."""
MIN_TOKENS = 1e-3
MIN_RATE = 1e-3
"""The wait for the next token ends when the bucket holds ``MIN_TOKENS``. It is
computed from a rate of at least ``MIN_RATE`` tokens a second."""
UNKNOWN_SHARE_WAIT_SECONDS = 0.3
"""The wait that is reported while the share of the domain is unknown."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Tokens of one customer at ``filled_at``; below 0 after an overdraft."""

    tokens: float
    filled_at: float


@dataclasses.dataclass(slots=True)
class OutstandingTokens:
    """Tokens that a daemon may still use until ``expires_at``."""

    tokens: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class Requester:
    """One daemon of the domain.

    ``demands`` are its requests a second by customer, and ``last_request_at``
    is when it last asked for tokens.
    """

    last_request_at: float
    demands: _messages.Amounts = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Allocator:
    """State of the allocator of one failure domain.

    ``customers`` are all customers of the policy, and ``limits`` holds the
    limits of those that have one. ``requesters`` are the daemons by host.
    ``slow_demands`` is the part of the demands that decays slowly, as of
    ``slow_demands_at``. ``outstanding`` holds granted tokens that may still be
    unused, by customer and the host of the daemon that holds them. ``votes``
    are those of the daemons of the domain.
    """

    shares: _shares.Shares
    votes: _votes.Votes = dataclasses.field(default_factory=_votes.Votes)
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
    """Return an allocator that has not granted any tokens."""
    return Allocator(shares)


def allocated_share(allocator: Allocator, customer: str, now: float) -> float:
    """Return the part of a customer's limit that may be granted here."""
    share = _shares.share_available(allocator.shares, customer)
    return share * _votes.voted_share(allocator.votes, now)


def set_voters(
    allocator: Allocator, voters: abc.Collection[str], now: float
) -> None:
    """Set the daemons of the domain, in its order."""
    if allocator.votes.voters != voters:
        fill_buckets(allocator, now)
        _votes.set_voters(allocator.votes, voters, now)


def record_refusal(
    allocator: Allocator, host: str, connected_at: float, now: float
) -> None:
    """Record that a host refused a connection opened at ``connected_at``."""
    fill_buckets(allocator, now)
    _votes.record_refusal(allocator.votes, host, connected_at, now)


def may_exchange(allocator: Allocator, now: float) -> bool:
    """Return whether to send updates to the other domains.

    An allocator that has lost its votes sends none, so that another one can
    replace it. One that was told of another asks whether that is still so.
    """
    votes, shares = allocator.votes, allocator.shares
    return bool(shares.other_allocator) or not _votes.has_lost_votes(
        votes, now
    )


def has_votes(allocator: Allocator, now: float) -> bool:
    """Return whether any daemon votes for this allocator."""
    return _votes.voted_share(allocator.votes, now) > 0.0


def check_votes(allocator: Allocator, now: float) -> None:
    """Give up the share of the domain while no daemon votes.

    Another allocator with all votes may have lowered its claims meanwhile.
    """
    shares = allocator.shares
    if not shares.peer_domains or has_votes(allocator, now):
        return
    fill_buckets(allocator, now)
    _shares.restart_adoption(shares, now)


def set_limits(
    allocator: Allocator,
    limits: abc.Mapping[str, _limits.Limit | None],
    now: float,
) -> None:
    """Apply the limits of a new policy; None means no limit.

    The bucket of a new customer starts empty.
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
    allocator: Allocator, request: _messages.Ask, now: float
) -> tuple[_messages.Grant, ...]:
    """Grant as many of the requested tokens as are available.

    An allocator without any vote grants nothing, and its answer says nothing
    of the customers: another allocator may have tokens.
    """
    check_votes(allocator, now)
    demands = {need.customer: need.demand for need in request.needs}
    allocator.requesters[request.host] = Requester(now, demands)
    for need in request.needs:
        _set_outstanding(allocator, request.host, need, need.left, now)
    if not _count_vote(allocator, request, now):
        return ()
    return tuple(
        _grant(allocator, request.host, need, now) for need in request.needs
    )


def _count_vote(
    allocator: Allocator, request: _messages.Ask, now: float
) -> bool:
    """Count the vote in a request; return whether there are any votes."""
    # Otherwise the share would apply to the time before the vote.
    fill_buckets(allocator, now)
    _votes.count_vote(allocator.votes, request.host, request.stamp, now)
    return has_votes(allocator, now)


def tick(allocator: Allocator, now: float) -> None:
    """Update the demand of the domain, and its claims to match."""
    for host, requester in list(allocator.requesters.items()):
        if now - requester.last_request_at > REQUESTER_TIMEOUT_SECONDS:
            del allocator.requesters[host]
    demands: _messages.Amounts = {}
    for requester in allocator.requesters.values():
        for customer, rate in requester.demands.items():
            demands[customer] = demands.get(customer, 0.0) + rate
    _decay_demands(allocator, demands, now)
    fill_buckets(allocator, now)
    has_all_votes = _votes.voted_share(allocator.votes, now) == 1.0
    _shares.set_demands(
        allocator.shares, demands, allocator.limits, has_all_votes
    )


def _decay_demands(
    allocator: Allocator, demands: _messages.Amounts, now: float
) -> None:
    decay = math.exp(-(now - allocator.slow_demands_at) / SLOW_DEMAND_SECONDS)
    slow_demands = {}
    for customer in allocator.limits:
        previous = decay * allocator.slow_demands.get(customer, 0.0)
        rate = max(demands.get(customer, 0.0), previous)
        demands[customer] = rate
        slow_demands[customer] = min(rate, SLOW_DEMAND_MAX)
    allocator.slow_demands, allocator.slow_demands_at = slow_demands, now


def fill_buckets(allocator: Allocator, now: float) -> None:
    """Fill all buckets up to ``now`` at the current shares.

    Must be called before shares or limits change. Otherwise a raised share
    would also apply to the time since the buckets were last filled.
    """
    for customer, bucket in allocator.buckets.items():
        _fill_bucket(allocator, customer, bucket, now)


def _grant(
    allocator: Allocator, host: str, need: _messages.Need, now: float
) -> _messages.Grant:
    customer = need.customer
    limit = allocator.limits.get(customer)
    if limit is None and customer in allocator.customers:
        return _messages.Grant(customer, need.wanted, 0.0)
    if limit is None or allocator.shares.adopting:
        return _messages.Grant(
            customer, 0, UNKNOWN_SHARE_WAIT_SECONDS if need.wanted else 0
        )
    bucket = allocator.buckets[customer]
    _fill_bucket(allocator, customer, bucket, now)
    tokens = min(need.wanted, _grantable_tokens(bucket.tokens))
    if tokens:
        bucket.tokens -= tokens
        _set_outstanding(allocator, host, need, need.left + tokens, now)
    if tokens or not need.wanted:
        return _messages.Grant(customer, tokens, 0.0)
    rate = limit.rate * allocated_share(allocator, customer, now)
    wait = (MIN_TOKENS - bucket.tokens) / max(rate, MIN_RATE)
    return _messages.Grant(customer, 0, wait)


def _grantable_tokens(tokens: float) -> int:
    """Return how many tokens may be granted: the last may be overdrawn.

    Otherwise a customer with little demand would wait for its first token.
    """
    return 0 if tokens < 0.0 else max(1, math.ceil(tokens))


def _set_outstanding(
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


def _fill_bucket(
    allocator: Allocator, customer: str, bucket: Bucket, now: float
) -> None:
    limit = allocator.limits[customer]
    share = allocated_share(allocator, customer, now)
    outstanding = _outstanding(allocator, customer, now)
    gained = limit.rate * share * max(0.0, now - bucket.filled_at)
    bucket.tokens = min(
        limit.burst * share - outstanding, bucket.tokens + gained
    )
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
