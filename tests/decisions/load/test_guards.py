from __future__ import annotations

import pytest

from sassafrasstair.decisions import load
from sassafrasstair import outcomes

Reason = outcomes.Reason


def _work(
    name: str,
    rank: float = 5.5,
    tenant: str = "main",
    deadline: float = 10.0,
    queue_limit: float = 0.1,
) -> load.Work:
    return load.Work(name, "lookup", tenant, rank, deadline, queue_limit)


def _full(slots: int = 2, now: float = 0.0) -> load.Guard:
    guard = load.new_guard(slots, now)
    for index in range(slots):
        assert load.offer(guard, _work(f"run-{index}"), now) == [
            load.Start(f"run-{index}")
        ]
    return guard


def _reasons(effects: list[load.Effect]) -> dict[str, outcomes.Reason]:
    return {
        effect.attempt_id: effect.reason
        for effect in effects
        if isinstance(effect, load.TurnAway)
    }


def _started(effects: list[load.Effect]) -> list[str]:
    return [
        effect.attempt_id
        for effect in effects
        if isinstance(effect, load.Start)
    ]


@pytest.mark.parametrize(
    ("leaving", "deadline", "reason"),
    [
        (True, 10.0, Reason.LEAVING),
        (False, 1.0, Reason.DEADLINE_PASSED),
        (False, 1.3, Reason.DEADLINE_TOO_SHORT),
    ],
)
def test_refused_on_arrival(
    leaving: bool, deadline: float, reason: outcomes.Reason
) -> None:
    guard = load.new_guard(2, 0.0)
    load.offer(guard, _work("first"), 0.0)
    load.finish(guard, "first", load.End.DONE, 0.8)
    guard.leaving = leaving
    effects = load.offer(guard, _work("late", deadline=deadline), 1.0)
    assert _reasons(effects) == {"late": reason}


def test_service_estimate_fades_without_samples() -> None:
    """An instance that refuses all work as too slow must start work again.

    One attempt took 8 s, so that no deadline of 5 s can be met. Nothing is
    started any more, and no new sample would ever correct the estimate.
    """
    guard = load.new_guard(2, 0.0)
    load.offer(guard, _work("slow", deadline=20.0), 0.0)
    load.finish(guard, "slow", load.End.DONE, 8.0)
    early = load.offer(guard, _work("early", deadline=13.1), 8.1)
    assert _reasons(early) == {"early": Reason.DEADLINE_TOO_SHORT}
    later = load.offer(guard, _work("later", deadline=14.0), 9.0)
    assert _started(later) == ["later"]


def test_deadlines_are_checked_again_after_a_pause() -> None:
    """A process must not start work after a pause whose caller has gone.

    A request waits, the process pauses until after its deadline, and a slot
    becomes free in the first event after the pause.
    """
    guard = _full()
    load.offer(guard, _work("waits", deadline=2.0, queue_limit=9.0), 0.0)
    effects = load.finish(guard, "run-0", load.End.DONE, 60.0)
    assert _reasons(effects) == {"waits": Reason.DEADLINE_PASSED}
    assert not guard.waiting


@pytest.mark.parametrize(
    ("ranks", "first"),
    [
        ({"low": 3.9, "high": 9.1}, "high"),
        ({"high": 9.1, "low": 3.9}, "high"),
        ({"older": 5.1, "newer": 5.9}, "older"),
    ],
)
def test_order_of_waiters(ranks: dict[str, float], first: str) -> None:
    guard = _full()
    for index, (name, rank) in enumerate(ranks.items()):
        work = _work(name, rank, deadline=10.0 + index)
        assert load.offer(guard, work, 0.01) == []
    effects = load.finish(guard, "run-0", load.End.DONE, 0.05)
    assert _started(effects) == [first]


def test_tenant_with_less_in_use_goes_first() -> None:
    guard = _full()
    load.offer(guard, _work("again"), 0.01)
    load.offer(guard, _work("other", tenant="other", deadline=11.0), 0.02)
    effects = load.finish(guard, "run-0", load.End.DONE, 0.05)
    assert _started(effects) == ["other"]


