"""The guard of one upstream instance: what starts, waits or is refused."""

from __future__ import annotations

import dataclasses
import math

from sassafrasstair import bundles
from sassafrasstair.decisions.load import _floors
from sassafrasstair.decisions.load import _limits
from sassafrasstair.decisions.load import _messages
from sassafrasstair.decisions.load import _queues
from sassafrasstair import outcomes

RETRY_AFTER_SECONDS = 0.5
WARM_SECONDS = 5.0
# An estimate of the service time without a new sample halves in this time.
ESTIMATE_HALF_LIFE = 1.0
ESTIMATE_WEIGHT = 0.2
OVERLOAD_SECONDS = 0.5
MIN_QUEUE = 8
QUEUE_PER_SLOT = 2
PATIENT_QUEUE_PER_SLOT = 10
# When a level and those above it have not been without a waiter for this
# long, in seconds and in turns of a slot, its queue stands.
STANDING_SECONDS = 0.3
STANDING_TURNS = 8.0
# Where a level is partly shed and its queue stands, waiting longer than a
# few turns gains nothing (Nichols and Jacobson, "Controlling Queue Delay",
# 2012).
PATIENCE_TURNS = 2.0
PATIENCE_ABOVE_TURNS = 3.0
# Levels that together ask for less than this share of what is served queue
# only for a moment, and wait for as long as the bundle lets them.
COMFORTABLE_SHARE = 0.7
# The time within which the admitted work may exceed what is served, so
# that a slot that falls free finds one waiting.
SLACK_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Guard:
    """State of the guard. ``running`` maps attempts to their start.

    ``levels`` counts what runs by importance, ``works`` holds it.

    A ``patient`` guard lets work wait for as long as it may and sheds none
    by rank: where callers can't tell whose part a call is, shedding it
    fails a request on which work was already spent. Callers hold back by
    the load that they are told instead.
    """

    limit_state: _limits.Limit
    floors: _floors.Floors
    running: dict[str, float] = dataclasses.field(default_factory=dict)
    running_by_level: dict[int, int] = dataclasses.field(default_factory=dict)
    running_work: dict[str, _messages.Work] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[str, _queues.Waiter] = dataclasses.field(
        default_factory=dict
    )
    running_by_tenant: dict[str, int] = dataclasses.field(default_factory=dict)
    estimates_by_class: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    mean_service_seconds: float = 0.0
    current_service_seconds: float = 0.0
    sampled_at: float = 0.0
    overloaded_at: float = -math.inf
    emptied_at: list[float] = dataclasses.field(default_factory=list)
    ticked_at: float = 0.0
    lowest_level_with_room: int = 0
    leaving: bool = False
    patient: bool = False

    @property
    def limit(self) -> float:
        """The learnt concurrency limit, warm-up left out."""
        return self.limit_state.value


def new_guard(
    slots: int,
    now: float,
    cold: bool = False,
    warm_seconds: float = WARM_SECONDS,
    patient: bool = False,
) -> Guard:
    """Return the guard of an instance with ``slots``."""
    limits = _limits.new_limit(slots, now, cold, warm_seconds)
    floors = _floors.new_floors(now)
    emptied = [now] * (bundles.IMPORTANCE_MAX + 1)
    return Guard(
        limits,
        floors,
        sampled_at=now,
        emptied_at=emptied,
        ticked_at=now,
        patient=patient,
    )


def offer(
    guard: Guard, work: _messages.Work, now: float
) -> list[_messages.Effect]:
    """Take one arriving attempt: it starts, waits or is turned away."""
    _floors.count_offer(
        guard.floors, work.tenant, work.tenant_share, work.rank
    )
    if guard.leaving:
        return [_turn(work, outcomes.Reason.LEAVING)]
    if now >= work.deadline:
        return [_turn(work, outcomes.Reason.DEADLINE_PASSED)]
    if now + _estimate(guard, work, now) > work.deadline:
        return [_turn(work, outcomes.Reason.DEADLINE_TOO_SHORT)]
    if not guard.waiting and _has_room(guard, now):
        return [_start(guard, work, now)]
    return _wait(guard, work, now)


def finish(
    guard: Guard, attempt_id: str, end: _messages.End, now: float
) -> list[_messages.Effect]:
    """Note how a started attempt ended; waiting ones may now start."""
    started = guard.running.pop(attempt_id, None)
    if started is None:
        return []
    work = guard.running_work.pop(attempt_id)
    guard.running_by_level[math.floor(work.rank)] -= 1
    guard.running_by_tenant[work.tenant] -= 1
    if not guard.running_by_tenant[work.tenant]:
        del guard.running_by_tenant[work.tenant]
    taken = now - started
    if end is _messages.End.DONE:
        _learn(guard, work, taken, now)
        _limits.succeeded(guard.limit_state)
    elif end is _messages.End.REFUSED:
        _limits.refused(guard.limit_state, guard.mean_service_seconds, now)
    return _dispatch(guard, now)


