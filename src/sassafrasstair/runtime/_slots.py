"""State of the callee's side of a daemon, and effects of its guard."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles
    from sassafrasstair import clocks
    from sassafrasstair.decisions import calls
    from sassafrasstair.decisions import stops
    from sassafrasstair import metrics
    from sassafrasstair.runtime import _attempts
    from sassafrasstair.runtime import _departures
    from sassafrasstair import upstreams

MAX_CANCELLED = 256

_closing_tasks: set[asyncio.Future[None]] = set()


@dataclasses.dataclass(slots=True)
class Callee:
    """State of the callee's side of one daemon.

    ``bundle`` returns the one in force, and ``other_bundles`` those under
    which other daemons may have accepted a request. ``max_callee_floor``
    returns, for a class and a tenant, the greatest shed floor reported to
    this VM's own calls further down the chain.
    ``ticket_end_events`` maps a ticket in use to the event that is set when
    its execution ends, and ``ticket_joiners`` to the number of requests
    that wait for this event. ``arrival_events`` maps an attempt whose body
    arrived first to the event that is set when its request arrives.
    ``cancelled_early`` holds the last ``MAX_CANCELLED`` attempts that were
    cancelled before their request arrived. ``large_bodies`` counts attempts
    whose body is longer than one message, and ``duplicate_requests`` the
    requests that were delivered twice. ``guard_sized`` is set once a bundle
    has given the guard its number of slots. ``stopping`` is set once the
    daemon is to stop, and ``departure`` while only the upstream is leaving.
    ``stop`` is the planned stop of the process, once it has begun.
    """

    service: str
    incarnation: str
    clock: clocks.Clock
    guard: load.Guard
    owner: once.Owner
    upstream: upstreams.Upstream
    bundle: abc.Callable[[], bundles.Bundle | None]
    other_bundles: abc.Callable[[], abc.Iterable[bundles.Bundle]]
    max_callee_floor: abc.Callable[[str, str], float]
    pauses: calls.Pauses
    counts: metrics.Metrics
    attempts: dict[str, _attempts.Attempt] = dataclasses.field(
        default_factory=dict
    )
    ticket_end_events: dict[str, asyncio.Event] = dataclasses.field(
        default_factory=dict
    )
    ticket_joiners: dict[str, int] = dataclasses.field(default_factory=dict)
    arrival_events: dict[str, asyncio.Event] = dataclasses.field(
        default_factory=dict
    )
    cancelled_early: dict[str, None] = dataclasses.field(default_factory=dict)
    large_bodies: int = 0
    guard_sized: bool = False
    duplicate_requests: int = 0
    stopping: bool = False
    departure: _departures.Departure | None = None
    stop: stops.Stop | None = None


def governing_bundle(
    callee: Callee,
    request_class: str,
    allows: abc.Callable[[bundles.RequestClass], bool],
) -> bundles.Bundle | None:
    """Return the bundle whose rules hold for work that an entrance accepted.

    It is the one in force, unless that does not allow the work: then the
    entrance has accepted it under another bundle that does.
    """
    current = callee.bundle()
    if current is None:
        return None
    rules = current.classes.get(request_class)
    if rules is not None and allows(rules):
        return current
    for bundle in callee.other_bundles():
        rules = bundle.classes.get(request_class)
        if rules is not None and allows(rules):
            return bundle
    return current


def apply_effects(callee: Callee, effects: list[load.Effect]) -> None:
    """Carry out the effects of the guard's decisions."""
    for effect in effects:
        attempt = callee.attempts.get(effect.attempt_id)
        if attempt is None:
            continue
        if isinstance(effect, load.Abort):
            abort(attempt)
        elif not attempt.admission.done():
            attempt.admission.set_result(effect)


def add_attempt(callee: Callee, attempt: _attempts.Attempt) -> None:
    """Register the attempt and wake a body part that arrived before it."""
    attempt_id = attempt.message.attempt_id
    callee.attempts[attempt_id] = attempt
    waiting = callee.arrival_events.get(attempt_id)
    if waiting is not None:
        waiting.set()


def cancel_attempt(callee: Callee, attempt_id: str) -> None:
    """Cancel an attempt that nobody waits for any more."""
    attempt = callee.attempts.get(attempt_id)
    if attempt is None:
        _record_early_cancel(callee, attempt_id)
    elif attempt.answer_chunks is not None:
        fail_answer(callee, attempt, outcomes.Reason.CANCELLED)
    elif not _must_finish(callee, attempt):
        _drop_attempt(callee, attempt)


def check_deadlines(callee: Callee) -> None:
    """Expire what has passed its deadline; called at each heartbeat."""
    now = callee.clock.monotonic()
    apply_effects(callee, load.tick(callee.guard, now))
    once.expire(callee.owner, now)
    for attempt in list(callee.attempts.values()):
        if attempt.answer_chunks is not None and now >= attempt.deadline:
            fail_answer(callee, attempt, outcomes.Reason.DEADLINE_PASSED)


