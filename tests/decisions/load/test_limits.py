from __future__ import annotations

import pytest

from sassafrasstair.decisions.load import _limits


@pytest.mark.parametrize(
    ("now", "allowed"), [(0.0, 5.0), (2.5, 12.5), (5.0, 20.0), (9.0, 20.0)]
)
def test_cold_instance_is_warmed_up(now: float, allowed: float) -> None:
    limit = _limits.new_limit(20, 0.0, cold=True, warm_seconds=5.0)
    assert _limits.current(limit, now) == pytest.approx(allowed)


def test_one_cut_for_each_service_time() -> None:
    """A burst of refusals must not reduce the limit to its minimum.

    Twenty attempts are running when the upstream loses slots, and it refuses
    all of them. If each one cut the limit, it would fall to its minimum.
    """
    limit = _limits.new_limit(20, 0.0, cold=False, warm_seconds=0.0)
    for _ in range(20):
        _limits.refused(limit, service_time=0.2, now=1.0)
    assert limit.value == pytest.approx(16.0)


def test_limit_comes_back_within_two_seconds() -> None:
    limit = _limits.new_limit(20, 0.0, cold=False, warm_seconds=0.0)
    for round_ in range(50):
        _limits.refused(limit, service_time=0.1, now=1.0 + round_)
    assert limit.value == pytest.approx(2.5)
    seconds = 0.0
    while limit.value < 19.5:
        seconds += 0.1 / limit.value
        _limits.succeeded(limit)
    assert seconds < 2.0
    assert limit.value <= 20.0
