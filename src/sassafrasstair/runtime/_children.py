"""Tickets that an entrance takes for callers and for child calls."""

from __future__ import annotations

import typing

from sassafrasstair import callers
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _entries

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles

TICKET_TRIES = 3
TICKET_TIMEOUT = 1.0


async def take_ticket(
    entry: _entries.Entry, service: str, fields: callers.Fields
) -> callers.TicketReply | callers.Refusal:
    """Take a ticket for a caller that requests once-only work."""
    reply = await _take_for_caller(entry, service, fields)
    if isinstance(reply, callers.Refusal):
        _entries.record_refusal(entry, fields.request_class, reply)
    return reply


async def _take_for_caller(
    entry: _entries.Entry, service: str, fields: callers.Fields
) -> callers.TicketReply | callers.Refusal:
    bundle = entry.bundle()
    if bundle is None or entry.leaving:
        reason = outcomes.Reason.LEAVING
        if bundle is None:
            reason = outcomes.Reason.NO_BUNDLE
        return _refusal(reason, _entries.NOT_READY_RETRY_AFTER)
    refusal = _entries.check_class(bundle, service, fields.request_class, 0)
    if refusal is not None:
        return refusal
    if not bundle.classes[fields.request_class].once:
        return callers.Refusal(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.MALFORMED,
            0.0,
            f"class {fields.request_class!r} needs no ticket",
        )
    ticket_request = daemons.TicketRequest(
        service, fields.request_class, fields.caller, fields.tenant
    )
    return await _request_ticket(entry, bundle, ticket_request)


async def attach_child_ticket(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    request: callers.Request,
) -> _entries.PreparedCall | callers.Refusal:
    """Return a once-only child call with its ticket attached.

    This daemon owns the parent's ticket and stores the child's ticket with
    it, so that a repeat of the call by the upstream carries the same one.
    """
    assert prepared.parent is not None
    parent_ticket = prepared.parent.message.ticket
    service = prepared.call.service
    key = request.fields.child_key
    owner = entry.callee.owner
    child = once.find_child(owner, parent_ticket, service, key)
    first_use = child is None
    if child is None:
        ticket_request = daemons.TicketRequest(
            service,
            prepared.call.request_class,
            prepared.call.caller,
            prepared.call.tenant,
        )
        reply = await _request_ticket(entry, prepared.bundle, ticket_request)
        if isinstance(reply, callers.Refusal):
            return reply
        child = once.adopt_child(
            owner, parent_ticket, service, key, reply.ticket
        )
        first_use = child == reply.ticket
    if isinstance(child, once.Refused):
        return callers.Refusal(child.outcome, child.reason)
    return _entries.with_child_ticket(prepared, child, first_use)


async def _request_ticket(
    entry: _entries.Entry,
    bundle: bundles.Bundle,
    request: daemons.TicketRequest,
) -> callers.TicketReply | callers.Refusal:
    """Request a ticket from up to ``TICKET_TRIES`` instances.

    Another instance may safely be tried, since a request for a ticket does
    not run any work.
    """
    tried: list[str] = []
    refusal = _refusal(outcomes.Reason.NO_INSTANCE, 1.0)
    for _ in range(TICKET_TRIES):
        now = entry.clock.monotonic()
        targets = fleet.targets(entry.node, request.service, now)
        target = calls.choose_target(
            entry.entrance, targets, tried, now, entry.rng
        )
        if target is None:
            return refusal
        tried.append(target.vm)
        try:
            response = await entry.exchange(target.vm, request, TICKET_TIMEOUT)
        except daemons.PeerError:
            refusal = _refusal(outcomes.Reason.PEER_UNREACHABLE, 1.0)
            fleet.observe_call(entry.node, target.vm, False, "", now)
            continue
        if not isinstance(response, daemons.TicketResponse):
            continue
        if response.ticket:
            expires_in = response.expires_in_ms / 1000
            return callers.TicketReply(response.ticket, expires_in)
        refusal = _refusal_of_callee(entry, bundle, request, response)
        if refusal.reason is not outcomes.Reason.LEAVING:
            return refusal
    return refusal


def _refusal_of_callee(
    entry: _entries.Entry,
    bundle: bundles.Bundle,
    request: daemons.TicketRequest,
    response: daemons.TicketResponse,
) -> callers.Refusal:
    rules = bundle.classes[request.request_class].refusal
    shortest = max(rules.retry_after_min_ms, response.retry_after_ms) / 1000
    longest = max(shortest, rules.retry_after_max_ms / 1000)
    retry_after = entry.rng.uniform(shortest, longest)
    return _refusal(outcomes.Reason(response.reason), retry_after)


def _refusal(reason: outcomes.Reason, retry_after: float) -> callers.Refusal:
    return callers.Refusal(
        outcomes.Outcome.NOT_RUN, reason, retry_after, "no ticket was issued"
    )
