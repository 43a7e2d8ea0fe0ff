"""Tokens for the requests of customers with a limit.

A request takes a token that was granted ahead of need. Where there is none it
waits for a moment while the allocator of the failure domain is asked.
"""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import quotas
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
"""For so long a request waits for a token at most."""
ALLOCATOR_TIMEOUT_SECONDS = 0.25
ASK_GAP_SECONDS = 0.05
"""Between two questions when no request waits."""
ASK_PERIOD_SECONDS = 0.5
ASK_PERIOD_SECONDS_MAX = 2.0
ASKS_PER_SECOND_MAX = 110
"""Between two questions without need: they tell the demand. Longer where so
many daemons of a domain ask that one allocator would have much to do."""
PREFETCH_PERIODS = 1.4
AVOID_SECONDS = 2.0
"""For how long an allocator that gave no answer is passed over."""


def take_token(
    daemon: _state.Daemon,
    customer: policies.Customer,
    answer: _tokens.TokenCallback,
) -> None:
    """Tell, now or soon, whether a request of a customer may run.

    ``QUOTA_EXCEEDED`` says that there is no token, and ``QUOTA_UNKNOWN``
    that no allocator has told.
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
        _wait(daemon, customer.name, answer)


def return_token(daemon: _state.Daemon, customer: str) -> None:
    """Return the token of a request that has not run and never will."""
    now = daemon.clock.monotonic()
    quotas.give_back_token(daemon.tokens.stocks, customer, now)


def seconds_until_token(daemon: _state.Daemon, customer: str) -> float:
    """Return after how many seconds a token is expected."""
    now = daemon.clock.monotonic()
    return quotas.token_wait_seconds(daemon.tokens.stocks, customer, now)


def tick(daemon: _state.Daemon, now: float) -> None:
    """Ask for tokens that will be needed, and tell the demand."""
    _shares.tick(daemon, now)
    tokens = daemon.tokens
    if tokens.asking or not tokens.stocks.by_customer:
        return
    period = _period(daemon)
    tokens.stocks.prefetch_seconds = PREFETCH_PERIODS * period
    since = now - tokens.asked_at
    if since >= period or (tokens.ask_soon and since >= ASK_GAP_SECONDS):
        _ask(daemon, now)


def _period(daemon: _state.Daemon) -> float:
    least = len(daemon.feed.hosts) / ASKS_PER_SECOND_MAX
    return min(ASK_PERIOD_SECONDS_MAX, max(ASK_PERIOD_SECONDS, least))


def _wait(
    daemon: _state.Daemon, customer: str, answer: _tokens.TokenCallback
) -> None:
    loop = asyncio.get_running_loop()
    waits = daemon.tokens.waiting.setdefault(customer, [])
    timer = loop.call_later(
        TOKEN_WAIT_SECONDS, _waited, daemon, customer, answer
    )
    waits.append(_tokens.WaitingRequest(answer, timer))
    _note_waiting(daemon, customer)
    if not daemon.tokens.asking:
        # What else comes in this turn of the loop goes with the same question.
        loop.call_soon(_ask_for_waiting, daemon)


def _ask_for_waiting(daemon: _state.Daemon) -> None:
    if daemon.tokens.waiting and not daemon.tokens.asking:
        _ask(daemon, daemon.clock.monotonic())


def _waited(
    daemon: _state.Daemon, customer: str, answer: _tokens.TokenCallback
) -> None:
    """End a wait that is too long."""
    waits = daemon.tokens.waiting.get(customer, [])
    kept = [each for each in waits if each.answer is not answer]
    if len(kept) == len(waits):
        return
    if kept:
        daemon.tokens.waiting[customer] = kept
    else:
        daemon.tokens.waiting.pop(customer, None)
    _note_waiting(daemon, customer)
    answer(outcomes.Reason.QUOTA_UNKNOWN)


def _note_waiting(daemon: _state.Daemon, customer: str) -> None:
    stock = daemon.tokens.stocks.by_customer.get(customer)
    if stock is not None:
        stock.waiting = len(daemon.tokens.waiting.get(customer, ()))


def _ask(daemon: _state.Daemon, now: float) -> None:
    """Ask the allocator, which may be this daemon."""
    tokens = daemon.tokens
    host = _allocator(daemon, now)
    tokens.asked_at, tokens.ask_soon = now, False
    asked = quotas.AllocationRequest(
        daemon.feed.own_host, quotas.list_needs(tokens.stocks, now)
    )
    if host == daemon.feed.own_host:
        _take(daemon, _shares.grant_tokens(daemon, asked), host, now)
        return
    tokens.asking = True
    body = _quota_wire.encode(asked)
    head = httpio.request_head(
        b"POST", _quota_wire.TOKENS_PATH, [(b"Host", host.encode())], len(body)
    )
    done = functools.partial(_answered, daemon, host, now)
    job = httpio.Job(head + body, done)
    asyncio.get_running_loop().call_later(
        ALLOCATOR_TIMEOUT_SECONDS, _give_up, daemon, host, job
    )
    _state.pool(daemon, host).send(job)


def _allocator(daemon: _state.Daemon, now: float) -> str:
    """Return whom to ask: the one that answered, or the first to pass."""
    tokens, feed = daemon.tokens, daemon.feed
    for host in [
        each for each, end in tokens.avoided_until.items() if end <= now
    ]:
        del tokens.avoided_until[host]
    current = tokens.allocator
    if current in feed.hosts and current not in tokens.avoided_until:
        return current
    fit = (
        host for host in feed.earlier_hosts if host not in tokens.avoided_until
    )
    tokens.allocator = next(fit, feed.own_host)
    return tokens.allocator


def _give_up(daemon: _state.Daemon, host: str, job: httpio.Job) -> None:
    if not job.awaited:
        return
    job.abort()
    _state.pool(daemon, host).drop_idle()
    _failed(daemon, host, "timeout")


def _answered(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    result: httpio.Response | httpio.Failure,
) -> None:
    if isinstance(result, httpio.Failure):
        _failed(daemon, host, result.value)
        return
    if result.status != 200:
        _failed(daemon, host, f"status {result.status}")
        return
    try:
        granted = _quota_wire.decode(result.body, quotas.GrantResponse)
    except _wire.WireError as error:
        _failed(daemon, host, str(error))
        return
    daemon.tokens.asking = False
    _take(daemon, granted, host, asked_at)


def _failed(daemon: _state.Daemon, host: str, reason: str) -> None:
    tokens, now = daemon.tokens, daemon.clock.monotonic()
    tokens.asking = False
    tokens.avoided_until[host] = now + AVOID_SECONDS * (
        0.5 + daemon.rng.random()
    )
    tokens.ask_soon = True
    daemon.journal.request("allocator_lost", reason, peer=host)
    if tokens.waiting:
        asyncio.get_running_loop().call_soon(_ask_for_waiting, daemon)


def _take(
    daemon: _state.Daemon,
    granted: quotas.GrantResponse,
    host: str,
    asked_at: float,
) -> None:
    """Take what was granted, and serve who waits."""
    tokens, now = daemon.tokens, daemon.clock.monotonic()
    if granted.redirect and granted.redirect != host:
        if granted.redirect not in tokens.avoided_until:
            tokens.allocator = granted.redirect
        tokens.ask_soon = True
        return
    quotas.handle_grants(tokens.stocks, granted.grants, asked_at, now)
    for customer in list(tokens.waiting):
        _serve_waiting(daemon, customer, now)
    if tokens.waiting:
        tokens.ask_soon = True


def _serve_waiting(daemon: _state.Daemon, customer: str, now: float) -> None:
    stocks = daemon.tokens.stocks
    waits = daemon.tokens.waiting.pop(customer)
    kept: list[_tokens.WaitingRequest] = []
    ends: list[tuple[_tokens.WaitingRequest, outcomes.Reason]] = []
    for each in waits:
        if quotas.take_token(stocks, customer, now):
            ends.append((each, outcomes.Reason.NONE))
        elif quotas.is_exhausted(stocks, customer, now):
            ends.append((each, outcomes.Reason.QUOTA_EXCEEDED))
        else:
            kept.append(each)
    if kept:
        daemon.tokens.waiting[customer] = kept
    _note_waiting(daemon, customer)
    for each, reason in ends:
        each.timer.cancel()
        each.answer(reason)
