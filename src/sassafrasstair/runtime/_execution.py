"""Attempts at this VM's upstream, from admission to the answer."""

from __future__ import annotations

import asyncio
import logging
import typing

from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair.decisions import stops
from sassafrasstair import outcomes
from sassafrasstair.runtime import _answers
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _bodies
from sassafrasstair.runtime import _departures
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles
    from sassafrasstair import notices

MAX_LARGE_BODIES = 48
DEFAULT_TENANT_SHARE = 1.0

_LOG = logging.getLogger(__name__)
_Outcome = outcomes.Outcome
_Reason = outcomes.Reason


async def run(
    callee: _slots.Callee, message: daemons.Run
) -> daemons.RunAnswer:
    """Run one attempt or refuse it.

    Raises nothing but ``CancelledError``.
    """
    now = callee.clock.monotonic()
    calls.note_beat(callee.pauses, now)
    existing = callee.attempts.get(message.attempt_id)
    if existing is not None and existing.task is not None:
        # The link may deliver a request twice. If the second copy were
        # refused as not run, this refusal could arrive before the answer
        # to the first copy and be taken as final.
        callee.duplicate_requests += 1
        return await asyncio.shield(existing.task)
    bundle = _slots.governing_bundle(
        callee,
        message.request_class,
        lambda rules: bool(message.ticket) or not rules.once,
    )
    reason = _Reason.NO_BUNDLE
    if bundle is not None:
        reason = _reason_to_refuse(callee, message, bundle)
    if message.ticket:
        return await _run_ticket(callee, message, bundle, reason, now)
    if bundle is None or reason is not _Reason.NONE:
        return _answers.refusal(callee, message, _Outcome.NOT_RUN, reason)
    return await _run(callee, message, bundle, now)


def _reason_to_refuse(
    callee: _slots.Callee, message: daemons.Run, bundle: bundles.Bundle
) -> outcomes.Reason:
    if message.service != callee.service:
        return _Reason.UNKNOWN_SERVICE
    rules = bundle.classes.get(message.request_class)
    if rules is None:
        # The entrance knows the class by a bundle that has not come here.
        return _Reason.NO_BUNDLE
    if rules.once and not message.ticket:
        return _Reason.TICKET_MISSING
    if message.attempt_id in callee.cancelled_early:
        del callee.cancelled_early[message.attempt_id]
        return _Reason.CANCELLED
    if not _may_run(callee, message):
        return _Reason.LEAVING
    if message.has_more_parts and callee.large_bodies >= MAX_LARGE_BODIES:
        return _Reason.BODY_MEMORY
    return _Reason.NONE


def _may_run(callee: _slots.Callee, message: daemons.Run) -> bool:
    """Return whether the daemon, if it stops, still takes the attempt."""
    if callee.stop is None:
        return True
    now = callee.clock.monotonic()
    remaining = message.remaining_ms / 1000
    longest = _longest_run(callee, message, now)
    longest = load.wait_seconds(callee.guard) + (longest or remaining)
    run = stops.Run(now + remaining, longest, may_be_cut=True)
    return stops.may_run(callee.stop, run, now)


def _may_start(
    callee: _slots.Callee, attempt: _attempts.Attempt, now: float
) -> bool:
    """Return whether an attempt can be expected to end before the stop."""
    if callee.stop is None:
        return True
    longest = _longest_run(callee, attempt.message, now)
    return stops.may_start(callee.stop, attempt.deadline, longest, now)


def _longest_run(
    callee: _slots.Callee, message: daemons.Run, now: float
) -> float:
    """Return how long an attempt runs by earlier ones, 0 if none is known."""
    name = message.request_class
    return max(
        load.route_seconds(callee.guard, name),
        load.longest_seconds(callee.guard, name, now),
    )


async def _run_ticket(
    callee: _slots.Callee,
    message: daemons.Run,
    bundle: bundles.Bundle | None,
    refusal_reason: outcomes.Reason,
    now: float,
) -> daemons.RunAnswer:
    arrival = _process_arrival(callee, message, refusal_reason, now)
    if isinstance(arrival, once.Run):
        assert bundle is not None
        callee.ticket_end_events[message.ticket] = asyncio.Event()
        return await _run(callee, message, bundle, now)
    if isinstance(arrival, once.Join):
        await _wait_for_end(callee, message)
        now = callee.clock.monotonic()
        arrival = _process_arrival(callee, message, refusal_reason, now)
    if isinstance(arrival, once.Replay):
        return _answers.stored_answer(callee, message, arrival.result)
    if isinstance(arrival, once.Refused):
        return _answers.refusal(
            callee, message, arrival.outcome, arrival.reason
        )
    reason = _Reason.DEADLINE_PASSED
    return _answers.refusal(callee, message, _Outcome.UNKNOWN, reason)


