"""The entrance's side: from a caller's request to its one final answer.

Runs ``decisions.calls`` with real time and the links to the other daemons.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafrasstair import callers
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _children
from sassafrasstair.runtime import _entries
from sassafrasstair.runtime import _transfers

if typing.TYPE_CHECKING:
    from collections import abc

_Outcome = outcomes.Outcome
_Reason = outcomes.Reason
_TRANSIENT_REASONS = outcomes.OVERLOAD_REASONS | {
    _Reason.ANSWER_CUT_SHORT,
    _Reason.CANCELLED,
    _Reason.DEADLINE_PASSED,
    _Reason.DEADLINE_TOO_SHORT,
    _Reason.LEAVING,
    _Reason.NO_BUNDLE,
    _Reason.NO_INSTANCE,
    _Reason.PEER_LOST,
    _Reason.PEER_UNREACHABLE,
    _Reason.TOO_MANY_REPEATS,
    _Reason.UPSTREAM_LOST,
    _Reason.UPSTREAM_UNREACHABLE,
}
"""Reasons that may no longer hold when the request is repeated later."""


@dataclasses.dataclass(slots=True)
class _CallProgress:
    """A call in progress: its key, its latest attempt and answer."""

    key: str
    attempt_id: str = ""
    vm: str = ""
    answer: daemons.RunAnswer | None = None


async def call(
    entry: _entries.Entry, request: callers.Request
) -> callers.Reply | callers.Refusal:
    """Serve one request and return its final answer.

    A stop ends the wait for it, if the answer comes too late.
    """
    limit = asyncio.timeout(None)
    entry.time_limits.add(limit)
    try:
        async with limit:
            return await _call(entry, request)
    except TimeoutError:
        if not limit.expired():
            raise
        refusal = callers.Refusal(
            _Outcome.UNKNOWN, _Reason.LEAVING, 0.0, "this daemon stops"
        )
        return _record_refusal(entry, request.fields.request_class, refusal)
    finally:
        entry.time_limits.discard(limit)


async def _call(
    entry: _entries.Entry, request: callers.Request
) -> callers.Reply | callers.Refusal:
    started_at = entry.clock.monotonic()
    prepared = await _prepare(entry, request)
    if isinstance(prepared, callers.Refusal):
        refusal = _entries.correct_refusal(request.fields, prepared)
        return _record_refusal(entry, request.fields.request_class, refusal)
    reply = await _run_attempts(entry, prepared, request)
    if isinstance(reply, callers.Refusal):
        return _record_refusal(entry, prepared.call.request_class, reply)
    elapsed = entry.clock.monotonic() - started_at
    entry.counts.count_answer(
        prepared.call.request_class, prepared.call.tenant, elapsed
    )
    return reply


async def _prepare(
    entry: _entries.Entry, request: callers.Request
) -> _entries.PreparedCall | callers.Refusal:
    prepared = _entries.prepare(entry, request)
    if isinstance(prepared, _entries.PreparedCall) and _needs_child_ticket(
        prepared
    ):
        return await _children.attach_child_ticket(entry, prepared, request)
    return prepared


def _record_refusal(
    entry: _entries.Entry, request_class: str, refusal: callers.Refusal
) -> callers.Refusal:
    _entries.record_refusal(entry, request_class, refusal)
    return refusal


def _needs_child_ticket(prepared: _entries.PreparedCall) -> bool:
    rules = prepared.bundle.classes[prepared.call.request_class]
    return rules.once and prepared.parent is not None


def targets(
    entry: _entries.Entry, prepared: _entries.PreparedCall
) -> abc.Sequence[calls.Target]:
    """Return the instances that may run the call.

    Once-only work may run only at the instance that issued its ticket.
    """
    if prepared.owner is None:
        now = entry.clock.monotonic()
        return fleet.targets(entry.node, prepared.call.service, now)
    return _owner_target(entry, prepared.owner)


async def _run_attempts(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    request: callers.Request,
) -> callers.Reply | callers.Refusal:
    key, effect = calls.begin_call(
        entry.entrance,
        prepared.bundle,
        prepared.call,
        targets(entry, prepared),
        entry.clock.monotonic(),
        entry.rng,
    )
    progress = _CallProgress(key)
    try:
        while isinstance(effect, calls.Send):
            effect = await _run_attempt(
                entry, prepared, request, effect, progress
            )
    except BaseException:
        # The caller disconnected, or an internal error occurred. In both
        # cases nobody waits for the call any more.
        _abandon(entry, progress)
        raise
    return _finish(entry, prepared, effect, progress)


async def _run_attempt(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    request: callers.Request,
    send: calls.Send,
    progress: _CallProgress,
) -> calls.Effect:
    progress.attempt_id = send.attempt_id
    progress.vm = send.target.vm
    max_body = prepared.bundle.classes[
        prepared.call.request_class
    ].max_body_bytes
    transfer = _transfers.Transfer(send.attempt_id, send.target.vm, max_body)
    message = _to_run(entry, prepared, request, send)
    answer, upstream_answer = await _transfers.send(
        entry, transfer, message, request
    )
    progress.answer = upstream_answer
    now = entry.clock.monotonic()
    _report_reachability(entry, send.target.vm, answer, now)
    targets_left = targets(entry, prepared)
    if transfer.body_consumed:
        # The rest of the body was sent once and is not stored, so no other
        # instance could receive the whole body.
        targets_left = ()
    effect = calls.apply_answer(
        entry.entrance,
        prepared.bundle,
        progress.key,
        send.attempt_id,
        answer,
        targets_left,
        now,
        entry.rng,
    )
    if effect is None:
        entry.counts.count_late_answer()
        return calls.Refuse(_Outcome.UNKNOWN, _Reason.PEER_LOST)
    if isinstance(effect, calls.Send) and not answer.is_unsent:
        entry.counts.count_retry(prepared.call.service)
    return effect


def _to_run(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    request: callers.Request,
    send: calls.Send,
) -> daemons.Run:
    prepared_call = prepared.call
    seconds_left = send.deadline - entry.clock.monotonic()
    return daemons.Run(
        attempt_id=send.attempt_id,
        service=prepared_call.service,
        request_class=prepared_call.request_class,
        tenant=prepared_call.tenant,
        caller=prepared_call.caller,
        call_id=prepared_call.call_id,
        remaining_ms=max(0, int(seconds_left * 1000)),
        retries=send.retries,
        depth=prepared_call.depth,
        ticket=prepared_call.ticket,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.first_part,
        body_length=request.body_length,
        has_more_parts=request.has_more_parts,
    )


def _finish(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    effect: calls.Effect,
    progress: _CallProgress,
) -> callers.Reply | callers.Refusal:
    assert not isinstance(effect, calls.Send)
    if prepared.parent is not None:
        _update_parent(prepared.parent, effect)
    if isinstance(effect, calls.Deliver):
        assert progress.answer is not None
        return _transfers.to_reply(
            entry, progress.vm, progress.answer, prepared.call.deadline
        )
    reason = effect.reason
    if prepared.owner is not None and reason is _Reason.NO_INSTANCE:
        reason = _Reason.OWNER_GONE
    after = _retry_after(entry, prepared, reason, effect.retry_after)
    return callers.Refusal(effect.outcome, reason, after)


def _retry_after(
    entry: _entries.Entry,
    prepared: _entries.PreparedCall,
    reason: outcomes.Reason,
    after: float,
) -> float:
    """Return the Retry-After of a refusal in seconds.

    If ``after`` is 0, a random time within the limits of the class is used.
    The result is 0, which means that a repeat is of no use, for reasons
    that no repeat can change.
    """
    if reason not in _TRANSIENT_REASONS:
        return 0.0
    if after > 0:
        return after
    rules = prepared.bundle.classes[prepared.call.request_class].refusal
    shortest = rules.retry_after_min_ms / 1000
    longest = max(shortest, rules.retry_after_max_ms / 1000)
    return entry.rng.uniform(shortest, longest)


def _update_parent(
    parent: _attempts.Attempt, effect: calls.Refuse | calls.Deliver
) -> None:
    parent.retries_spent += effect.retries_spent
    if isinstance(effect, calls.Refuse):
        parent.child_refused = True
        parent.child_retry_after = max(
            parent.child_retry_after, effect.retry_after
        )


def _abandon(entry: _entries.Entry, progress: _CallProgress) -> None:
    now = entry.clock.monotonic()
    attempt_id = calls.abandon_call(entry.entrance, progress.key, now)
    if attempt_id:
        _transfers.cancel(entry, progress.vm, attempt_id)


def _report_reachability(
    entry: _entries.Entry, vm: str, answer: calls.Answer, now: float
) -> None:
    if answer.incarnation:
        fleet.observe_call(entry.node, vm, True, answer.incarnation, now)
    elif answer.reason is _Reason.PEER_UNREACHABLE:
        fleet.observe_call(entry.node, vm, False, "", now)


def _owner_target(
    entry: _entries.Entry, owner: once.TicketTarget
) -> tuple[calls.Target, ...]:
    current = fleet.incarnation_of(entry.node, owner.vm)
    if (
        current
        and current != owner.incarnation
        and current > owner.incarnation
    ):
        return ()
    if fleet.address_of(entry.node, owner.vm) is None:
        return ()
    return (calls.Target(owner.vm, owner.service, "", ""),)
