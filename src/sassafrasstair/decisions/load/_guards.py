"""The guard of one upstream instance: starts, queues or refuses its work.

Words used here: work is one attempt that arrived for the upstream. Its rank
decides when it is shed, which means refused for overload; the level is the
integer part of the rank, its importance, and the fraction is a hash of the
caller (see ``load.rank``). A shed floor is the rank below which work is
refused. The slot interval is the average time until a slot becomes free. A
queue is standing if it has not been empty for a while: it then delays all
work instead of absorbing a burst.
"""

from __future__ import annotations

import bisect
import dataclasses
import math

from sassafrasstair import bundles
from sassafrasstair.decisions.load import _floors
from sassafrasstair.decisions.load import _limits
from sassafrasstair.decisions.load import _messages
from sassafrasstair.decisions.load import _queues
from sassafrasstair.decisions.load import _rates
from sassafrasstair.decisions.load import _usual
from sassafrasstair import outcomes

# Reported with each refusal: after this time the work may be sent again.
RETRY_AFTER_SECONDS = 0.5
# The default duration of the warm-up ramp of a cold instance.
WARM_UP_SECONDS = 5.0
# Without new samples, an estimate of the service time halves in this time.
ESTIMATE_HALF_LIFE = 1.0
ESTIMATE_WEIGHT = 0.2
OVERLOAD_SECONDS = 0.5
MIN_QUEUE = 8
QUEUE_PER_SLOT = 2
PATIENT_QUEUE_PER_SLOT = 10
# The queue of a level is standing if work of that level or above has been
# waiting without interruption for the longer one of these two times.
STANDING_SECONDS = 0.3
STANDING_SLOT_INTERVALS = 8.0
# If a level is partly shed and its queue is standing, waiting longer than a
# few slot intervals gains nothing (Nichols and Jacobson, "Controlling Queue
# Delay", 2012). During overload, the second limit applies to all other work
# whose level has no room to spare.
MAX_WAIT_SLOT_INTERVALS = 2.0
MAX_WAIT_SLOT_INTERVALS_OVERLOADED = 3.0
# Levels whose total demand, with that of all levels above, is below this share
# of the service rate have room to spare: their work queues only briefly and
# may wait for as long as the bundle allows. Whether a slot is free at this
# moment is not considered.
ROOM_SHARE = 0.7
# The admitted work may exceed the served work within this time, so that some
# work is waiting when a slot becomes free.
SLACK_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Guard:
    """State of the guard of one upstream instance.

    ``limit_state`` is the concurrency limit, ``rate`` the limit that the
    instance names itself, and ``floors`` the shed floors.
    ``running`` maps running attempts to their start, ``running_work`` to
    their work; ``running_by_level`` and ``running_by_tenant`` count them.
    ``waiting`` is the queue. ``estimates_by_class`` are service times by
    request class and ``usual_by_class`` the smoother ones that are reported
    to callers, ``mean_service_seconds`` the average of all finished work
    and ``current_service_seconds`` the same with running work included; the
    last sample was taken at ``sampled_at``.

    Work was last refused for overload at ``overloaded_at``. ``emptied_at``
    holds for each level the last time at which no work of this level or above
    was waiting; level 0 covers the whole queue. ``lowest_level_with_room`` is
    computed by each ``tick``, the last of which was at ``ticked_at``. A guard
    is ``leaving`` if the daemon stops or the instance has ended, and refuses
    all new work. The instance first said in an answer that it is leaving at
    ``said_to_leave_at``, infinity if it has not.

    A ``patient`` guard lets work wait for as long as its request allows and
    refuses none by rank. ``forwarding`` makes all its guards patient. It is
    for callers that can't tell which request a call is part of: refusing the
    call would fail a request on which work was already spent. Entrances
    reduce their requests by the reported load instead (see ``admission``).
    """

    limit_state: _limits.Limit
    floors: _floors.Floors
    rate: _rates.RateLimit = dataclasses.field(
        default_factory=_rates.RateLimit
    )
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
    usual_by_class: dict[str, _usual.UsualTime] = dataclasses.field(
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
    said_to_leave_at: float = math.inf
    patient: bool = False

    @property
    def limit(self) -> float:
        """The learned concurrency limit, without the warm-up ramp."""
        return self.limit_state.value


def new_guard(
    slots: int,
    now: float,
    cold: bool = False,
    warm_seconds: float = WARM_UP_SECONDS,
    patient: bool = False,
) -> Guard:
    """Return the guard of an instance with ``slots``.

    A ``cold`` instance is slow at first, so its limit rises to the full value
    within ``warm_seconds``.
    """
    limit_state = _limits.new_limit(slots, now, cold, warm_seconds)
    floors = _floors.new_floors(now)
    emptied = [now] * (bundles.IMPORTANCE_MAX + 1)
    return Guard(
        limit_state,
        floors,
        sampled_at=now,
        emptied_at=emptied,
        ticked_at=now,
        patient=patient,
    )


def offer(
    guard: Guard, work: _messages.Work, now: float
) -> list[_messages.Effect]:
    """Start, queue or refuse an attempt, once, when it arrives."""
    _floors.count_offer(
        guard.floors, work.tenant, work.tenant_share, work.rank
    )
    if guard.leaving:
        return [_refuse(work, outcomes.Reason.LEAVING)]
    if now >= work.deadline:
        return [_refuse(work, outcomes.Reason.DEADLINE_PASSED)]
    if now + _estimate(guard, work, now) > work.deadline:
        return [_refuse(work, outcomes.Reason.DEADLINE_TOO_SHORT)]
    if not guard.waiting and _may_start(guard, now):
        return [_start(guard, work, now)]
    if _must_wait_too_long(guard, work, now):
        guard.overloaded_at = now
        return [_refuse(work, outcomes.Reason.QUEUE_DELAY)]
    return _enqueue(guard, work, now)


def observe_rate(
    guard: Guard, attempt_id: str, per_second: float, now: float
) -> None:
    """Apply the rate limit that an answer names, infinity for none.

    ``attempt_id`` is the running attempt that was answered.
    """
    started_at = guard.running.get(attempt_id, -math.inf)
    _rates.observe(guard.rate, per_second, started_at, now)


def note_said_to_leave(guard: Guard, now: float) -> None:
    """Record that the instance says that it leaves; it never takes it back."""
    guard.said_to_leave_at = min(guard.said_to_leave_at, now)


def suggest_rate(guard: Guard, per_second: float, now: float) -> None:
    """Use the rate limit that a caller knows until the instance answers."""
    _rates.suggest(guard.rate, per_second, now)


def finish(
    guard: Guard, attempt_id: str, end: _messages.End, now: float
) -> list[_messages.Effect]:
    """Record how a running attempt ended, and start waiting ones."""
    started = guard.running.pop(attempt_id, None)
    if started is None:
        return []
    work = guard.running_work.pop(attempt_id)
    guard.running_by_level[math.floor(work.rank)] -= 1
    guard.running_by_tenant[work.tenant] -= 1
    if not guard.running_by_tenant[work.tenant]:
        del guard.running_by_tenant[work.tenant]
    elapsed = now - started
    if end is _messages.End.DONE:
        _learn(guard, work, elapsed, now)
        _limits.succeeded(guard.limit_state)
    elif end is _messages.End.REFUSED:
        _limits.refused(guard.limit_state, guard.mean_service_seconds, now)
    return _dispatch(guard, now)


def cancel(
    guard: Guard,
    attempt_id: str,
    now: float,
    reason: outcomes.Reason = outcomes.Reason.CANCELLED,
) -> list[_messages.Effect]:
    """Drop a waiting attempt whose caller has gone, or abort a running one."""
    waiter = guard.waiting.pop(attempt_id, None)
    if waiter is not None:
        # Without this effect the end of the attempt would never be reported.
        # A planned stop waits for it, and so do repeats of a once-only call
        # that joined the first use of their ticket.
        return [_refuse(waiter.work, reason)]
    if attempt_id in guard.running:
        return [_messages.Abort(attempt_id)]
    return []


def retire(guard: Guard, reason: outcomes.Reason) -> list[_messages.Effect]:
    """Refuse all waiting and all future work, as the instance has ended."""
    guard.leaving = True
    waiting, guard.waiting = guard.waiting, {}
    return [_refuse(waiter.work, reason) for waiter in waiting.values()]


def tick(guard: Guard, now: float) -> list[_messages.Effect]:
    """Check all deadlines and update the shed floors.

    Called every 50 ms and after a pause of the process.
    """
    guard.current_service_seconds = _current_service_seconds(guard, now)
    effects = _expire(guard, now)
    effects += _abort_overdue(guard, now)
    effects += _dispatch(guard, now)
    overloaded = now - guard.overloaded_at < OVERLOAD_SECONDS
    _floors.update(guard.floors, _admissible_rate(guard, now), overloaded, now)
    guard.lowest_level_with_room = _lowest_level_with_room(guard, now)
    guard.ticked_at = now
    return effects


def floor(guard: Guard, now: float, tenant: str = "") -> float:
    """Return the rank below which this guard refuses work now."""
    if guard.patient:
        return 0.0
    if now - guard.overloaded_at >= OVERLOAD_SECONDS:
        return 0.0
    return _floors.floor(guard.floors, tenant)


def _may_start(guard: Guard, now: float) -> bool:
    """Return whether the concurrency and the rate limit allow a start."""
    has_slot = len(guard.running) + 1 <= _limits.current(
        guard.limit_state, now
    )
    return has_slot and _rates.has_token(guard.rate, now)


def _must_wait_too_long(
    guard: Guard, work: _messages.Work, now: float
) -> bool:
    """Return whether the rate limit lets the work start too late.

    Its caller can send it to another instance at once, instead of after a
    wait that gains nothing.
    """
    if not guard.rate.active:
        return False
    ahead = sum(
        waiter.work.rank >= work.rank for waiter in guard.waiting.values()
    )
    wait = _rates.seconds_until(guard.rate, ahead + 1, now)
    latest = work.deadline - _estimate(guard, work, now)
    return wait > work.max_wait_seconds or now + wait > latest


def _start(guard: Guard, work: _messages.Work, now: float) -> _messages.Effect:
    _rates.take_token(guard.rate)
    guard.running[work.attempt_id] = now
    guard.running_work[work.attempt_id] = work
    level = math.floor(work.rank)
    guard.running_by_level[level] = guard.running_by_level.get(level, 0) + 1
    guard.running_by_tenant[work.tenant] = (
        guard.running_by_tenant.get(work.tenant, 0) + 1
    )
    return _messages.Start(work.attempt_id)


def _enqueue(
    guard: Guard, work: _messages.Work, now: float
) -> list[_messages.Effect]:
    if work.rank < floor(guard, now, work.tenant):
        guard.overloaded_at = now
        return [_refuse(work, outcomes.Reason.SHED_AT_CALLEE)]
    guard.waiting[work.attempt_id] = _queues.Waiter(work, now)
    effects = _dispatch(guard, now)
    per_slot = PATIENT_QUEUE_PER_SLOT if guard.patient else QUEUE_PER_SLOT
    if len(guard.waiting) <= max(MIN_QUEUE, per_slot * guard.limit):
        return effects
    guard.overloaded_at = now
    refused = _queues.next_to_refuse(
        guard.waiting, guard.running_by_tenant
    ).work
    del guard.waiting[refused.attempt_id]
    return effects + [_refuse(refused, outcomes.Reason.QUEUE_FULL)]


def _dispatch(guard: Guard, now: float) -> list[_messages.Effect]:
    """Start waiting work while there is room.

    Work that can no longer finish in time is refused instead.
    """
    effects: list[_messages.Effect] = []
    standing_level = max(
        _partly_shed_level(guard, now), _highest_standing_level(guard, now)
    )
    while guard.waiting and _may_start(guard, now):
        waiter = _queues.next_to_start(
            guard.waiting, guard.running_by_tenant, standing_level
        )
        del guard.waiting[waiter.work.attempt_id]
        if _has_expired(guard, waiter, now):
            effects.append(_refuse_expired(guard, waiter, now))
        else:
            effects.append(_start(guard, waiter.work, now))
    _record_emptied(guard, now)
    return effects


def _expire(guard: Guard, now: float) -> list[_messages.Effect]:
    expired = [
        waiter
        for waiter in guard.waiting.values()
        if _has_expired(guard, waiter, now)
    ]
    effects = []
    for waiter in expired:
        del guard.waiting[waiter.work.attempt_id]
        effects.append(_refuse_expired(guard, waiter, now))
    return effects


def _has_expired(guard: Guard, waiter: _queues.Waiter, now: float) -> bool:
    work = waiter.work
    estimate = _estimate(guard, work, now)
    max_wait_seconds = _max_wait_seconds(guard, math.floor(work.rank), now)
    return _queues.expired(waiter, now, estimate, max_wait_seconds)


def _max_wait_seconds(guard: Guard, level: int, now: float) -> float:
    """Return how long work of the level may wait, in seconds.

    The first limit depends on whether the whole queue is standing, which is
    the queue of level 0, and is tested by ``STANDING_SECONDS`` alone.
    """
    if guard.patient:
        return math.inf
    is_standing = now - guard.emptied_at[0] >= STANDING_SECONDS
    if is_standing and level <= _partly_shed_level(guard, now):
        return MAX_WAIT_SLOT_INTERVALS * _slot_interval(guard, now)
    has_room = level >= guard.lowest_level_with_room
    if now - guard.overloaded_at < OVERLOAD_SECONDS and not has_room:
        return MAX_WAIT_SLOT_INTERVALS_OVERLOADED * _slot_interval(guard, now)
    return math.inf


def _slot_interval(guard: Guard, now: float) -> float:
    """Return the average time between two starts of work, in seconds."""
    until_slot = guard.current_service_seconds / _limits.current(
        guard.limit_state, now
    )
    return max(until_slot, 1.0 / guard.rate.per_second)


def _highest_standing_level(guard: Guard, now: float) -> int:
    """Return the highest level with a standing queue, -1 if there is none.

    The queue of a level includes the levels above it, so all lower levels
    have a standing queue too.
    """
    intervals = STANDING_SLOT_INTERVALS * _slot_interval(guard, now)
    since = now - max(STANDING_SECONDS, intervals)
    # A level was emptied no earlier than those below it.
    return bisect.bisect_right(guard.emptied_at, since) - 1


def _record_emptied(guard: Guard, now: float) -> None:
    """Record which levels have no waiting work at or above them."""
    top = _queues.highest_level(guard.waiting)
    for level in range(top + 1, len(guard.emptied_at)):
        guard.emptied_at[level] = now


def _partly_shed_level(guard: Guard, now: float) -> int:
    """Return the level that the shed floor lies in, -1 if there is none."""
    value = floor(guard, now)
    return math.floor(value) if value > 0.0 else -1


def _refuse_expired(
    guard: Guard, waiter: _queues.Waiter, now: float
) -> _messages.Effect:
    guard.overloaded_at = now
    if now >= waiter.work.deadline:
        return _refuse(waiter.work, outcomes.Reason.DEADLINE_PASSED)
    return _refuse(waiter.work, outcomes.Reason.QUEUE_DELAY)


def _abort_overdue(guard: Guard, now: float) -> list[_messages.Effect]:
    """Abort running work whose deadline has passed, as its caller has gone.

    Work is aborted only at the first tick after that, so that an upstream
    that is slow to stop gets one abort.
    """
    return [
        _messages.Abort(attempt_id)
        for attempt_id, work in guard.running_work.items()
        if guard.ticked_at < work.overdue_at <= now
    ]


def _learn(
    guard: Guard, work: _messages.Work, elapsed: float, now: float
) -> None:
    estimate = guard.estimates_by_class.get(work.request_class, elapsed)
    estimate += ESTIMATE_WEIGHT * (elapsed - estimate)
    guard.estimates_by_class[work.request_class] = estimate
    _usual.add_sample(guard.usual_by_class, work.request_class, elapsed, now)
    guard.mean_service_seconds += ESTIMATE_WEIGHT * (
        elapsed - guard.mean_service_seconds
    )
    guard.sampled_at = now


def _lowest_level_with_room(guard: Guard, now: float) -> int:
    """Return the lowest level with room to spare.

    The demand of all levels above it counts too.
    """
    if guard.current_service_seconds <= 0.0:
        return 0
    served = 1.0 / _slot_interval(guard, now)
    return _floors.lowest_level_within(guard.floors, ROOM_SHARE * served)


def _current_service_seconds(guard: Guard, now: float) -> float:
    """Return the service time in seconds, with running work included.

    An upstream that has become slow finishes nothing for a while, so finished
    work does not show that it is slow. Running work is half done on average,
    so twice its mean age is an estimate of the service time. It shows the
    slowness after about one former service time.
    """
    if not guard.running:
        return guard.mean_service_seconds
    age = now - sum(guard.running.values()) / len(guard.running)
    return max(guard.mean_service_seconds, 2.0 * age)


def _estimate(guard: Guard, work: _messages.Work, now: float) -> float:
    """Return the expected service time of the work in seconds.

    It decays without new samples. Otherwise an instance that was slow once
    would refuse all work for its deadline, get no new samples, and never be
    found to be fast again.
    """
    estimate = guard.estimates_by_class.get(work.request_class, 0.0)
    age = now - guard.sampled_at
    return estimate * math.exp2(-age / ESTIMATE_HALF_LIFE)


def _admissible_rate(guard: Guard, now: float) -> float:
    """Return how many attempts per second callers should send.

    Within the slack time this exceeds the number of served attempts by about
    its square root: arrivals are random, and a lower rate would leave slots
    idle.
    """
    if guard.current_service_seconds <= 0.0:
        return math.inf
    served = SLACK_SECONDS / _slot_interval(guard, now)
    return (served + math.sqrt(served) + 0.5) / SLACK_SECONDS


def _refuse(
    work: _messages.Work, reason: outcomes.Reason
) -> _messages.TurnAway:
    return _messages.TurnAway(work.attempt_id, reason, RETRY_AFTER_SECONDS)
