from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions.load import _floors

TICK = 0.05


def _offer(
    floors: _floors.Floors,
    rates: dict[str, float],
    seconds: float,
    capacity: float,
    start: float = 0.0,
    share: float = 1.0,
) -> float:
    """Offer attempts of level 5 that callers have filtered by the floor."""
    rng = random.Random(1)
    now = start
    while now < start + seconds:
        now += TICK
        for tenant, rate in rates.items():
            for _ in range(int(rate * TICK)):
                rank = 5 + rng.random()
                if rank >= _floors.floor(floors, tenant):
                    _floors.count_offer(floors, tenant, share, rank)
        _floors.update(floors, capacity, overloaded=True, now=now)
    return now


def test_floor_admits_the_share_that_is_held() -> None:
    floors = _floors.new_floors(0.0)
    _offer(floors, {"main": 1000.0}, 3.0, capacity=250.0)
    assert _floors.floor(floors, "main") == pytest.approx(5.75, abs=0.08)


def test_a_tenant_cannot_starve_another() -> None:
    """A surge of one tenant must not affect the requests of another.

    The big tenant sends ten times the capacity, and the small one a tenth of
    it. A common floor would refuse nine in ten requests of the small tenant.
    """
    floors = _floors.new_floors(0.0)
    _offer(floors, {"big": 2000.0, "small": 20.0}, 2.0, capacity=200.0)
    assert _floors.floor(floors, "small") <= 5.0
    assert _floors.floor(floors, "big") > 5.85


def test_lower_levels_go_first() -> None:
    floors = _floors.new_floors(0.0)
    for step in range(1, 40):
        for _ in range(10):
            _floors.count_offer(floors, "main", 1.0, 9.5)
            _floors.count_offer(floors, "main", 1.0, 3.5)
        _floors.update(floors, 150.0, overloaded=True, now=step * TICK)
    assert 9.0 < _floors.floor(floors, "main") < 9.6


def test_floor_is_gone_a_second_after_its_cause() -> None:
    """Refusals must end soon after the surge that caused them.

    Demand falls to a tenth of what it was, and the guard sees no attempts
    below the floor. The remembered demand must not keep the floor up.
    """
    floors = _floors.new_floors(0.0)
    now = _offer(floors, {"main": 1000.0}, 3.0, capacity=200.0)
    _offer(floors, {"main": 100.0}, 1.0, capacity=200.0, start=now)
    assert _floors.floor(floors, "main") == 0.0


def test_no_floor_without_overload() -> None:
    floors = _floors.new_floors(0.0)
    now = _offer(floors, {"main": 1000.0}, 1.0, capacity=200.0)
    _floors.update(floors, 200.0, overloaded=False, now=now + TICK)
    assert _floors.floor(floors, "main") == 0.0


@pytest.mark.parametrize(
    ("room", "level"), [(50.0, 10), (150.0, 4), (450.0, 4), (900.0, 0)]
)
def test_lowest_level_within_capacity(room: float, level: int) -> None:
    floors = _floors.new_floors(0.0)
    for step in range(1, 60):
        for rank, count in ((9.5, 5), (3.5, 20)):
            for _ in range(count):
                _floors.count_offer(floors, "main", 1.0, rank)
        _floors.update(floors, 1e9, overloaded=False, now=step * TICK)
    assert _floors.lowest_level_within(floors, room) == level
