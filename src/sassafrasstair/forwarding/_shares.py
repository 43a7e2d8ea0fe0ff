"""Runs the allocator of a failure domain and its exchange with others.

It runs in the daemon that the others of its failure domain ask for tokens:
the first one in the order of the domain, as long as that one answers.
"""

from __future__ import annotations

import asyncio
import functools
import math
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _canvasses
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _tokens
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from collections import abc

TICK_INTERVAL_SECONDS = 0.2
UPDATE_INTERVAL_SECONDS = 0.4
"""Interval between updates to another failure domain when nothing changes, to
show that this allocator is running."""
ANSWER_TIMEOUT_SECONDS = 0.3
START_DELAY_SECONDS = 4.0
"""For how long a starting daemon runs no allocator by itself, as it may not
know yet which daemons precede it."""
IDLE_TIMEOUT_SECONDS = 3.0
"""After how long without a request an allocator stops, if its failure domain
has another one."""


def tick(daemon: _state.Daemon, now: float) -> None:
    """Do the periodic work of the allocator, or start it if it is due."""
    allocation = daemon.allocation
    if allocation is None:
        settled = now - daemon.feed.started_at >= START_DELAY_SECONDS
        if settled and _is_first(daemon) and has_limits(daemon):
            activate(daemon, now)
        return
    if now - allocation.ticked_at < TICK_INTERVAL_SECONDS:
        return
    allocation.ticked_at = now
    _apply_policy(daemon, allocation, now)
    allocator = allocation.allocator
    idle = _is_idle(allocation, now)
    replaced = allocator.shares.other_allocator or not has_peers(daemon)
    unused = replaced or not quotas.may_exchange(allocator, now)
    if idle and unused and not _is_first(daemon):
        daemon.allocation = None
        return
    _set_voters(daemon, allocation, now)
    quotas.check_votes(allocator, now)
    if not idle and has_limits(daemon):
        _canvasses.canvass(daemon, allocation, now)
    quotas.tick(allocator, now)
    quotas.tick_shares(allocator.shares, _known_domains(daemon), now)
    _adopt_share(daemon, allocator, now)
    _send_due_updates(daemon, allocation, now)


def _is_idle(allocation: _tokens.Allocation, now: float) -> bool:
    return now - allocation.asked_at >= IDLE_TIMEOUT_SECONDS


def activate(daemon: _state.Daemon, now: float) -> _tokens.Allocation:
    """Return the allocator of this daemon, starting it if necessary."""
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
    _apply_policy(daemon, allocation, now)
    _adopt_share(daemon, allocation.allocator, now)
    _send_due_updates(daemon, allocation, now)
    return allocation


def grant_tokens(daemon: _state.Daemon, request: quotas.Ask) -> quotas.Granted:
    """Return tokens for a daemon of this failure domain."""
    now = daemon.clock.monotonic()
    allocation = activate(daemon, now)
    allocation.asked_at = now
    _apply_policy(daemon, allocation, now)
    allocator = allocation.allocator
    redirect = _redirect_host(daemon, allocator, now)
    if redirect:
        return quotas.Granted(redirect, ())
    _set_voters(daemon, allocation, now)
    grants = quotas.answer_request(allocator, request, now)
    return quotas.Granted("", grants, now)


def _set_voters(
    daemon: _state.Daemon, allocation: _tokens.Allocation, now: float
) -> None:
    hosts = daemon.feed.hosts
    if hosts != allocation.hosts:
        allocation.hosts = hosts
        voters = feeds.first_hosts(hosts, len(hosts))
        quotas.set_voters(allocation.allocator, voters, now)


def has_peers(daemon: _state.Daemon) -> bool:
    """Return whether there are other failure domains."""
    settings = daemon.settings
    return bool(settings.regions.keys() - {settings.failure_domain})


def serve(
    daemon: _state.Daemon, exchange: httpio.Exchange, path: bytes
) -> None:
    """Answer a request for tokens, or an update of another allocator."""
    body = exchange.request.body
    answer: quotas.Granted | quotas.Acknowledged
    try:
        if path == _quota_wire.TOKENS_PATH:
            request = _quota_wire.decode(body, quotas.Ask)
            answer = grant_tokens(daemon, request)
        else:
            update = _quota_wire.decode(body, quotas.Update)
            answer = _receive_update(daemon, update)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    exchange.respond(200, [], _quota_wire.encode(answer))


def _receive_update(
    daemon: _state.Daemon, update: quotas.Update
) -> quotas.Acknowledged:
    now = daemon.clock.monotonic()
    allocation = activate(daemon, now)
    allocator = allocation.allocator
    shares = allocator.shares
    redirect = _redirect_host(daemon, allocator, now)
    if redirect:
        return quotas.Acknowledged(shares.mark, redirect, "", True, {})
    quotas.fill_buckets(allocator, now)
    answer = quotas.receive_update(shares, update, now)
    if not answer.occupied:
        allocation.peer_allocators[update.domain] = update.host
    return answer


