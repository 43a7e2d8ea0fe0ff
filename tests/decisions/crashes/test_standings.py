"""Decisions from the evidence against a request."""

from __future__ import annotations

import dataclasses

import pytest

from sassafrasstair.decisions import crashes

BAD, OTHER = 1, 2
FREE, ISOLATED, BLOCKED = crashes.Standing


@dataclasses.dataclass(frozen=True)
class Case:
    """Crashes one second apart, and the standing of ``BAD`` after them.

    ``ran`` holds the requests in flight at each crash, and ``isolated`` the
    indexes of the crashes at which ``BAD`` was the only suspect. ``familiar``
    is set if an instance had completed ``BAD`` before. ``after`` is in seconds
    from the last crash to the decision.
    """

    ran: tuple[tuple[int, ...], ...]
    standing: crashes.Standing
    isolated: tuple[int, ...] = ()
    familiar: bool = False
    after: float = 1.0


CASES = (
    Case((), FREE),
    Case(((BAD,),), FREE),
    Case(((BAD,), (BAD,)), ISOLATED),
    Case(((BAD,), (BAD,), (BAD,)), BLOCKED),
    Case(((BAD, OTHER),) * 3, BLOCKED),
    Case(((BAD,), (BAD,), (BAD,)), ISOLATED, familiar=True),
    Case(((BAD,),) * 4, ISOLATED, isolated=(3,), familiar=True),
    Case(((BAD,),) * 4, BLOCKED, isolated=(2, 3), familiar=True),
    Case(((BAD,),) * 3, BLOCKED, after=59.0),
    Case(((BAD,),) * 3, ISOLATED, after=121.0),
    Case(((BAD,),) * 4, BLOCKED, after=239.0),
    Case(((BAD,),) * 4, ISOLATED, after=481.0),
    Case(((BAD,),) * 9, BLOCKED, after=599.0),
    Case(((BAD,),) * 9, ISOLATED, after=1_201.0),
    Case(((BAD,),) * 3, FREE, after=1_900.0),
    Case(((BAD, OTHER), (BAD, OTHER), (OTHER,)), FREE),
    Case(((BAD, OTHER), (BAD, OTHER), (OTHER,), (BAD,)), BLOCKED),
    Case(((BAD, OTHER), (OTHER,), (BAD,), (BAD,)), BLOCKED),
)


@pytest.mark.parametrize("case", CASES)
def test_standing(case: Case) -> None:
    ledger = crashes.new_ledger()
    for number, ran in enumerate(case.ran):
        runs = [
            crashes.Run(each, 0.1, each == BAD and number in case.isolated)
            for each in ran
        ]
        familiar = {BAD} if case.familiar else set()
        key = (f"i-{number}", 0)
        crashes.record_crash(ledger, key, runs, familiar, float(number))
    now = len(case.ran) - 1 + case.after
    crashes.expire(ledger, now)
    verdict = crashes.decide_standing(ledger, BAD, "10.0.0.1", now)
    assert verdict.standing is case.standing


def test_daemons_try_a_blocked_request_at_different_times() -> None:
    """Guards against a retry by all daemons at once.

    Each daemon would lose an instance.
    """
    ledger = crashes.new_ledger()
    for number in range(3):
        runs = [crashes.Run(BAD, 0.1)]
        crashes.record_crash(
            ledger, (f"i-{number}", 0), runs, (), float(number)
        )
    untils = sorted(
        crashes.decide_standing(
            ledger, BAD, f"10.0.0.{host}", 3.0
        ).blocked_until
        for host in range(100)
    )
    assert 62.0 <= untils[0] < 72.0
    assert 112.0 < untils[-1] <= 122.0
