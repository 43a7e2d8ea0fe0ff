from __future__ import annotations

import random

import pytest

from sassafrasstair.standins import _plan

PLAN = _plan.Plan(seconds=9.0, rate=100.0, surge_factor=5.0)


@pytest.mark.parametrize(
    ("at", "rate"),
    [(0.0, 100), (2.9, 100), (3.0, 100), (4.5, 300), (6.0, 100), (8.9, 100)],
)
def test_rate_grows_in_the_middle_third(at: float, rate: float) -> None:
    assert _plan.rate_at(PLAN, at) == pytest.approx(rate)


def test_arrivals_follow_the_rate() -> None:
    times = list(_plan.arrivals(PLAN, random.Random(3)))
    assert times == sorted(times)
    surge = [at for at in times if 3.0 <= at < 6.0]
    assert len(times) - len(surge) == pytest.approx(600, rel=0.1)
    assert len(surge) == pytest.approx(900, rel=0.1)
