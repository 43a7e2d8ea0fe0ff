"""The allocator of a failure domain, and what it tells those of others.

It runs in the daemon that the others of its domain ask, the first one of the
domain's order as long as that answers.
"""

from __future__ import annotations

import asyncio
import functools
import math
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _tokens
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from collections import abc

TICK_SECONDS = 0.2
UPDATE_SECONDS = 0.4
"""Between two updates of another domain without news: they show that this
allocator is there."""
ANSWER_SECONDS = 0.3
SETTLE_SECONDS = 4.0
"""After its start a daemon may not know yet who comes before it."""
IDLE_SECONDS = 3.0
"""Without a question for so long an allocator ends if its domain has another
one."""


def tick(daemon: _state.Daemon, now: float) -> None:
    """Do the periodic work of the allocator, if it runs here."""
    allocation = daemon.allocation
    if allocation is None:
        settled = now - daemon.feed.started_at >= SETTLE_SECONDS
        if settled and _is_first(daemon) and _has_limits(daemon):
            activate(daemon, now)
        return
    if now - allocation.ticked_at < TICK_SECONDS:
        return
    allocation.ticked_at = now
    _use_policy(daemon, allocation, now)
    allocator = allocation.allocator
    idle = now - allocation.asked_at >= IDLE_SECONDS
    if idle and allocator.shares.other_allocator and not _is_first(daemon):
        daemon.allocation = None
        return
    quotas.tick(allocator, now)
    quotas.tick_shares(allocator.shares, _present(daemon), now)
    _adopt(daemon, allocator, now)
    _update_all(daemon, allocation, now)


def activate(daemon: _state.Daemon, now: float) -> _tokens.Allocation:
    """Return the allocator of this daemon; it starts if it did not run."""
    if daemon.allocation is not None:
        return daemon.allocation
    domain = daemon.settings.failure_domain
    domains = {*daemon.settings.regions, domain}
    mark = daemon.process_mark.decode("latin-1")
    shares = quotas.new_shares(
        domain, daemon.feed.own_host, mark, domains, now
    )
    allocation = _tokens.Allocation(quotas.new_allocator(shares))
    daemon.allocation = allocation
    daemon.journal.note("allocator_started", domain=domain)
    _use_policy(daemon, allocation, now)
    _adopt(daemon, allocation.allocator, now)
    _update_all(daemon, allocation, now)
    return allocation


def grant_tokens(
    daemon: _state.Daemon, asked: quotas.AllocationRequest
) -> quotas.GrantResponse:
    """Return tokens for a daemon of the own domain."""
    now = daemon.clock.monotonic()
    allocation = activate(daemon, now)
    allocation.asked_at = now
    _use_policy(daemon, allocation, now)
    allocator = allocation.allocator
    if allocator.shares.other_allocator:
        return quotas.GrantResponse(allocator.shares.other_allocator, ())
    return quotas.GrantResponse(
        "", quotas.answer_request(allocator, asked, now)
    )


def serve(
    daemon: _state.Daemon, exchange: httpio.Exchange, path: bytes
) -> None:
    """Answer a message of another daemon."""
    body = exchange.request.body
    answer: quotas.GrantResponse | quotas.Acknowledgement
    try:
        if path == _quota_wire.TOKENS_PATH:
            asked = _quota_wire.decode(body, quotas.AllocationRequest)
            answer = grant_tokens(daemon, asked)
        else:
            update = _quota_wire.decode(body, quotas.Update)
            answer = _receive(daemon, update)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    exchange.respond(200, [], _quota_wire.encode(answer))


def _receive(
    daemon: _state.Daemon, update: quotas.Update
) -> quotas.Acknowledgement:
    now = daemon.clock.monotonic()
    allocation = activate(daemon, now)
    allocator = allocation.allocator
    shares = allocator.shares
    if shares.other_allocator:
        redirect = shares.other_allocator
        return quotas.Acknowledgement(shares.mark, redirect, "", True, {})
    quotas.fill_buckets(allocator, now)
    answer = quotas.receive_update(shares, update, now)
    if not answer.occupied:
        allocation.peer_allocators[update.domain] = update.host
    return answer


def _is_first(daemon: _state.Daemon) -> bool:
    feed = daemon.feed
    return feed.own_listed and not feed.earlier_hosts


def _has_limits(daemon: _state.Daemon) -> bool:
    table = daemon.view.table
    customers = () if table is None else table.policy.customers or ()
    return any(customer.rate > 0.0 for customer in customers)


