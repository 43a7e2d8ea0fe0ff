"""State of the entrance's side of a daemon, and preparation of calls."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing

from sassafrasstair import callers
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import once
from sassafrasstair import logs
from sassafrasstair import outcomes
from sassafrasstair.runtime import _slots

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles
    from sassafrasstair import clocks
    from sassafrasstair import daemons
    from sassafrasstair.decisions import fleet
    from sassafrasstair import metrics
    from sassafrasstair.runtime import _attempts

NOT_READY_RETRY_AFTER = 1.0

_LOG = logging.getLogger(__name__)
_Outcome = outcomes.Outcome
_Reason = outcomes.Reason


@dataclasses.dataclass(slots=True)
class Entry:
    """State of the entrance's side of one daemon.

    ``exchange`` sends a message to the daemon of a VM and returns its
    reply; its arguments are the VM, the message and a timeout in seconds.
    It raises ``daemons.PeerError``. ``time_limits`` holds one of each
    request of a caller that has no final answer yet; a stop sets them.
    """

    clock: clocks.Clock
    rng: random.Random
    entrance: calls.Entrance
    node: fleet.Node
    callee: _slots.Callee
    exchange: abc.Callable[
        [str, daemons.Message, float], abc.Awaitable[daemons.Message]
    ]
    bundle: abc.Callable[[], bundles.Bundle | None]
    counts: metrics.Metrics
    leaving: bool = False
    time_limits: set[asyncio.Timeout] = dataclasses.field(default_factory=set)

    @property
    def in_flight(self) -> int:
        """The number of requests of callers without a final answer."""
        return len(self.time_limits)


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedCall:
    """A checked call that the entrance can begin.

    ``parent`` is the attempt whose upstream made the call, if any.
    ``owner`` is set for once-only work: it identifies the instance that
    issued the ticket, and no other instance may run the call.
    """

    call: calls.Call
    bundle: bundles.Bundle
    parent: _attempts.Attempt | None
    owner: once.TicketTarget | None


def cut_off_calls(entry: Entry) -> None:
    """End the wait for the answers of all calls in flight."""
    now = asyncio.get_running_loop().time()
    for limit in entry.time_limits:
        if not limit.expired():
            limit.reschedule(now)


def prepare(
    entry: Entry, request: callers.Request
) -> PreparedCall | callers.Refusal:
    """Check a request and turn it into a call, without dispatching it."""
    bundle = entry.bundle()
    if bundle is None:
        return _refuse(
            _Reason.NO_BUNDLE,
            "no approved bundle is in force yet",
            NOT_READY_RETRY_AFTER,
        )
    if request.fields.parent_attempt_id:
        return _prepare_child(entry, bundle, request)
    if entry.leaving:
        return _refuse(
            _Reason.LEAVING, "this daemon stops", NOT_READY_RETRY_AFTER
        )
    return _prepare_root(entry, bundle, request)


def check_class(
    bundle: bundles.Bundle, service: str, request_class: str, length: int
) -> callers.Refusal | None:
    """Return a refusal if the bundle does not allow the request."""
    if service not in bundle.services:
        return _refuse(_Reason.UNKNOWN_SERVICE, f"no service {service!r}")
    rules = bundle.classes.get(request_class)
    if rules is None:
        return _refuse(_Reason.UNKNOWN_CLASS, f"no class {request_class!r}")
    if length > rules.max_body_bytes:
        limit = rules.max_body_bytes
        return _refuse(_Reason.BODY_TOO_LARGE, f"at most {limit} bytes")
    return None


def correct_refusal(
    fields: callers.Fields, refusal: callers.Refusal
) -> callers.Refusal:
    """Return ``refusal`` with an outcome that holds for earlier uses too.

    A repeat may reach a daemon that has no bundle yet or is stopping. It
    must not be answered with "not run", since the first use, through
    another daemon, may have run.
    """
    if refusal.outcome is not _Outcome.NOT_RUN:
        return refusal
    if not fields.ticket and refusal.reason is not _Reason.PARENT_GONE:
        return refusal
    repeat = max(fields.repeat_count, refusal.reason is _Reason.PARENT_GONE)
    outcome = once.entrance_refusal(repeat, refusal.reason).outcome
    return dataclasses.replace(refusal, outcome=outcome)


def record_refusal(
    entry: Entry, request_class: str, refusal: callers.Refusal
) -> None:
    """Count and log a final refusal that is sent to a caller."""
    entry.counts.count_refusal(request_class, refusal.outcome, refusal.reason)
    logs.event(
        _LOG,
        logging.DEBUG,
        "refused",
        request_class=request_class,
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        retry_after=refusal.retry_after,
    )


def _prepare_root(
    entry: Entry, bundle: bundles.Bundle, request: callers.Request
) -> PreparedCall | callers.Refusal:
    fields = request.fields
    has_ticket = _is_ticket_for(
        fields.ticket, request.service, fields.request_class
    )
    if has_ticket:
        # A later bundle does not end the tickets that were issued before it.
        issued_under = _slots.governing_bundle(
            entry.callee, fields.request_class, lambda rules: rules.once
        )
        bundle = issued_under or bundle
    length = max(request.body_length, len(request.first_part))
    refusal = check_class(
        bundle, request.service, fields.request_class, length
    )
    if refusal is not None:
        return refusal
    rules = bundle.classes[fields.request_class]
    if rules.service != request.service:
        return _refuse(
            _Reason.UNKNOWN_CLASS,
            f"class {fields.request_class!r} enters at {rules.service!r}",
        )
    once_only = rules.once or has_ticket
    timeout = rules.deadline_ms / 1000
    if fields.timeout > 0:
        timeout = min(timeout, fields.timeout)
    call = calls.Call(
        call_id=f"{entry.rng.getrandbits(64):016x}",
        service=request.service,
        request_class=fields.request_class,
        tenant=fields.tenant,
        caller=fields.caller,
        deadline=entry.clock.monotonic() + timeout,
        repeat=fields.repeat_count,
        retries=rules.retries,
        ticket=fields.ticket if once_only else "",
    )
    if not once_only:
        return PreparedCall(call, bundle, None, None)
    return _attach_owner(call, bundle, None)


def _is_ticket_for(ticket: str, service: str, request_class: str) -> bool:
    """Return whether this may be a ticket for the class."""
    target = once.parse_ticket(ticket) if ticket else None
    return target is not None and (
        target.service,
        target.request_class,
    ) == (service, request_class)


def _prepare_child(
    entry: Entry, bundle: bundles.Bundle, request: callers.Request
) -> PreparedCall | callers.Refusal:
    parent = entry.callee.attempts.get(request.fields.parent_attempt_id)
    if parent is None:
        # Nobody waits for the parent any more, so the result of further
        # calls of its upstream would be of use to nobody. The outcome is
        # unknown because an earlier use of a ticket of this call may have
        # run.
        return callers.Refusal(
            _Outcome.UNKNOWN,
            _Reason.PARENT_GONE,
            0.0,
            "the parent request has ended",
        )
    run = parent.message
    if request.service in parent.bundle.services:
        # The call is a part of a run that was accepted under this bundle.
        bundle = parent.bundle
    length = max(request.body_length, len(request.first_part))
    refusal = check_class(bundle, request.service, run.request_class, length)
    if refusal is not None:
        return refusal
    call = calls.Call(
        call_id=run.call_id,
        service=request.service,
        request_class=run.request_class,
        tenant=run.tenant,
        caller=run.caller,
        deadline=parent.deadline,
        retries=max(0, run.retries - parent.retries_spent),
        depth=run.depth + 1,
    )
    return PreparedCall(call, bundle, parent, None)


def with_child_ticket(
    prepared: PreparedCall, ticket: str, first_use: bool
) -> PreparedCall | callers.Refusal:
    """Return a once-only child call with its own ticket.

    ``first_use`` is false if the ticket was sent before. The call then
    counts as a repeat, so that ``calls`` reports it as not run only if the
    owner says so.
    """
    repeat = int(not first_use)
    call = dataclasses.replace(prepared.call, ticket=ticket, repeat=repeat)
    return _attach_owner(call, prepared.bundle, prepared.parent)


def _attach_owner(
    call: calls.Call,
    bundle: bundles.Bundle,
    parent: _attempts.Attempt | None,
) -> PreparedCall | callers.Refusal:
    if not call.ticket:
        return _refuse(
            _Reason.TICKET_MISSING,
            f"class {call.request_class!r} is once-only: take a ticket at "
            f"POST /v1/ticket/{call.service} and send it as "
            "Sassafras-Ticket",
        )
    target = once.parse_ticket(call.ticket)
    if target is None:
        return _refuse(_Reason.TICKET_INVALID, "this is not a ticket")
    if (target.service, target.request_class) != (
        call.service,
        call.request_class,
    ):
        return _refuse(
            _Reason.TICKET_INVALID,
            f"the ticket is for {target.service}/{target.request_class}",
        )
    return PreparedCall(call, bundle, parent, target)


def _refuse(
    reason: outcomes.Reason, detail: str, after: float = 0.0
) -> callers.Refusal:
    return callers.Refusal(_Outcome.NOT_RUN, reason, after, detail)
