"""The usual service time that a guard reports by request class."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import load
from sassafrasstair.decisions.load import _usual


def _run(
    guard: load.Guard, route: str, seconds: float, until: float
) -> load.Guard:
    """Let work of ``seconds`` run from its start to ``until``."""
    start = until - seconds
    work = load.Work("work", route, "", 5.0, until + 10.0, 1.0)
    load.offer(guard, work, start)
    load.finish(guard, "work", load.End.DONE, until)
    return guard


@pytest.mark.parametrize(
    ("samples", "expected"), [(0, None), (2, None), (3, 0.1)]
)
def test_too_few_samples_are_not_reported(
    samples: int, expected: float | None
) -> None:
    guard = load.new_guard(4, 0.0)
    for index in range(samples):
        _run(guard, "page", 0.1, 1.0 + index)
    assert load.usual_seconds(guard, "page") == pytest.approx(expected)


def test_classes_are_kept_apart() -> None:
    guard = load.new_guard(4, 0.0)
    for index in range(5):
        _run(guard, "page", 0.1, 1.0 + index)
        _run(guard, "asset", 0.02, 1.5 + index)
    assert load.usual_seconds(guard, "page") == pytest.approx(0.1)
    assert load.usual_seconds(guard, "asset") == pytest.approx(0.02)


@pytest.mark.parametrize("per_second", [7, 43, 700])
def test_short_spell_counts_little_and_a_lasting_change_soon(
    per_second: int,
) -> None:
    """A spell of 0.5 s at 2.5 times must not look like half the speed."""
    times: dict[str, _usual.UsualTime] = {}
    pause, now = 1.0 / per_second, 0.0
    while now < 10.0:
        now += pause
        _usual.add_sample(times, "page", 0.05, now)
    while now < 10.5:
        now += pause
        _usual.add_sample(times, "page", 0.125, now)
    assert times["page"].seconds < 0.075
    while now < 12.0:
        now += pause
        _usual.add_sample(times, "page", 0.125, now)
    assert times["page"].seconds > 0.095


def test_noise_is_a_fraction_of_that_of_the_samples() -> None:
    rng = random.Random(1)
    times: dict[str, _usual.UsualTime] = {}
    reported = []
    for index in range(2000):
        sample = 0.05 * rng.lognormvariate(-0.32, 0.8)
        _usual.add_sample(times, "page", sample, index / 43.0)
        reported.append(_usual.seconds(times, "page") or 0.05)
    outside = [each for each in reported[200:] if not 0.035 < each < 0.07]
    assert len(outside) < 0.01 * len(reported)


def test_classes_are_bounded() -> None:
    times: dict[str, _usual.UsualTime] = {}
    for index in range(2 * _usual.CLASSES_MAX):
        _usual.add_sample(times, f"route-{index}", 0.1, float(index))
    assert len(times) == _usual.CLASSES_MAX
    assert "route-0" not in times


@pytest.mark.parametrize(
    ("pause", "expected"), [(0.0, 2.0), (30.0, 1.0), (300.0, 0.1)]
)
def test_longest_time_fades(pause: float, expected: float) -> None:
    times: dict[str, _usual.UsualTime] = {}
    _usual.add_sample(times, "page", 2.0, 0.0)
    _usual.add_sample(times, "page", 0.1, pause)
    longest = _usual.longest_seconds(times, "page", pause)
    assert longest == pytest.approx(expected)
    assert _usual.longest_seconds(times, "asset", pause) == 0.0
