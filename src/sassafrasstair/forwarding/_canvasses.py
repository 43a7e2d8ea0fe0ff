"""Asks the electors of a failure domain for their votes.

An elector votes with its questions for tokens. One that needs no tokens, and
takes its place among the electors from a daemon that is down, does not know
that it has to vote. One that asks another allocator, as after a partition,
changes to the earlier one of both.
"""

from __future__ import annotations

import asyncio
import functools
import math
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import quotas
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _tokens

INTERVAL_SECONDS = 0.8
"""Interval between questions to one host. A host counts as down only as long
as it refuses connections at least once in the time for which a vote counts."""
TIMEOUT_SECONDS = 0.3


def canvass(
    daemon: _state.Daemon, allocation: _tokens.Allocation, now: float
) -> None:
    """Ask the electors without a vote, and check which daemons are down."""
    allocator = allocation.allocator
    if allocator.shares.other_allocator:
        return
    asked_at = allocation.canvassed_at
    hosts = set(quotas.hosts_to_canvass(allocator.votes, now))
    for host in asked_at.keys() - hosts:
        del asked_at[host]
    own_host = daemon.feed.own_host
    if own_host in hosts:
        daemon.tokens.canvassed_at = now
    for host in hosts - {own_host}:
        if now - asked_at.get(host, -math.inf) >= INTERVAL_SECONDS:
            asked_at[host] = now
            done = functools.partial(_handle_check, daemon, host, now)
            _state.pool(daemon, host).check_refused(done)


def serve(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Vote with the next question for tokens, and ask it soon."""
    try:
        canvass = _quota_wire.decode(exchange.request.body, quotas.Canvass)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    tokens = daemon.tokens
    tokens.canvassed_at = daemon.clock.monotonic()
    tokens.ask_soon = True
    known = canvass.host in daemon.feed.hosts
    if known and canvass.host not in tokens.avoided_until:
        hosts = {canvass.host, tokens.allocator} - {""}
        tokens.allocator = feeds.first_hosts(hosts, 1)[0]
    exchange.respond(200, [], b"")


def _handle_check(
    daemon: _state.Daemon, host: str, connected_at: float, refused: bool
) -> None:
    if not refused:
        _send(daemon, host)
    elif daemon.allocation is not None:
        now = daemon.clock.monotonic()
        allocator = daemon.allocation.allocator
        quotas.record_refusal(allocator, host, connected_at, now)


def _send(daemon: _state.Daemon, host: str) -> None:
    body = _quota_wire.encode(quotas.Canvass(daemon.feed.own_host))
    head = httpio.request_head(
        b"POST",
        _quota_wire.CANVASS_PATH,
        [(b"Host", host.encode())],
        len(body),
    )
    job = httpio.Job(head + body, _ignore_result)
    asyncio.get_running_loop().call_later(TIMEOUT_SECONDS, _time_out, job)
    _state.pool(daemon, host).send(job)


def _ignore_result(result: httpio.Response | httpio.Failure) -> None:
    """Do nothing: the vote comes with a question of its own."""


def _time_out(job: httpio.Job) -> None:
    if job.awaited:
        job.abort()