def test_full_queue_drops_the_least_important() -> None:
    guard = _full()
    for index in range(8):
        load.offer(guard, _work(f"low-{index}", 3.1 + index / 10), 0.01)
    effects = load.offer(guard, _work("high", 9.5), 0.02)
    assert _reasons(effects) == {"low-0": Reason.QUEUE_FULL}
    assert "high" in guard.waiting


def test_waiting_is_bounded_and_refused_at_the_tick() -> None:
    guard = _full()
    load.offer(guard, _work("waits"), 0.01)
    assert load.tick(guard, 0.05) == []
    effects = load.tick(guard, 0.15)
    assert _reasons(effects) == {"waits": Reason.QUEUE_DELAY}


def test_below_the_floor_does_not_wait() -> None:
    guard = _full(slots=1)
    now = 0.0
    for index in range(400):
        now += 0.01
        load.offer(guard, _work(f"w-{index}", 5 + index % 100 / 100), now)
        load.tick(guard, now)
        for attempt_id in list(guard.running):
            if now - guard.running[attempt_id] >= 0.1:
                load.finish(guard, attempt_id, load.End.DONE, now)
    floor = load.floor(guard, now, "main")
    assert 5.0 < floor < 6.0
    assert load.floor(guard, now + 1.0, "main") == 0.0
    load.offer(guard, _work("fills", 9.9), now)
    effects = load.offer(guard, _work("below", floor - 0.01), now)
    assert _reasons(effects) == {"below": Reason.SHED_AT_CALLEE}


def test_cancelled_and_overdue_work_is_aborted_once() -> None:
    guard = load.new_guard(4, 0.0)
    load.offer(guard, _work("a", deadline=1.0), 0.0)
    load.offer(guard, _work("b"), 0.0)
    assert load.cancel(guard, "b", 0.5) == [load.Abort("b")]
    assert load.tick(guard, 1.02) == [load.Abort("a")]
    assert load.tick(guard, 1.07) == []
    load.finish(guard, "a", load.End.CANCELLED, 1.1)
    load.finish(guard, "b", load.End.CANCELLED, 1.1)
    assert load.busy(guard) == 0.0
    assert load.finish(guard, "b", load.End.DONE, 1.2) == []


def test_patient_guard_sheds_nothing_by_rank() -> None:
    """A service deep in a chain gets twice the load that it can serve.

    Shedding by rank there would fail requests on which work was already spent
    further up the chain. A patient guard lets calls wait for as long as they
    allow and reports its load, so that the entrances admit fewer requests.
    """
    guard = load.new_guard(2, 0.0, patient=True)
    refused: dict[str, outcomes.Reason] = {}
    for step in range(100):
        now = step * 0.01
        for name in (f"a{step}", f"b{step}"):
            work = _work(name, 0.5, deadline=now + 1.0, queue_limit=0.15)
            refused |= _reasons(load.offer(guard, work, now))
        if guard.running:
            first = next(iter(guard.running))
            refused |= _reasons(load.finish(guard, first, load.End.DONE, now))
        refused |= _reasons(load.tick(guard, now))
        assert load.floor(guard, now) == 0.0
    # Work is refused only for waiting too long or because the queue is full.
    assert set(refused.values()) == {Reason.QUEUE_DELAY, Reason.QUEUE_FULL}
    assert load.busy(guard) > 2.0


@pytest.mark.parametrize(
    ("ticks", "aborted"),
    [
        pytest.param((1.0,), False, id="at_its_deadline"),
        pytest.param((1.005,), False, id="just_behind"),
        pytest.param((1.005, 1.055), True, id="at_the_next_tick"),
        pytest.param((3.0,), True, id="after_a_pause"),
    ],
)
def test_running_work_is_aborted_once_its_caller_has_given_up(
    ticks: tuple[float, ...], aborted: bool
) -> None:
    """An abort at the deadline came before the caller's own clock said so."""
    guard = load.new_guard(4, 0.0, patient=True)
    load.offer(guard, _work("a", deadline=1.0), 0.0)
    effects = [effect for now in ticks for effect in load.tick(guard, now)]
    assert effects == ([load.Abort("a")] if aborted else [])
