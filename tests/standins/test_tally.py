from __future__ import annotations

import pytest

from sassafrasstair.standins import _caller
from sassafrasstair.standins import _plan
from sassafrasstair.standins import _ran
from sassafrasstair.standins import _tally

PLAN = _plan.Plan(9.0, 10.0, 5.0)


def _result(
    final: str = "whole", nonce: str = "n", at: float = 0.0, once: bool = True
) -> _caller.Result:
    want = _plan.Want(nonce, "book", "poster", "t", "c", 1.0, once, 0, at)
    return _caller.Result(want, _caller.Final(final), 1, 0.2, 0.1, ())


@pytest.mark.parametrize(
    ("result", "counts", "verdict"),
    [
        (_result(), [("poster", 1), ("ledger", 1)], (0, 0)),
        (_result(), [("poster", 1), ("poster", 1)], (1, 0)),
        (_result(once=False), [("poster", 1), ("poster", 1)], (0, 0)),
        (_result("not_run"), [("poster", 0)], (0, 0)),
        (_result("not_run"), [("ledger", 1)], (0, 1)),
        (_result("unknown"), [("ledger", 1)], (0, 0)),
    ],
)
def test_judge(
    result: _caller.Result,
    counts: list[tuple[str, int]],
    verdict: tuple[int, int],
) -> None:
    rans = [_ran.Ran(name, nonces={"n": count}) for name, count in counts]
    judged = _tally.judge([result], rans)
    assert (judged.ran_twice, judged.refused_ran) == verdict


@pytest.mark.parametrize(
    ("bad_at", "seconds"),
    [([], 0.0), ([5.9], 0.0), ([6.5], 1.0), ([7.2], 2.0), ([8.5], -1.0)],
)
def test_recovery(bad_at: list[float], seconds: float) -> None:
    good = [_result(at=step / 10) for step in range(90)]
    bad = [_result("not_run", at=at) for at in bad_at]
    assert _tally.recovery(PLAN, good + bad) == seconds


def test_summary_adds_up_and_has_a_row_for_each_class() -> None:
    results = [_result(), _result("not_run", "m"), _result("wrong", "k")]
    tally = _tally.Tally(3, 0.0, results)
    done = _tally.summary(PLAN, tally, _tally.Verdict(1, 2, 3))
    assert (done.offered, done.whole, done.not_run, done.wrong) == (3, 1, 1, 1)
    assert (done.ran_twice, done.refused_ran) == (1, 2)
    assert "book" in _tally.table(done)


def test_percentile() -> None:
    values = [float(value) for value in range(100, 0, -1)]
    assert _tally.percentile(values, 0.99) == 99.0
    assert _tally.percentile([], 0.5) == 0.0