def _process_arrival(
    callee: _slots.Callee,
    message: daemons.Run,
    refusal_reason: outcomes.Reason,
    now: float,
) -> once.Arrival:
    ticket, request_class = message.ticket, message.request_class
    if refusal_reason is _Reason.NONE:
        return once.accept_arrival(callee.owner, ticket, request_class, now)
    return once.refuse_arrival(
        callee.owner, ticket, request_class, refusal_reason, now
    )


async def _wait_for_end(callee: _slots.Callee, message: daemons.Run) -> None:
    ticket = message.ticket
    event = callee.ticket_end_events.get(ticket)
    if event is None:
        return
    callee.ticket_joiners[ticket] = callee.ticket_joiners.get(ticket, 0) + 1
    try:
        async with asyncio.timeout(message.remaining_ms / 1000):
            await event.wait()
    except TimeoutError:
        return
    finally:
        callee.ticket_joiners[ticket] -= 1
        if not callee.ticket_joiners[ticket]:
            del callee.ticket_joiners[ticket]


async def _run(
    callee: _slots.Callee,
    message: daemons.Run,
    bundle: bundles.Bundle,
    now: float,
) -> daemons.RunAnswer:
    max_age = calls.max_message_age(callee.pauses, now)
    deadline = now + message.remaining_ms / 1000 - max_age
    attempt = _attempts.new_attempt(message, deadline, bundle)
    _slots.add_attempt(callee, attempt)
    callee.large_bodies += message.has_more_parts
    # The attempt runs in a task of its own, so that the guard can abort it
    # and a caller that disconnects does not end it while others have joined
    # the same ticket.
    attempt.task = asyncio.ensure_future(_execute(callee, attempt))
    return await asyncio.shield(attempt.task)


async def _execute(
    callee: _slots.Callee, attempt: _attempts.Attempt
) -> daemons.RunAnswer:
    result: once.Result
    try:
        admission = await _admit(callee, attempt)
        if isinstance(admission, load.TurnAway):
            result = once.NotRun(admission.reason)
            result = _slots.end_ticket(callee, attempt, result)
            _slots.forget_attempt(callee, attempt)
            after = admission.retry_after
            return _answers.failure_answer(callee, attempt, result, after)
        return await _dispatch(callee, attempt)
    except upstreams.UpstreamError as error:
        return _finish_failed(callee, attempt, error)
    except asyncio.CancelledError:
        result = once.Unknown(_reason_of_abort(callee))
    except Exception:
        # An internal error must not leave a ticket in use for ever.
        _LOG.exception("event=attempt_fault id=%s", attempt.message.attempt_id)
        result = once.Unknown(_Reason.UPSTREAM_LOST)
    result = _slots.end_ticket(callee, attempt, result)
    _slots.end_attempt(callee, attempt, load.End.CANCELLED)
    return _answers.failure_answer(callee, attempt, result)


def _reason_of_abort(callee: _slots.Callee) -> outcomes.Reason:
    stop = callee.stop
    if stop is not None and stop.phase is stops.Phase.ANSWERING:
        return _Reason.LEAVING
    return _Reason.CANCELLED


async def _admit(
    callee: _slots.Callee, attempt: _attempts.Attempt
) -> load.Start | load.TurnAway:
    now = callee.clock.monotonic()
    work = _to_work(attempt)
    _slots.apply_effects(callee, load.offer(callee.guard, work, now))
    return await attempt.admission


async def _dispatch(
    callee: _slots.Callee, attempt: _attempts.Attempt
) -> daemons.RunAnswer:
    # The process may pause between admission and dispatch and resume when
    # nobody waits any more, and the daemon may have begun to stop while the
    # attempt waited for its slot. The deadline, the stop and the ticket are
    # therefore checked again here, with no await before the request is
    # passed to the connection of the upstream.
    now = callee.clock.monotonic()
    remaining = attempt.deadline - now
    ticket = attempt.message.ticket
    if remaining <= 0:
        raise upstreams.UpstreamError(
            _Outcome.NOT_RUN, _Reason.DEADLINE_PASSED
        )
    if not _may_start(callee, attempt, now):
        raise upstreams.UpstreamError(_Outcome.NOT_RUN, _Reason.LEAVING)
    if ticket and not once.dispatched(callee.owner, ticket, now):
        raise upstreams.UpstreamError(_Outcome.NOT_RUN, _Reason.TICKET_VOID)
    try:
        async with asyncio.timeout(remaining):
            return await _send(callee, attempt, remaining)
    except TimeoutError as error:
        raise upstreams.UpstreamError(
            _Outcome.UNKNOWN, _Reason.DEADLINE_PASSED
        ) from error


