"""The guard of one upstream instance: what starts, waits or is refused."""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.load import _messages
from sassafrasstair import outcomes

RETRY_AFTER_FLOOR = 0.5


@dataclasses.dataclass(slots=True)
class Guard:
    """State of the guard. ``running`` maps attempts to their start."""

    limit: float
    running: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting: dict[str, _messages.Work] = dataclasses.field(
        default_factory=dict
    )
    leaving: bool = False


def new_guard(slots: int, now: float, cold: bool = False) -> Guard:
    """Return the guard of an instance with ``slots`` from the bundle."""
    return Guard(limit=float(slots))


def offer(
    guard: Guard, work: _messages.Work, now: float
) -> list[_messages.Effect]:
    """Take one arriving attempt: it starts, waits or is turned away."""
    if guard.leaving:
        return [_turn(work, outcomes.Reason.LEAVING)]
    if now >= work.deadline:
        return [_turn(work, outcomes.Reason.DEADLINE_PASSED)]
    if len(guard.running) >= guard.limit:
        return [_turn(work, outcomes.Reason.QUEUE_FULL)]
    guard.running[work.attempt_id] = now
    return [_messages.Start(work.attempt_id)]


def finish(
    guard: Guard, attempt_id: str, end: _messages.End, now: float
) -> list[_messages.Effect]:
    """Note how a started attempt ended; waiting ones may now start."""
    guard.running.pop(attempt_id, None)
    return []


def cancel(
    guard: Guard, attempt_id: str, now: float
) -> list[_messages.Effect]:
    """Drop an attempt that nobody waits for; abort it if it started."""
    if attempt_id in guard.running:
        return [_messages.Abort(attempt_id)]
    return []


def tick(guard: Guard, now: float) -> list[_messages.Effect]:
    """Look again at every deadline; called each 50 ms and after a pause."""
    return []


def floor(guard: Guard, now: float) -> float:
    """Return the rank below which this guard refuses now."""
    return 0.0


def busy(guard: Guard) -> float:
    """Return the share of the limit in use, queue included."""
    return (len(guard.running) + len(guard.waiting)) / max(1.0, guard.limit)


def _turn(work: _messages.Work, reason: outcomes.Reason) -> _messages.Turn:
    return _messages.Turn(work.attempt_id, reason, RETRY_AFTER_FLOOR)
