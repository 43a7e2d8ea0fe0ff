"""Quota tokens for the requests of customers with a limit.

A request takes a token that the failure domain's allocator granted in
advance. If there is none, the request waits briefly while the allocator is
asked for more.
"""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import stops
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _shares
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _tokens
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

TOKEN_WAIT_SECONDS = 0.3
"""Maximum time for which a request waits for a token."""
ALLOCATOR_TIMEOUT_SECONDS = 0.25
ASK_GAP_SECONDS = 0.05
"""Minimum interval between two questions when no request waits."""
ASK_PERIOD_SECONDS = 0.5
ASK_PERIOD_SECONDS_MAX = 2.0
ASKS_PER_SECOND_MAX = 110
"""Maximum questions per second to one allocator from daemons that need no
tokens. They still ask once per period to report their demand, and the period
grows with the number of daemons in the domain, up to its maximum, so that the
allocator is not overloaded."""
VOTE_PERIOD_SECONDS_MAX = 0.8
"""Maximum period where questions renew votes, which expire otherwise."""
CANVASSED_SECONDS = 3.0
"""How long a daemon votes after an allocator has asked for its vote."""
PREFETCH_PERIODS = 1.4
AVOID_SECONDS = 2.0
"""Mean time for which an allocator that did not answer is skipped."""


def take_token(
    daemon: _state.Daemon,
    customer: policies.Customer,
    answer: _tokens.TokenCallback,
) -> None:
    """Take a token for a request, and call ``answer`` with the result.

    ``answer`` is called immediately if the result is known, and otherwise
    after the allocator's answer. ``QUOTA_EXCEEDED`` means that there is no
    token, and ``QUOTA_UNKNOWN`` that no allocator has answered in time.
    """
    tokens, now = daemon.tokens, daemon.clock.monotonic()
    quotas.track_request(tokens.stocks, customer.name, now)
    if quotas.take_token(tokens.stocks, customer.name, now):
        if quotas.is_low(tokens.stocks, customer.name, now):
            tokens.ask_soon = True
        answer(outcomes.Reason.NONE)
    elif quotas.is_exhausted(tokens.stocks, customer.name, now):
        answer(outcomes.Reason.QUOTA_EXCEEDED)
    else:
        _wait_for_token(daemon, customer.name, answer)


def usable_until(daemon: _state.Daemon, customer: str) -> float:
    """Return when a token that was taken just now expires."""
    return quotas.usable_until(daemon.tokens.stocks, customer)


def return_token(daemon: _state.Daemon, customer: str, until: float) -> None:
    """Return the token of a request that has not run and will not run.

    The token expires at ``until``.
    """
    now = daemon.clock.monotonic()
    quotas.give_back_token(daemon.tokens.stocks, customer, until, now)


def seconds_until_token(daemon: _state.Daemon, customer: str) -> float:
    """Return the seconds until a token is expected to be available."""
    now = daemon.clock.monotonic()
    return quotas.token_wait_seconds(daemon.tokens.stocks, customer, now)


def tick(daemon: _state.Daemon, now: float) -> None:
    """Ask the allocator for tokens in advance, and report the demand."""
    _shares.tick(daemon, now)
    tokens = daemon.tokens
    votes = _votes(daemon, now)
    if tokens.asking or not (tokens.stocks.by_customer or votes):
        return
    period = _ask_period(daemon, votes)
    tokens.stocks.prefetch_seconds = PREFETCH_PERIODS * period
    since = now - tokens.asked_at
    if since >= period or (tokens.ask_soon and since >= ASK_GAP_SECONDS):
        _ask_allocator(daemon, now)


def _votes(daemon: _state.Daemon, now: float) -> bool:
    """Return whether this daemon votes also if it needs no tokens."""
    feed = daemon.feed
    is_elector = len(feed.earlier_hosts) < quotas.ELECTORS_MAX
    canvassed = now - daemon.tokens.canvassed_at < CANVASSED_SECONDS
    return (
        feed.own_host in feed.hosts
        and (is_elector or canvassed)
        and _shares.has_limits(daemon)
    )