def _use_policy(
    daemon: _state.Daemon, allocation: _tokens.Allocation, now: float
) -> None:
    version = views.active_version(daemon.view)
    if version == allocation.policy_version or daemon.view.table is None:
        return
    allocation.policy_version = version
    rules = daemon.settings.bounds.quota
    customers = daemon.view.table.policy.customers or ()
    limits = {
        customer.name: quotas.limit_with_tolerance(customer, rules)
        for customer in customers
    }
    quotas.set_limits(allocation.allocator, limits, now)


def _present(daemon: _state.Daemon) -> set[str]:
    return set(views.hosts_by_domain(daemon.view))


def _adopt(
    daemon: _state.Daemon, allocator: quotas.Allocator, now: float
) -> None:
    quotas.fill_buckets(allocator, now)
    if quotas.adopt_share(allocator.shares, now):
        daemon.journal.note(
            "shares_adopted",
            domain=allocator.shares.domain,
            waited=now - allocator.shares.adopting_since,
        )


def _update_all(
    daemon: _state.Daemon, allocation: _tokens.Allocation, now: float
) -> None:
    shares = allocation.allocator.shares
    for domain in shares.peer_domains:
        since = now - allocation.updated_at.get(domain, -math.inf)
        due = since >= UPDATE_SECONDS or quotas.has_changes(shares, domain)
        if due and domain not in allocation.updates_in_flight:
            _update(daemon, allocation, domain, now)


def _update(
    daemon: _state.Daemon,
    allocation: _tokens.Allocation,
    domain: str,
    now: float,
) -> None:
    host = _contact(daemon, allocation, domain)
    if not host:
        return
    allocation.updates_in_flight.add(domain)
    allocation.updated_at[domain] = now
    update = quotas.update_for(allocation.allocator.shares, domain)
    body = _quota_wire.encode(update)
    head = httpio.request_head(
        b"POST",
        _quota_wire.SHARES_PATH,
        [(b"Host", host.encode())],
        len(body),
    )
    done = functools.partial(_answered, daemon, allocation, domain, update)
    job = httpio.Job(head + body, done)
    asyncio.get_running_loop().call_later(
        ANSWER_SECONDS, _give_up, daemon, host, job, done
    )
    _state.pool(daemon, host).send(job)


def _contact(
    daemon: _state.Daemon, allocation: _tokens.Allocation, domain: str
) -> str:
    """Return the host that allocates for a domain, or the next to try."""
    known = allocation.peer_allocators.get(domain)
    if known is not None:
        return known
    hosts = views.hosts_by_domain(daemon.view).get(domain, frozenset())
    first = feeds.reader_hosts(hosts)
    if not first:
        return ""
    return first[allocation.failed_contacts.get(domain, 0) % len(first)]


def _give_up(
    daemon: _state.Daemon,
    host: str,
    job: httpio.Job,
    done: abc.Callable[[httpio.Failure], None],
) -> None:
    if job.awaited:
        job.abort()
        _state.pool(daemon, host).drop_idle()
        done(httpio.Failure.LOST)


def _answered(
    daemon: _state.Daemon,
    allocation: _tokens.Allocation,
    domain: str,
    update: quotas.Update,
    result: httpio.Response | httpio.Failure,
) -> None:
    allocation.updates_in_flight.discard(domain)
    answer = _decoded(daemon, result)
    if answer is None:
        allocation.peer_allocators.pop(domain, None)
        allocation.failed_contacts[domain] = (
            allocation.failed_contacts.get(domain, 0) + 1
        )
        return
    if answer.redirect:
        allocation.peer_allocators[domain] = answer.redirect
        return
    now = daemon.clock.monotonic()
    allocator = allocation.allocator
    quotas.fill_buckets(allocator, now)
    held = not allocator.shares.adopting
    quotas.accept_acknowledgement(
        allocator.shares, domain, update, answer, now
    )
    if held and allocator.shares.adopting:
        daemon.journal.note("shares_lost", to=allocator.shares.other_allocator)
    _adopt(daemon, allocator, now)


def _decoded(
    daemon: _state.Daemon, result: httpio.Response | httpio.Failure
) -> quotas.Acknowledgement | None:
    if isinstance(result, httpio.Failure) or result.status != 200:
        return None
    try:
        return _quota_wire.decode(result.body, quotas.Acknowledgement)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        return None
