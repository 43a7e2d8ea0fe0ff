"""Tests of the rate limit that an instance names itself."""

from __future__ import annotations

import math

import pytest

from sassafrasstair.decisions import load
from sassafrasstair.decisions.load import _rates
from sassafrasstair import outcomes


def _limited(per_second: float, now: float = 0.0) -> _rates.RateLimit:
    rate = _rates.RateLimit()
    _rates.observe(rate, per_second, now, now)
    return rate


def _starts(rate: _rates.RateLimit, since: float, until: float) -> int:
    """Return how many starts a limit allows, tried each millisecond."""
    started = 0
    for step in range(int(since * 1000), int(until * 1000)):
        if _rates.has_token(rate, step / 1000):
            _rates.take_token(rate)
            started += 1
    return started


@pytest.mark.parametrize(
    ("per_second", "most"),
    [(0.0, 5), (0.3, 5), (3.0, 13), (37.7, 155), (500.0, 2051)],
)
def test_starts_in_four_seconds_are_limited(
    per_second: float, most: int
) -> None:
    """A burst after an idle time counts too."""
    rate = _limited(per_second)
    assert most - 3 <= _starts(rate, 20.0, 24.0) <= most


@pytest.mark.parametrize(
    ("named", "expected"),
    [
        ([(10.0, 0.0)], 10.0),
        ([(10.0, 0.0), (5.0, 0.0)], 5.0),
        ([(10.0, 0.0), (20.0, 0.5)], 10.0),
        ([(10.0, 0.0), (20.0, 1.5)], 20.0),
        ([(10.0, 0.0), (math.inf, 0.5)], 10.0),
        ([(10.0, 0.0), (math.inf, 1.5)], math.inf),
        ([(10.0, 0.0), (10.0, 0.5), (math.inf, 1.5)], 10.0),
    ],
)
def test_only_a_later_request_raises_a_limit(
    named: list[tuple[float, float]], expected: float
) -> None:
    """Answers at 1 s, 2 s and so on, out of order of their starts.

    An answer from before the limit, which arrives late, must not end it.
    """
    rate = _rates.RateLimit()
    for now, (per_second, started_at) in enumerate(named, 1):
        _rates.observe(rate, per_second, started_at, float(now))
    assert rate.per_second == expected


def test_own_answer_replaces_what_a_caller_suggests() -> None:
    rate = _rates.RateLimit()
    _rates.suggest(rate, 10.0, 0.0)
    _rates.suggest(rate, 20.0, 0.0)
    assert rate.per_second == 10.0
    _rates.observe(rate, math.inf, 0.0, 1.0)
    assert not rate.active
    _rates.suggest(rate, 10.0, 2.0)
    assert not rate.active


def _work(name: str, rank: float = 5.5) -> load.Work:
    return load.Work(name, "lookup", "", rank, 10.0, 0.5)


def _limited_guard(per_second: float) -> load.Guard:
    """Return a guard with many slots that has used up its tokens."""
    guard = load.new_guard(100, 0.0, patient=True)
    load.offer(guard, _work("first"), 0.0)
    load.observe_rate(guard, "first", per_second, 0.1)
    load.finish(guard, "first", load.End.DONE, 0.1)
    return guard


def test_work_beyond_the_rate_waits_or_is_refused_at_once() -> None:
    """Its caller finds another instance; waiting would gain nothing."""
    guard = _limited_guard(10.0)
    effects = [
        load.offer(guard, _work(f"work-{index}"), 0.1) for index in range(7)
    ]
    refused = [
        effect
        for each in effects
        for effect in each
        if isinstance(effect, load.TurnAway)
    ]
    assert [each.reason for each in refused] == [
        outcomes.Reason.QUEUE_DELAY
    ] * 2
    assert len(guard.waiting) == 5


def test_more_important_work_takes_the_next_token() -> None:
    guard = _limited_guard(10.0)
    for index in range(3):
        load.offer(guard, _work(f"work-{index}"), 0.1)
    load.offer(guard, _work("important", rank=9.5), 0.1)
    assert load.tick(guard, 0.21) == [load.Start("important")]


def test_rate_limit_is_reported_as_load() -> None:
    """Callers must see that the instance is busy although slots are free."""
    guard = _limited_guard(10.0)
    load.tick(guard, 0.1)
    assert load.busy(guard) == 0.0
    assert load.limit(guard, 0.1) == pytest.approx(10.0 * 0.1 * 0.2)
    for index in range(3):
        load.offer(guard, _work(f"work-{index}"), 0.1)
    assert load.busy(guard) > 2.0
    assert load.rate_limit(guard) == 10.0