def cancel(
    guard: Guard, attempt_id: str, now: float
) -> list[_messages.Effect]:
    """Drop an attempt that nobody waits for; abort it if it started."""
    waiter = guard.waiting.pop(attempt_id, None)
    if waiter is not None:
        # Failure: its end is never told; whoever joined it waits for
        # ever, and a planned stop waits for it too.
        return [_turn(waiter.work, outcomes.Reason.CANCELLED)]
    if attempt_id in guard.running:
        return [_messages.Abort(attempt_id)]
    return []


def retire(guard: Guard, reason: outcomes.Reason) -> list[_messages.Effect]:
    """Turn away all that waits, and all that comes: the instance is over."""
    guard.leaving = True
    waiting, guard.waiting = guard.waiting, {}
    return [_turn(waiter.work, reason) for waiter in waiting.values()]


def tick(guard: Guard, now: float) -> list[_messages.Effect]:
    """Look again at every deadline; called each 50 ms and after a pause."""
    guard.current_service_seconds = _live(guard, now)
    effects = _expire(guard, now)
    effects += _overdue(guard, now)
    effects += _dispatch(guard, now)
    pressed = now - guard.overloaded_at < OVERLOAD_SECONDS
    _floors.update(guard.floors, _admissible(guard, now), pressed, now)
    guard.lowest_level_with_room = _comfortable(guard, now)
    guard.ticked_at = now
    return effects


def floor(guard: Guard, now: float, tenant: str = "") -> float:
    """Return the rank below which this guard refuses now."""
    if guard.patient:
        return 0.0
    if now - guard.overloaded_at >= OVERLOAD_SECONDS:
        return 0.0
    return _floors.floor(guard.floors, tenant)


def busy(guard: Guard) -> float:
    """Return the share of the limit in use, queue included."""
    return (len(guard.running) + len(guard.waiting)) / max(1.0, guard.limit)


def busy_at_or_above(guard: Guard, level: int) -> float:
    """Return the share of the limit that work of the level must yield to.

    Work of that importance and above: what matters less waits behind it.
    """
    running = sum(
        count
        for known, count in guard.running_by_level.items()
        if known >= level
    )
    waiting = sum(
        math.floor(waiter.work.rank) >= level
        for waiter in guard.waiting.values()
    )
    return (running + waiting) / max(1.0, guard.limit)


def service_seconds(guard: Guard) -> float:
    """Return the usual seconds of service; 0 when none is known yet."""
    return guard.current_service_seconds


def _has_room(guard: Guard, now: float) -> bool:
    return len(guard.running) + 1 <= _limits.current(guard.limit_state, now)


def _start(guard: Guard, work: _messages.Work, now: float) -> _messages.Effect:
    guard.running[work.attempt_id] = now
    guard.running_work[work.attempt_id] = work
    level = math.floor(work.rank)
    guard.running_by_level[level] = guard.running_by_level.get(level, 0) + 1
    guard.running_by_tenant[work.tenant] = (
        guard.running_by_tenant.get(work.tenant, 0) + 1
    )
    return _messages.Start(work.attempt_id)


def _wait(
    guard: Guard, work: _messages.Work, now: float
) -> list[_messages.Effect]:
    if work.rank < floor(guard, now, work.tenant):
        guard.overloaded_at = now
        return [_turn(work, outcomes.Reason.SHED_AT_CALLEE)]
    guard.waiting[work.attempt_id] = _queues.Waiter(work, now)
    effects = _dispatch(guard, now)
    per_slot = PATIENT_QUEUE_PER_SLOT if guard.patient else QUEUE_PER_SLOT
    if len(guard.waiting) <= max(MIN_QUEUE, per_slot * guard.limit):
        return effects
    guard.overloaded_at = now
    out = _queues.next_to_refuse(guard.waiting, guard.running_by_tenant).work
    del guard.waiting[out.attempt_id]
    return effects + [_turn(out, outcomes.Reason.QUEUE_FULL)]


def _dispatch(guard: Guard, now: float) -> list[_messages.Effect]:
    """Start what may start, each deadline looked at again first."""
    effects: list[_messages.Effect] = []
    stands = max(_marginal(guard, now), _standing(guard, now))
    while guard.waiting and _has_room(guard, now):
        waiter = _queues.next_to_start(
            guard.waiting, guard.running_by_tenant, stands
        )
        del guard.waiting[waiter.work.attempt_id]
        if _is_late(guard, waiter, now):
            effects.append(_expiry(guard, waiter, now))
        else:
            effects.append(_start(guard, waiter.work, now))
    _note_emptied(guard, now)
    return effects


def _expire(guard: Guard, now: float) -> list[_messages.Effect]:
    late = [
        waiter
        for waiter in guard.waiting.values()
        if _is_late(guard, waiter, now)
    ]
    effects = []
    for waiter in late:
        del guard.waiting[waiter.work.attempt_id]
        effects.append(_expiry(guard, waiter, now))
    return effects


