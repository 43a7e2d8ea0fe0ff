"""The entrance's side: a caller's request to its one final answer.

It drives ``decisions.calls`` with real time and the link to the other
daemons.
"""

from __future__ import annotations

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
_PASSING = outcomes.OVERLOAD_REASONS | {
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
"""What a later repeat of the same request may find changed."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """A call under way: its key, its latest attempt and answer."""

    key: str
    attempt_id: str = ""
    vm: str = ""
    answer: daemons.RunAnswer | None = None


async def call(
    entry: _entries.Entry, request: callers.Request
) -> callers.Reply | callers.Refusal:
    """Serve one request; the caller gets its final answer at once."""
    began = entry.clock.monotonic()
    entry.in_flight += 1
    try:
        ready = await _prepare(entry, request)
        if isinstance(ready, callers.Refusal):
            refusal = _entries.correct_refusal(request.fields, ready)
            return _refused(entry, request.fields.request_class, refusal)
        reply = await _drive(entry, ready, request)
    finally:
        entry.in_flight -= 1
    if isinstance(reply, callers.Refusal):
        return _refused(entry, ready.call.request_class, reply)
    taken = entry.clock.monotonic() - began
    entry.counts.count_answer(
        ready.call.request_class, ready.call.tenant, taken
    )
    return reply


async def _prepare(
    entry: _entries.Entry, request: callers.Request
) -> _entries.PreparedCall | callers.Refusal:
    ready = _entries.prepare(entry, request)
    if isinstance(ready, _entries.PreparedCall) and _needs_child_ticket(ready):
        return await _children.attach_child_ticket(entry, ready, request)
    return ready


def _refused(
    entry: _entries.Entry, request_class: str, refusal: callers.Refusal
) -> callers.Refusal:
    _entries.record_refusal(entry, request_class, refusal)
    return refusal


def _needs_child_ticket(ready: _entries.PreparedCall) -> bool:
    rules = ready.bundle.classes[ready.call.request_class]
    return rules.once and ready.parent is not None


def targets(
    entry: _entries.Entry, ready: _entries.PreparedCall
) -> abc.Sequence[calls.Target]:
    """Return the instances that may run the call."""
    if ready.owner is None:
        now = entry.clock.monotonic()
        return fleet.targets(entry.node, ready.call.service, now)
    return _owner_target(entry, ready.owner)


async def _drive(
    entry: _entries.Entry,
    ready: _entries.PreparedCall,
    request: callers.Request,
) -> callers.Reply | callers.Refusal:
    key, effect = calls.begin_call(
        entry.entrance,
        ready.bundle,
        ready.call,
        targets(entry, ready),
        entry.clock.monotonic(),
        entry.rng,
    )
    progress = _Progress(key)
    try:
        while isinstance(effect, calls.Send):
            effect = await _attempt(entry, ready, request, effect, progress)
    except BaseException:
        # The caller went away, or a fault of ours: nobody waits any more.
        _abandon(entry, progress)
        raise
    return _finish(entry, ready, effect, progress)


async def _attempt(
    entry: _entries.Entry,
    ready: _entries.PreparedCall,
    request: callers.Request,
    send: calls.Send,
    progress: _Progress,
) -> calls.Effect:
    if progress.attempt_id:
        entry.counts.count_retry(ready.call.service)
    progress.attempt_id = send.attempt_id
    progress.vm = send.target.vm
    max_body = ready.bundle.classes[ready.call.request_class].max_body_bytes
    transfer = _transfers.Transfer(send.attempt_id, send.target.vm, max_body)
    message = _to_run(entry, ready, request, send)
    answer, raw = await _transfers.send(entry, transfer, message, request)
    progress.answer = raw
    now = entry.clock.monotonic()
    _observe(entry, send.target.vm, answer, now)
    usable = targets(entry, ready)
    if transfer.body_consumed:
        # The rest of the body was passed on once and is not kept, so no
        # other instance could get the whole of it.
        usable = ()
    effect = calls.apply_answer(
        entry.entrance,
        ready.bundle,
        progress.key,
        send.attempt_id,
        answer,
        usable,
        now,
        entry.rng,
    )
    if effect is None:
        entry.counts.count_late_answer()
        return calls.Refuse(_Outcome.UNKNOWN, _Reason.PEER_LOST)
    return effect


def _to_run(
    entry: _entries.Entry,
    ready: _entries.PreparedCall,
    request: callers.Request,
    send: calls.Send,
) -> daemons.Run:
    call_ = ready.call
    left = send.deadline - entry.clock.monotonic()
    return daemons.Run(
        attempt_id=send.attempt_id,
        service=call_.service,
        request_class=call_.request_class,
        tenant=call_.tenant,
        caller=call_.caller,
        call_id=call_.call_id,
        remaining_ms=max(0, int(left * 1000)),
        retries=send.retries,
        depth=call_.depth,
        ticket=call_.ticket,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.first_part,
        body_length=request.body_length,
        more=request.has_more_parts,
    )


def _finish(
    entry: _entries.Entry,
    ready: _entries.PreparedCall,
    effect: calls.Effect,
    progress: _Progress,
) -> callers.Reply | callers.Refusal:
    assert not isinstance(effect, calls.Send)
    if ready.parent is not None:
        _tell_parent(ready.parent, effect)
    if isinstance(effect, calls.Deliver):
        assert progress.answer is not None
        return _transfers.to_reply(
            entry, progress.vm, progress.answer, ready.call.deadline
        )
    reason = effect.reason
    if ready.owner is not None and reason is _Reason.NO_INSTANCE:
        reason = _Reason.OWNER_GONE
    after = _come_back(entry, ready, reason, effect.retry_after)
    return callers.Refusal(effect.outcome, reason, after)


def _come_back(
    entry: _entries.Entry,
    ready: _entries.PreparedCall,
    reason: outcomes.Reason,
    after: float,
) -> float:
    """Return the Retry-After: spread by the class's rule if none is given.

    0, "coming back is of no use", stays for what no repeat can change.
    """
    if reason not in _PASSING:
        return 0.0
    if after > 0:
        return after
    rules = ready.bundle.classes[ready.call.request_class].refusal
    low = rules.retry_after_min_ms / 1000
    high = max(low, rules.retry_after_max_ms / 1000)
    return entry.rng.uniform(low, high)


def _tell_parent(
    parent: _attempts.Attempt, effect: calls.Refuse | calls.Deliver
) -> None:
    parent.retries_spent += effect.retries_spent
    if isinstance(effect, calls.Refuse):
        parent.child_refused = True
        parent.child_retry_after = max(
            parent.child_retry_after, effect.retry_after
        )


def _abandon(entry: _entries.Entry, progress: _Progress) -> None:
    now = entry.clock.monotonic()
    attempt_id = calls.abandon_call(entry.entrance, progress.key, now)
    if attempt_id:
        _transfers.cancel(entry, progress.vm, attempt_id)


def _observe(
    entry: _entries.Entry, vm: str, answer: calls.Answer, now: float
) -> None:
    if answer.incarnation:
        fleet.observe_call(entry.node, vm, True, answer.incarnation, now)
    elif answer.reason is _Reason.PEER_UNREACHABLE:
        fleet.observe_call(entry.node, vm, False, "", now)


def _owner_target(
    entry: _entries.Entry, owner: once.TicketTarget
) -> tuple[calls.Target, ...]:
    known = fleet.incarnation_of(entry.node, owner.vm)
    if known and known != owner.incarnation and known > owner.incarnation:
        return ()
    if fleet.address_of(entry.node, owner.vm) is None:
        return ()
    return (calls.Target(owner.vm, owner.service, "", ""),)