def fail_answer(
    callee: Callee, attempt: _attempts.Attempt, reason: outcomes.Reason
) -> None:
    """End an attempt whose answer could not be passed on completely."""
    if attempt.message.attempt_id in callee.attempts:
        end_ticket(callee, attempt, once.Unknown(reason))
        end_attempt(callee, attempt, load.End.FAILED)


def end_attempt(
    callee: Callee, attempt: _attempts.Attempt, ending: load.End
) -> None:
    """Remove the attempt and tell the guard how it ended."""
    if forget_attempt(callee, attempt):
        now = callee.clock.monotonic()
        attempt_id = attempt.message.attempt_id
        started = callee.guard.running.get(attempt_id, now)
        callee.counts.count_attempt(
            attempt.message.request_class, now - started
        )
        apply_effects(
            callee, load.finish(callee.guard, attempt_id, ending, now)
        )


def forget_attempt(callee: Callee, attempt: _attempts.Attempt) -> bool:
    """Remove the attempt; return False if it was removed before."""
    known = callee.attempts.pop(attempt.message.attempt_id, None)
    if known is None:
        return False
    callee.large_bodies -= attempt.message.has_more_parts
    attempt.ended.set()
    if attempt.message.has_more_parts:
        attempt.unblock_body_reader()
    if attempt.pending_read is not None:
        attempt.pending_read.cancel()
    if attempt.answer_chunks is not None:
        _close(attempt.answer_chunks)
    return True


def abort(attempt: _attempts.Attempt) -> None:
    """Cancel the task that runs the attempt."""
    if attempt.task is not None:
        attempt.task.cancel()


def end_ticket(
    callee: Callee, attempt: _attempts.Attempt, result: once.Result
) -> once.Result:
    """Record the result of a ticket; return the result for its callers."""
    ticket = attempt.message.ticket
    if not ticket:
        return result
    recorded = once.finish_execution(
        callee.owner, ticket, result, callee.clock.monotonic()
    )
    event = callee.ticket_end_events.pop(ticket, None)
    if event is not None:
        event.set()
    return recorded


def shed_floor(callee: Callee, request_class: str, tenant: str) -> float:
    """Return the shed floor to report in answers for the class."""
    own_floor = load.floor(callee.guard, callee.clock.monotonic(), tenant)
    return max(own_floor, callee.max_callee_floor(request_class, tenant))


def remaining(callee: Callee, attempt: _attempts.Attempt) -> float:
    """Return the seconds until the deadline, negative once it has passed."""
    return attempt.deadline - callee.clock.monotonic()


def _record_early_cancel(callee: Callee, attempt_id: str) -> None:
    # Each message has an exchange of its own, so a cancellation may be
    # handled before the request, which would then run although nobody
    # waits for it.
    callee.cancelled_early[attempt_id] = None
    if len(callee.cancelled_early) > MAX_CANCELLED:
        del callee.cancelled_early[next(iter(callee.cancelled_early))]


def _must_finish(callee: Callee, attempt: _attempts.Attempt) -> bool:
    """Return whether once-only work continues without its caller.

    If it were cancelled at the upstream, its outcome would stay unknown.
    If it finishes, a repeat with the same ticket gets the true answer. An
    attempt whose body has not arrived completely can't finish, so it is
    cancelled.
    """
    ticket = attempt.message.ticket
    if not ticket or not attempt.body_is_complete:
        return False
    started = attempt.message.attempt_id in callee.guard.running
    return started or callee.ticket_joiners.get(ticket, 0) > 0


def _drop_attempt(callee: Callee, attempt: _attempts.Attempt) -> None:
    attempt_id = attempt.message.attempt_id
    now = callee.clock.monotonic()
    apply_effects(callee, load.cancel(callee.guard, attempt_id, now))
    if attempt_id not in callee.guard.running and not attempt.admission.done():
        # The guard has removed the attempt and makes no decision on it any
        # more. Without this result the attempt would wait for ever, and
        # with it a planned stop and the callers that joined its ticket.
        reason = outcomes.Reason.CANCELLED
        attempt.admission.set_result(load.TurnAway(attempt_id, reason, 0.0))


def _close(chunks: abc.AsyncGenerator[bytes, None]) -> None:
    task = asyncio.ensure_future(_aclose(chunks))
    _closing_tasks.add(task)
    task.add_done_callback(_closing_tasks.discard)


async def _aclose(chunks: abc.AsyncGenerator[bytes, None]) -> None:
    # ``aclose`` raises RuntimeError while a part of the answer is being
    # read. That read ends with the upstream's connection, so nothing is
    # left open.
    with contextlib.suppress(RuntimeError):
        await chunks.aclose()