def _is_late(guard: Guard, waiter: _queues.Waiter, now: float) -> bool:
    work = waiter.work
    estimate = _estimate(guard, work, now)
    patience = _patience(guard, math.floor(work.rank), now)
    return _queues.expired(waiter, now, estimate, patience)


def _patience(guard: Guard, level: int, now: float) -> float:
    """Return how long work of the level may wait at most."""
    if guard.patient:
        return math.inf
    stood = now - guard.emptied_at[0] >= STANDING_SECONDS
    if stood and level <= _marginal(guard, now):
        return PATIENCE_TURNS * _turn_seconds(guard, now)
    comfortable = level >= guard.lowest_level_with_room
    if now - guard.overloaded_at < OVERLOAD_SECONDS and not comfortable:
        return PATIENCE_ABOVE_TURNS * _turn_seconds(guard, now)
    return math.inf


def _turn_seconds(guard: Guard, now: float) -> float:
    """Return how long it takes on average until a slot falls free."""
    return guard.current_service_seconds / _limits.current(
        guard.limit_state, now
    )


def _standing(guard: Guard, now: float) -> int:
    """Return the highest level whose queue stands, -1 if none does."""
    turns = STANDING_TURNS * _turn_seconds(guard, now)
    since = now - max(STANDING_SECONDS, turns)
    return sum(emptied <= since for emptied in guard.emptied_at) - 1


def _note_emptied(guard: Guard, now: float) -> None:
    """Note which levels have no waiter at or above them."""
    top = _queues.highest_level(guard.waiting)
    for level in range(top + 1, len(guard.emptied_at)):
        guard.emptied_at[level] = now


def _marginal(guard: Guard, now: float) -> int:
    """Return the level of which a part is shed, -1 if there is none."""
    value = floor(guard, now)
    return math.floor(value) if value > 0.0 else -1


def _expiry(
    guard: Guard, waiter: _queues.Waiter, now: float
) -> _messages.Effect:
    guard.overloaded_at = now
    if now >= waiter.work.deadline:
        return _turn(waiter.work, outcomes.Reason.DEADLINE_PASSED)
    return _turn(waiter.work, outcomes.Reason.QUEUE_DELAY)


def _overdue(guard: Guard, now: float) -> list[_messages.Effect]:
    """Abort what runs past its deadline: nobody waits for it.

    Only at the first tick after the deadline, so that an upstream that is
    slow to stop is told once.
    """
    return [
        _messages.Abort(attempt_id)
        for attempt_id, work in guard.running_work.items()
        if guard.ticked_at < work.deadline <= now
    ]


def _learn(
    guard: Guard, work: _messages.Work, taken: float, now: float
) -> None:
    known = guard.estimates_by_class.get(work.request_class, taken)
    known += ESTIMATE_WEIGHT * (taken - known)
    guard.estimates_by_class[work.request_class] = known
    guard.mean_service_seconds += ESTIMATE_WEIGHT * (
        taken - guard.mean_service_seconds
    )
    guard.sampled_at = now


def _comfortable(guard: Guard, now: float) -> int:
    """Return the lowest level with room to spare, all above counted."""
    if guard.current_service_seconds <= 0.0:
        return 0
    served = (
        _limits.current(guard.limit_state, now) / guard.current_service_seconds
    )
    return _floors.lowest_level_within(
        guard.floors, COMFORTABLE_SHARE * served
    )


def _live(guard: Guard, now: float) -> float:
    """Return the seconds of service, work under way included.

    A slowed upstream finishes nothing for a while, so that what finished
    says nothing of it. What runs is on average half done: twice its mean
    age shows the slowness after as long as a service used to take.
    """
    if not guard.running:
        return guard.mean_service_seconds
    age = now - sum(guard.running.values()) / len(guard.running)
    return max(guard.mean_service_seconds, 2.0 * age)


def _estimate(guard: Guard, work: _messages.Work, now: float) -> float:
    """Return the expected service time of the work.

    It fades when no sample comes: else an instance that was slow once, and
    for that reason starts nothing, would never be seen to be quick again.
    """
    known = guard.estimates_by_class.get(work.request_class, 0.0)
    age = now - guard.sampled_at
    return known * math.exp2(-age / ESTIMATE_HALF_LIFE)


def _admissible(guard: Guard, now: float) -> float:
    """Return how many attempts a second callers should send.

    More than is served, by the square root of what is served in the slack
    time: with arrivals at random, less would leave slots idle.
    """
    if guard.current_service_seconds <= 0.0:
        return math.inf
    limit = _limits.current(guard.limit_state, now)
    served = limit / guard.current_service_seconds * SLACK_SECONDS
    return (served + math.sqrt(served) + 0.5) / SLACK_SECONDS


def _turn(work: _messages.Work, reason: outcomes.Reason) -> _messages.TurnAway:
    return _messages.TurnAway(work.attempt_id, reason, RETRY_AFTER_SECONDS)
