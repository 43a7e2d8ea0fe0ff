from __future__ import annotations

import random
import statistics

import pytest

from sassafrasstair.standins import _model

RULES = _model.Rules(slots=10, service=0.02)


def _mean(
    inflight: int, rules: _model.Rules = RULES, at: float = 0.0
) -> float:
    model = _model.Model(rules, started=0.0, inflight=inflight)
    rng = random.Random(7)
    times = [_model.service_seconds(model, at, rng) for _ in range(4000)]
    return statistics.fmean(times)


def test_mean_is_as_asked_up_to_the_slots() -> None:
    assert _mean(10) == pytest.approx(0.02, rel=0.05)


def test_load_past_the_slots_lessens_throughput() -> None:
    rates = [count / _mean(count) for count in (10, 20, 40)]
    assert rates == sorted(rates, reverse=True)


def test_cold_start_is_slower_and_then_warm() -> None:
    cold = _model.Rules(slots=10, service=0.02, cold=1.0)
    assert _mean(1, cold, 0.0) > 3 * _mean(1, cold, 1.0)


def test_told_load_lags() -> None:
    model = _model.Model(_model.Rules(10, 0.02, health_lag=1.0), 0.0)
    _model.begin(model, 5.0)
    seen = [_model.told_load(model, at) for at in (5.5, 5.9, 6.1)]
    assert seen == [0.0, 0.0, 0.1]


@pytest.mark.parametrize(
    ("inflight", "draining", "shed"),
    [(39, False, False), (40, False, True), (0, True, True)],
)
def test_sheds(inflight: int, draining: bool, shed: bool) -> None:
    model = _model.Model(RULES, 0.0, inflight, draining)
    assert _model.sheds(model) is shed