def _ask_period(daemon: _state.Daemon, votes: bool) -> float:
    min_period = len(daemon.feed.hosts) / ASKS_PER_SECOND_MAX
    if votes and not daemon.tokens.stocks.by_customer:
        return VOTE_PERIOD_SECONDS_MAX
    max_period = VOTE_PERIOD_SECONDS_MAX if votes else ASK_PERIOD_SECONDS_MAX
    return min(max_period, max(ASK_PERIOD_SECONDS, min_period))


def _wait_for_token(
    daemon: _state.Daemon, customer: str, answer: _tokens.TokenCallback
) -> None:
    loop = asyncio.get_running_loop()
    waiting = daemon.tokens.waiting.setdefault(customer, [])
    timer = loop.call_later(
        TOKEN_WAIT_SECONDS, _end_wait, daemon, customer, answer
    )
    waiting.append(_tokens.WaitingRequest(answer, timer))
    _update_waiting_count(daemon, customer)
    if not daemon.tokens.asking:
        # Requests that arrive in the same loop iteration share the question.
        loop.call_soon(_ask_for_waiting, daemon)


def _ask_for_waiting(daemon: _state.Daemon) -> None:
    if daemon.tokens.waiting and not daemon.tokens.asking:
        _ask_allocator(daemon, daemon.clock.monotonic())


def _end_wait(
    daemon: _state.Daemon, customer: str, answer: _tokens.TokenCallback
) -> None:
    """End the wait of a request that has waited for too long."""
    waiting = daemon.tokens.waiting.get(customer, [])
    remaining = [
        request for request in waiting if request.answer is not answer
    ]
    if len(remaining) == len(waiting):
        return
    if remaining:
        daemon.tokens.waiting[customer] = remaining
    else:
        daemon.tokens.waiting.pop(customer, None)
    _update_waiting_count(daemon, customer)
    answer(outcomes.Reason.QUOTA_UNKNOWN)


def _update_waiting_count(daemon: _state.Daemon, customer: str) -> None:
    stock = daemon.tokens.stocks.by_customer.get(customer)
    if stock is not None:
        stock.waiting = len(daemon.tokens.waiting.get(customer, ()))


def _ask_allocator(daemon: _state.Daemon, now: float) -> None:
    """Ask the allocator, which may run in this daemon."""
    tokens = daemon.tokens
    host = _choose_allocator(daemon, now)
    tokens.asked_at, tokens.ask_soon = now, False
    stamp = _cast_vote(daemon, host, now)
    request = quotas.Ask(
        daemon.feed.own_host, quotas.list_needs(tokens.stocks, now), stamp
    )
    if host == daemon.feed.own_host:
        _apply_grants(daemon, _shares.grant_tokens(daemon, request), host, now)
        return
    tokens.asking = True
    body = _quota_wire.encode(request)
    head = httpio.request_head(
        b"POST", _quota_wire.TOKENS_PATH, [(b"Host", host.encode())], len(body)
    )
    done = functools.partial(_handle_answer, daemon, host, now)
    job = httpio.Job(head + body, done)
    asyncio.get_running_loop().call_later(
        ALLOCATOR_TIMEOUT_SECONDS, _time_out, daemon, host, job
    )
    _state.pool(daemon, host).send(job)


def _cast_vote(daemon: _state.Daemon, host: str, now: float) -> float:
    """Return the stamp to send with a question, 0 for no vote."""
    tokens, own_host = daemon.tokens, daemon.feed.own_host
    stop = daemon.stop
    if stop is not None and stop.phase is stops.Phase.ENDED:
        # It refuses connections, and counts as down.
        return 0.0
    if host == own_host:
        quotas.receive_stamp(tokens.ballot, host, now, now)
    previous = tokens.ballot.host
    only_voter = daemon.feed.hosts == {own_host}
    stamp = quotas.cast_vote(tokens.ballot, host, now, only_voter)
    if tokens.ballot.host != previous:
        quotas.drop_tokens(tokens.stocks)
    return stamp


