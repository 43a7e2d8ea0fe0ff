"""The order of waiting attempts that are part of other requests."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import load
from sassafrasstair.decisions.load import _demand
from sassafrasstair import outcomes


def _work(
    name: str,
    begun_at: float | None = None,
    max_wait: float = 0.3,
    request_class: str = "call",
    rank: float = 5.5,
) -> load.Work:
    return load.Work(
        name, request_class, "", rank, 10.0, max_wait, begun_at=begun_at
    )


def _full_guard() -> load.Guard:
    """Return the guard of an instance whose only slot is in use."""
    guard = load.new_guard(1, 0.0, patient=True)
    load.offer(guard, _work("running"), 0.0)
    return guard


def _first_started(guard: load.Guard, now: float) -> str:
    effects = load.finish(guard, "running", load.End.DONE, now)
    (effect,) = effects
    assert isinstance(effect, load.Start)
    return effect.attempt_id


@pytest.mark.parametrize(
    ("works", "first"),
    [
        # The oldest request, whenever its call arrived.
        ([_work("a", 0.0), _work("b", -0.5), _work("c", -0.2)], "b"),
        # An unknown beginning counts as one at the arrival.
        ([_work("a"), _work("b", -0.5)], "b"),
        # A short wait makes an attempt age faster.
        ([_work("a", -0.2, 0.3), _work("b", -0.1, 0.05)], "b"),
        # Importance goes first.
        ([_work("a", -5.0), _work("b", 0.0, rank=6.1)], "b"),
        # With no beginning known, the earliest deadline and then the first.
        ([_work("a"), _work("b")], "a"),
    ],
)
def test_request_that_began_first_goes_first(
    works: list[load.Work], first: str
) -> None:
    guard = _full_guard()
    for work in works:
        assert load.offer(guard, work, 0.01) == []
    # As many of each group were started, so that none is behind.
    guard.demand = _demand.Demand()
    assert _first_started(guard, 0.02) == first


def test_class_that_was_served_least_goes_first() -> None:
    """A class whose requests are never as old as the others' would starve."""
    guard = load.new_guard(1, 0.0, patient=True)
    load.offer(guard, _work("running", -5.0), 0.0)
    load.offer(guard, _work("old", -5.0), 0.01)
    load.offer(guard, _work("short", None, 0.075, "short"), 0.01)
    assert _first_started(guard, 0.02) == "short"


def test_full_queue_refuses_the_latest_request() -> None:
    """The call of a request that has waited before is not refused."""
    guard = _full_guard()
    effects: list[load.Effect] = []
    for index in range(11):
        work = _work(f"{index}", begun_at=-float(index), rank=5.9 - index / 20)
        effects += load.offer(guard, work, 0.01)
    (refused,) = effects
    assert isinstance(refused, load.TurnAway)
    assert refused.attempt_id == "0"
    assert refused.reason is outcomes.Reason.QUEUE_FULL


@pytest.mark.parametrize(
    ("max_wait", "refused_at"), [(0.14, 0.15), (0.32, 0.35), (0.59, 0.6)]
)
def test_each_attempt_waits_for_as_long_as_its_entrance_allows(
    max_wait: float, refused_at: float
) -> None:
    """During a roll, entrances of two builds allow different waits."""
    guard = _full_guard()
    load.offer(guard, _work("waiting", max_wait=max_wait), 0.0)
    load.offer(guard, _work("other", begun_at=-1.0, max_wait=9.0), 0.0)
    refused: dict[str, float] = {}
    for step in range(1, 20):
        for effect in load.tick(guard, step * 0.05):
            assert isinstance(effect, load.TurnAway)
            assert effect.reason is outcomes.Reason.QUEUE_DELAY
            refused[effect.attempt_id] = step * 0.05
    assert refused == {"waiting": pytest.approx(refused_at)}


def test_attempt_that_may_not_wait_is_refused_at_once() -> None:
    """Its caller can try another instance without waiting for a tick."""
    guard = _full_guard()
    (refused,) = load.offer(guard, _work("a", max_wait=0.0), 0.01)
    assert isinstance(refused, load.TurnAway)
    assert refused.reason is outcomes.Reason.QUEUE_DELAY


def test_attempt_that_may_not_wait_uses_a_free_slot() -> None:
    guard = load.new_guard(1, 0.0, patient=True)
    assert load.offer(guard, _work("a", max_wait=0.0), 0.0) == [
        load.Start("a")
    ]


def test_demand_fades_and_forgets() -> None:
    demand = _demand.Demand()
    for work in (_work("a"), _work("b"), _work("c", 0.0)):
        _demand.count_offered(demand, work)
    _demand.count_started(demand, _work("a"))
    assert _demand.started_share(demand, ("call", False)) == 0.5
    assert _demand.started_share(demand, ("call", True)) == 0.0
    assert _demand.started_share(demand, ("other", True)) == 0.0
    _demand.fade(demand, 1.0)
    assert _demand.started_share(demand, ("call", False)) == 0.5
    _demand.fade(demand, 10.0)
    assert not demand.counts
