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
    slot: _slots.Slot, ask: daemons.TicketRequest
) -> daemons.TicketResponse:
    """Issue a ticket of this incarnation, or refuse.

    Load is shed here, before the caller depends on a ticket, because a
    request that carries a ticket is not shed at an entrance.
    """
    floor = _slots.shed_floor(slot, ask.request_class, ask.tenant)
    answer = _decide(slot, ask, floor)
    if isinstance(answer, once.Issued):
        return _given(slot, answer, floor)
    return daemons.TicketResponse(
        ticket="",
        expires_in_ms=0,
        outcome=answer.outcome.value,
        reason=answer.reason.value,
        retry_after_ms=_retry_after_ms(slot.bundle(), ask),
        incarnation=slot.incarnation,
        busy=load.busy(slot.guard),
        floor=floor,
    )


def _given(
    slot: _slots.Slot, issued: once.Issued, floor: float
) -> daemons.TicketResponse:
    return daemons.TicketResponse(
        ticket=issued.ticket,
        expires_in_ms=int(issued.expires_in * 1000),
        outcome=outcomes.Outcome.DONE.value,
        reason=outcomes.Reason.NONE.value,
        incarnation=slot.incarnation,
        busy=load.busy(slot.guard),
        floor=floor,
    )


def _decide(
    slot: _slots.Slot, ask: daemons.TicketRequest, floor: float
) -> once.Issued | once.Refused:
    bundle = slot.bundle()
    if bundle is None:
        return _refused(outcomes.Reason.NO_BUNDLE)
    rules = bundle.classes.get(ask.request_class)
    if rules is None or not rules.once:
        return _refused(outcomes.Reason.UNKNOWN_CLASS)
    if ask.service != slot.service:
        return _refused(outcomes.Reason.UNKNOWN_SERVICE)
    if slot.guard.leaving:
        return _refused(outcomes.Reason.LEAVING)
    now = slot.clock.monotonic()
    if load.rank(rules.importance, ask.caller, bundle.version) < floor:
        return _refused(outcomes.Reason.SHED_AT_CALLEE)
    lifetime = bundle.ticket_lifetime_ms / 1000
    return once.issue_ticket(
        slot.owner, ask.service, ask.request_class, lifetime, now
    )


def _refused(reason: outcomes.Reason) -> once.Refused:
    return once.Refused(outcomes.Outcome.NOT_RUN, reason)


def _retry_after_ms(
    bundle: bundles.Bundle | None, ask: daemons.TicketRequest
) -> int:
    rules = bundle.classes.get(ask.request_class) if bundle else None
    if rules is None:
        return _NO_RULES_RETRY_AFTER_MS
    return rules.refusal.retry_after_min_ms