def _choose_allocator(daemon: _state.Daemon, now: float) -> str:
    """Return the host to ask for tokens.

    This is the current allocator, unless it is avoided or no longer a known
    host. Then it is the first earlier host that is not avoided, or else this
    daemon's own host. In a domain without peers daemons return to the first
    host as soon as it is not avoided: no other domain tells them which one
    most of the others have chosen.
    """
    tokens, feed = daemon.tokens, daemon.feed
    for host in [
        each for each, end in tokens.avoided_until.items() if end <= now
    ]:
        del tokens.avoided_until[host]
    if not _shares.has_peers(daemon):
        tokens.allocator = _first_available(daemon)
        return tokens.allocator
    current = tokens.allocator
    if current in feed.hosts and current not in tokens.avoided_until:
        return current
    available = (
        host for host in feed.earlier_hosts if host not in tokens.avoided_until
    )
    tokens.allocator = next(available, feed.own_host)
    return tokens.allocator


def _first_available(daemon: _state.Daemon) -> str:
    """Return the first host of the domain that is not avoided."""
    feed = daemon.feed
    hosts = feed.earlier_hosts
    if feed.own_host not in feed.hosts:
        # Its own host has no vote, so later ones come before it, too.
        hosts = feeds.first_hosts(feed.hosts, len(feed.hosts))
    available = (
        host for host in hosts if host not in daemon.tokens.avoided_until
    )
    return next(available, feed.own_host)


def _time_out(daemon: _state.Daemon, host: str, job: httpio.Job) -> None:
    if not job.awaited:
        return
    job.abort()
    _state.pool(daemon, host).drop_idle()
    _allocator_failed(daemon, host, "timeout")


def _handle_answer(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    result: httpio.Response | httpio.Failure,
) -> None:
    if isinstance(result, httpio.Failure):
        _allocator_failed(daemon, host, result.value)
        return
    if result.status != 200:
        _allocator_failed(daemon, host, f"status {result.status}")
        return
    try:
        granted = _quota_wire.decode(result.body, quotas.Granted)
    except _wire.WireError as error:
        _allocator_failed(daemon, host, str(error))
        return
    daemon.tokens.asking = False
    _apply_grants(daemon, granted, host, asked_at)


def _allocator_failed(daemon: _state.Daemon, host: str, reason: str) -> None:
    tokens, now = daemon.tokens, daemon.clock.monotonic()
    tokens.asking = False
    tokens.avoided_until[host] = now + AVOID_SECONDS * (
        0.5 + daemon.rng.random()
    )
    tokens.ask_soon = True
    daemon.journal.request("allocator_lost", reason, peer=host)
    if tokens.waiting:
        asyncio.get_running_loop().call_soon(_ask_for_waiting, daemon)


def _apply_grants(
    daemon: _state.Daemon,
    granted: quotas.Granted,
    host: str,
    asked_at: float,
) -> None:
    """Add the granted tokens, and serve the waiting requests."""
    tokens, now = daemon.tokens, daemon.clock.monotonic()
    if granted.stamp:
        quotas.receive_stamp(tokens.ballot, host, granted.stamp, now)
    if granted.redirect and granted.redirect != host:
        if granted.redirect not in tokens.avoided_until:
            tokens.allocator = granted.redirect
        tokens.ask_soon = True
        return
    if tokens.stocks.by_customer and not granted.grants:
        # No daemon votes for this allocator. Most may ask another one.
        tokens.allocator = ""
    quotas.handle_grants(tokens.stocks, granted.grants, asked_at, now)
    for customer in list(tokens.waiting):
        _serve_waiting(daemon, customer, now)
    if tokens.waiting:
        tokens.ask_soon = True


def _serve_waiting(daemon: _state.Daemon, customer: str, now: float) -> None:
    stocks = daemon.tokens.stocks
    waiting = daemon.tokens.waiting.pop(customer)
    remaining: list[_tokens.WaitingRequest] = []
    decided: list[tuple[_tokens.WaitingRequest, outcomes.Reason]] = []
    for request in waiting:
        if quotas.take_token(stocks, customer, now):
            decided.append((request, outcomes.Reason.NONE))
        elif quotas.is_exhausted(stocks, customer, now):
            decided.append((request, outcomes.Reason.QUOTA_EXCEEDED))
        else:
            remaining.append(request)
    if remaining:
        daemon.tokens.waiting[customer] = remaining
    _update_waiting_count(daemon, customer)
    for request, reason in decided:
        request.timer.cancel()
        request.answer(reason)