def _redirect_host(
    daemon: _state.Daemon, allocator: quotas.Allocator, now: float
) -> str:
    """Return the host that allocates for the domain, or '' for this one.

    Without votes it is the one that this daemon itself asks. Otherwise two
    groups of allocators could each exchange updates and not notice the other.
    """
    if allocator.shares.other_allocator:
        return allocator.shares.other_allocator
    tokens = daemon.tokens
    asks_itself = tokens.allocator == daemon.feed.own_host
    outdated = now - tokens.asked_at >= IDLE_TIMEOUT_SECONDS
    voted = quotas.has_votes(allocator, now)
    if asks_itself or outdated or voted or not has_peers(daemon):
        return ""
    return tokens.allocator


def _is_first(daemon: _state.Daemon) -> bool:
    feed = daemon.feed
    return feed.own_listed and not feed.earlier_hosts


def has_limits(daemon: _state.Daemon) -> bool:
    """Return whether any customer has a limit."""
    table = daemon.view.table
    customers = () if table is None else table.policy.customers or ()
    return any(customer.rate > 0.0 for customer in customers)


def _apply_policy(
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


def _known_domains(daemon: _state.Daemon) -> set[str]:
    return set(views.hosts_by_domain(daemon.view))


def _adopt_share(
    daemon: _state.Daemon, allocator: quotas.Allocator, now: float
) -> None:
    quotas.check_votes(allocator, now)
    quotas.fill_buckets(allocator, now)
    if quotas.adopt_share(allocator.shares, now):
        daemon.journal.note(
            "shares_adopted",
            domain=allocator.shares.domain,
            waited=now - allocator.shares.adopting_since,
        )


def _send_due_updates(
    daemon: _state.Daemon, allocation: _tokens.Allocation, now: float
) -> None:
    allocator = allocation.allocator
    shares = allocator.shares
    unused = _is_idle(allocation, now) and not quotas.has_votes(allocator, now)
    if unused or not quotas.may_exchange(allocator, now):
        return
    for domain in shares.peer_domains:
        elapsed = now - allocation.updated_at.get(domain, -math.inf)
        due = elapsed >= UPDATE_INTERVAL_SECONDS or quotas.has_changes(
            shares, domain
        )
        if due and domain not in allocation.updates_in_flight:
            _send_update(daemon, allocation, domain, now)


def _send_update(
    daemon: _state.Daemon,
    allocation: _tokens.Allocation,
    domain: str,
    now: float,
) -> None:
    host = _allocator_host(daemon, allocation, domain)
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
    on_done = functools.partial(
        _handle_update_result, daemon, allocation, domain, update
    )
    job = httpio.Job(head + body, on_done)
    asyncio.get_running_loop().call_later(
        ANSWER_TIMEOUT_SECONDS, _handle_timeout, daemon, host, job, on_done
    )
    _state.pool(daemon, host).send(job)


def _allocator_host(
    daemon: _state.Daemon, allocation: _tokens.Allocation, domain: str
) -> str:
    """Return the host that allocates for a domain, or the next to try."""
    known_host = allocation.peer_allocators.get(domain)
    if known_host is not None:
        return known_host
    hosts = views.hosts_by_domain(daemon.view).get(domain, frozenset())
    candidates = feeds.reader_hosts(hosts)
    if not candidates:
        return ""
    return candidates[
        allocation.failed_contacts.get(domain, 0) % len(candidates)
    ]


def _handle_timeout(
    daemon: _state.Daemon,
    host: str,
    job: httpio.Job,
    on_done: abc.Callable[[httpio.Failure], None],
) -> None:
    if job.awaited:
        job.abort()
        _state.pool(daemon, host).drop_idle()
        on_done(httpio.Failure.LOST)


def _handle_update_result(
    daemon: _state.Daemon,
    allocation: _tokens.Allocation,
    domain: str,
    update: quotas.Update,
    result: httpio.Response | httpio.Failure,
) -> None:
    allocation.updates_in_flight.discard(domain)
    answer = _decode_acknowledgement(daemon, result)
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
    had_share = not allocator.shares.adopting
    quotas.accept_acknowledgement(
        allocator.shares, domain, update, answer, now
    )
    if had_share and allocator.shares.adopting:
        daemon.journal.note("shares_lost", to=allocator.shares.other_allocator)
    _adopt_share(daemon, allocator, now)


def _decode_acknowledgement(
    daemon: _state.Daemon, result: httpio.Response | httpio.Failure
) -> quotas.Acknowledged | None:
    if isinstance(result, httpio.Failure) or result.status != 200:
        return None
    try:
        return _quota_wire.decode(result.body, quotas.Acknowledged)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        return None
