"""Issuing of tickets for once-only work at this VM's upstream."""

from __future__ import annotations

import typing

from sassafrasstair import daemons
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _slots

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles

_NO_RULES_RETRY_AFTER_MS = 1_000


def issue(
    callee: _slots.Callee, request: daemons.TicketRequest
) -> daemons.TicketResponse:
    """Issue a ticket of this incarnation, or refuse.

    Load is shed here, before the caller depends on a ticket, because a
    request that carries a ticket is not shed at an entrance.
    """
    floor = _slots.shed_floor(callee, request.request_class, request.tenant)
    answer = _decide(callee, request, floor)
    if isinstance(answer, once.Issued):
        return _response(callee, answer, floor)
    return daemons.TicketResponse(
        ticket="",
        expires_in_ms=0,
        outcome=answer.outcome.value,
        reason=answer.reason.value,
        retry_after_ms=_retry_after_ms(callee.bundle(), request),
        incarnation=callee.incarnation,
        busy=load.busy(callee.guard),
        floor=floor,
    )


def _response(
    callee: _slots.Callee, issued: once.Issued, floor: float
) -> daemons.TicketResponse:
    return daemons.TicketResponse(
        ticket=issued.ticket,
        expires_in_ms=int(issued.expires_in * 1000),
        outcome=outcomes.Outcome.DONE.value,
        reason=outcomes.Reason.NONE.value,
        incarnation=callee.incarnation,
        busy=load.busy(callee.guard),
        floor=floor,
    )


def _decide(
    callee: _slots.Callee, request: daemons.TicketRequest, floor: float
) -> once.Issued | once.Refused:
    bundle = _slots.governing_bundle(
        callee, request.request_class, lambda rules: rules.once
    )
    if bundle is None:
        return _refused(outcomes.Reason.NO_BUNDLE)
    rules = bundle.classes.get(request.request_class)
    if rules is None or not rules.once:
        # The entrance knows it by a bundle that has not come here.
        return _refused(outcomes.Reason.NO_BUNDLE)
    if request.service != callee.service:
        return _refused(outcomes.Reason.UNKNOWN_SERVICE)
    if callee.guard.leaving:
        return _refused(outcomes.Reason.LEAVING)
    now = callee.clock.monotonic()
    if load.rank(rules.importance, request.caller, bundle.version) < floor:
        return _refused(outcomes.Reason.SHED_AT_CALLEE)
    lifetime = bundle.ticket_lifetime_ms / 1000
    return once.issue_ticket(
        callee.owner, request.service, request.request_class, lifetime, now
    )


def _refused(reason: outcomes.Reason) -> once.Refused:
    return once.Refused(outcomes.Outcome.NOT_RUN, reason)


def _retry_after_ms(
    bundle: bundles.Bundle | None, request: daemons.TicketRequest
) -> int:
    rules = bundle.classes.get(request.request_class) if bundle else None
    if rules is None:
        return _NO_RULES_RETRY_AFTER_MS
    return rules.refusal.retry_after_min_ms
