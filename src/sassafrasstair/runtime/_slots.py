"""State of the callee's side of a daemon, and the guard's effects on it."""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import typing

from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles
    from sassafrasstair import clocks
    from sassafrasstair.decisions import calls
    from sassafrasstair.runtime import _attempts
    from sassafrasstair import upstreams

_closing: set[asyncio.Future[None]] = set()


@dataclasses.dataclass(slots=True)
class Slot:
    """State of the callee's side of one daemon.

    ``floor_below`` gives, for a class and a tenant, the greatest shed floor
    that this VM's own calls have met further down the chain. ``joins`` maps a
    running ticket to the event of its end, ``joined`` counts who waits for
    that end, ``arrivals`` an attempt whose
    body came first to the event of its own arrival.
    """

    service: str
    incarnation: str
    clock: clocks.Clock
    guard: load.Guard
    owner: once.Owner
    upstream: upstreams.Upstream
    bundle: abc.Callable[[], bundles.Bundle | None]
    floor_below: abc.Callable[[str, str], float]
    pauses: calls.Pauses
    attempts: dict[str, _attempts.Attempt] = dataclasses.field(
        default_factory=dict
    )
    joins: dict[str, asyncio.Event] = dataclasses.field(default_factory=dict)
    joined: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    arrivals: dict[str, asyncio.Event] = dataclasses.field(
        default_factory=dict
    )
    large_bodies: int = 0
    sized: bool = False
    doubled: int = 0


def apply(slot: Slot, effects: list[load.Effect]) -> None:
    """Carry out what the guard decided."""
    for effect in effects:
        attempt = slot.attempts.get(effect.attempt_id)
        if attempt is None:
            continue
        if isinstance(effect, load.Abort):
            _abort(attempt)
        elif not attempt.verdict.done():
            attempt.verdict.set_result(effect)


def arrived(slot: Slot, attempt: _attempts.Attempt) -> None:
    """Make the attempt known, also to a body that came before it."""
    attempt_id = attempt.run.attempt_id
    slot.attempts[attempt_id] = attempt
    waiting = slot.arrivals.get(attempt_id)
    if waiting is not None:
        waiting.set()


def cancel(slot: Slot, attempt_id: str) -> None:
    """Drop an attempt that nobody waits for any more."""
    attempt = slot.attempts.get(attempt_id)
    if attempt is None:
        return
    if slot.joined[attempt.run.ticket]:
        # Failure: a caller gives up, repeats and joins its own execution;
        # the cancellation of its first use then ends what it waits for.
        return
    if attempt.rest is not None:
        fail_rest(slot, attempt, outcomes.Reason.CANCELLED)
        return
    now = slot.clock.monotonic()
    apply(slot, load.cancel(slot.guard, attempt_id, now))


def tick(slot: Slot) -> None:
    """Look again at every deadline; called at each beat of the loop."""
    now = slot.clock.monotonic()
    apply(slot, load.tick(slot.guard, now))
    once.expire(slot.owner, now)
    for attempt in list(slot.attempts.values()):
        if attempt.rest is not None and now >= attempt.deadline:
            fail_rest(slot, attempt, outcomes.Reason.DEADLINE_PASSED)


def fail_rest(
    slot: Slot, attempt: _attempts.Attempt, reason: outcomes.Reason
) -> None:
    """Give up on an answer whose body has not been passed on whole."""
    end_ticket(slot, attempt, once.Unknown(reason))
    end(slot, attempt, load.End.FAILED)


def end(slot: Slot, attempt: _attempts.Attempt, how: load.End) -> None:
    """Forget the attempt and tell the guard how it ended."""
    if forget(slot, attempt):
        now = slot.clock.monotonic()
        attempt_id = attempt.run.attempt_id
        apply(slot, load.finish(slot.guard, attempt_id, how, now))


def forget(slot: Slot, attempt: _attempts.Attempt) -> bool:
    """Forget the attempt; False if that was done before."""
    known = slot.attempts.pop(attempt.run.attempt_id, None)
    if known is None:
        return False
    slot.large_bodies -= attempt.run.more
    attempt.ended.set()
    if attempt.rest is not None:
        _close(attempt.rest)
    return True


def end_ticket(
    slot: Slot, attempt: _attempts.Attempt, result: once.Result
) -> once.Result:
    """Record a ticket's end; return what its callers must be told."""
    ticket = attempt.run.ticket
    if not ticket:
        return result
    told = once.finish(slot.owner, ticket, result, slot.clock.monotonic())
    event = slot.joins.pop(ticket, None)
    if event is not None:
        event.set()
    return told


def floor(slot: Slot, request_class: str, tenant: str) -> float:
    """Return the shed floor that answers for the class carry now."""
    own = load.floor(slot.guard, slot.clock.monotonic(), tenant)
    return max(own, slot.floor_below(request_class, tenant))


def remaining(slot: Slot, attempt: _attempts.Attempt) -> float:
    """Return the seconds until the attempt's deadline, maybe negative."""
    return attempt.deadline - slot.clock.monotonic()


def _abort(attempt: _attempts.Attempt) -> None:
    if attempt.task is not None:
        attempt.task.cancel()


def _close(rest: abc.AsyncIterator[bytes]) -> None:
    if isinstance(rest, abc.AsyncGenerator):
        task = asyncio.ensure_future(_aclose(rest))
        _closing.add(task)
        task.add_done_callback(_closing.discard)


async def _aclose(rest: abc.AsyncGenerator[bytes, None]) -> None:
    # The generator is in use when an answer's part is being read: reading
    # it ends with the upstream's connection, so nothing is left open.
    with contextlib.suppress(RuntimeError):
        await rest.aclose()