async def _send(
    callee: _slots.Callee, attempt: _attempts.Attempt, remaining: float
) -> daemons.RunAnswer:
    request = _request(attempt, remaining)
    response = await upstreams.send(callee.upstream, request)
    _heed_notice(callee, attempt, response.notice)
    attempt.status = response.status
    chunks = _bodies.rechunk(response.chunks)
    first = await anext(chunks, b"")
    _bodies.record_answer_part(attempt, first)
    if len(first) >= daemons.CHUNK_BYTES:
        attempt.answer_chunks = chunks
        return _answers.upstream_answer(
            callee, attempt, response, first, has_more_parts=True
        )
    answer = _answers.upstream_answer(
        callee, attempt, response, first, has_more_parts=False
    )
    headers = tuple(
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    )
    result = once.Done(response.status, headers, first)
    _slots.end_ticket(callee, attempt, result)
    _slots.end_attempt(callee, attempt, load.End.DONE)
    return answer


def _heed_notice(
    callee: _slots.Callee,
    attempt: _attempts.Attempt,
    notice: notices.Notice | None,
) -> None:
    """Apply what the upstream says of itself in an answer."""
    if notice is None:
        return
    now = callee.clock.monotonic()
    if not notice.has_invalid_limit:
        load.observe_rate(
            callee.guard, attempt.message.attempt_id, notice.rate_limit, now
        )
    if notice.leaving:
        _departures.begin(callee, now)


def _request(
    attempt: _attempts.Attempt, remaining: float
) -> upstreams.Request:
    message = attempt.message
    body: bytes | abc.AsyncIterator[bytes] = message.body
    if message.has_more_parts:
        body = _bodies.request_body(attempt)
    headers = message.headers + _context_headers(message, remaining)
    return upstreams.Request(message.method, message.path, headers, body)


def _context_headers(
    message: daemons.Run, remaining: float
) -> tuple[tuple[str, str], ...]:
    headers = [
        ("sassafras-context", message.attempt_id),
        ("sassafras-class", message.request_class),
        ("sassafras-tenant", message.tenant),
        ("sassafras-timeout-ms", str(int(remaining * 1000))),
    ]
    if message.ticket:
        headers.append(("sassafras-ticket", message.ticket))
    return tuple(headers)


def _finish_failed(
    callee: _slots.Callee,
    attempt: _attempts.Attempt,
    error: upstreams.UpstreamError,
) -> daemons.RunAnswer:
    _heed_notice(callee, attempt, error.notice)
    result: once.Result = once.Unknown(error.reason)
    ending = load.End.FAILED
    if error.outcome is _Outcome.NOT_RUN:
        result = once.NotRun(error.reason)
        # When the deepest service is overloaded, each upstream above it
        # passes its refusals on. If these counted as refusals of the
        # upstream, every guard on the way would cut its limit although its
        # own upstream has room. Only an upstream's own refusals count.
        ending = load.End.FAILED if attempt.child_refused else load.End.REFUSED
    if error.reason in (_Reason.DEADLINE_PASSED, _Reason.LEAVING):
        ending = load.End.CANCELLED
    result = _slots.end_ticket(callee, attempt, result)
    _slots.end_attempt(callee, attempt, ending)
    return _answers.failure_answer(
        callee, attempt, result, attempt.child_retry_after
    )


def _to_work(attempt: _attempts.Attempt) -> load.Work:
    message, bundle = attempt.message, attempt.bundle
    rules = bundle.classes[message.request_class]
    tenant = bundle.tenants.get(message.tenant)
    return load.Work(
        attempt_id=message.attempt_id,
        request_class=message.request_class,
        tenant=message.tenant,
        rank=load.rank(rules.importance, message.caller, bundle.version),
        deadline=attempt.deadline,
        max_wait_seconds=rules.refusal.queue_ms / 1000,
        tenant_share=tenant.share
        if tenant is not None
        else DEFAULT_TENANT_SHARE,
    )
