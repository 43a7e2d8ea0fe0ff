"""Records of crashes, merged from several daemons."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest

from sassafrasstair.decisions import crashes

BAD, OTHER, POPULAR = 1, 2, 3


@dataclasses.dataclass(frozen=True)
class CrashStep:
    """One crash at ``at`` seconds.

    ``ran`` holds the requests in flight and for how many seconds each had run.
    """

    at: float
    ran: dict[int, float]
    familiar: frozenset[int] = frozenset()


def ledger_of(*steps: CrashStep) -> crashes.Ledger:
    """Return a ledger with one crash of a separate instance per step."""
    ledger = crashes.new_ledger()
    for number, step in enumerate(steps):
        runs = [crashes.Run(*each) for each in step.ran.items()]
        key = (f"i-{number}", 0)
        crashes.record_crash(ledger, key, runs, step.familiar, step.at)
    return ledger


SEQUENCE = (CrashStep(1.0, {BAD: 0.1}), CrashStep(2.0, {BAD: 0.1}))
AT_ONCE = (CrashStep(1.0, {BAD: 0.5}), CrashStep(1.1, {BAD: 0.5}))
FAMILIAR = frozenset({BAD})


@pytest.mark.parametrize(
    ("steps", "strikes"),
    [
        ((), 0),
        ((CrashStep(1.0, {OTHER: 0.1}),), 0),
        (SEQUENCE, 2),
        (AT_ONCE, 2),
        ((*SEQUENCE, CrashStep(3.0, {BAD: 0.1}, FAMILIAR)), 3),
        ((*AT_ONCE, CrashStep(1.2, {BAD: 0.5}, FAMILIAR)), 1),
        ((*AT_ONCE, CrashStep(2.0, {BAD: 0.5}, FAMILIAR)), 2),
    ],
)
def test_crashes_of_one_moment_count_once_against_a_familiar_request(
    steps: tuple[CrashStep, ...], strikes: int
) -> None:
    ledger = ledger_of(*steps)
    assert crashes.evidence_against(ledger, BAD).strikes == strikes


def test_completed_request_is_cleared_of_the_crashes_before() -> None:
    """A completed request is cleared, but later crashes count again."""
    ledger = ledger_of(*SEQUENCE)
    assert crashes.clear_completed(ledger, BAD)
    assert not crashes.clear_completed(ledger, BAD)
    assert crashes.evidence_against(ledger, BAD).strikes == 0
    crashes.record_crash(ledger, ("i-9", 0), [crashes.Run(BAD, 0.1)], (), 3.0)
    assert crashes.evidence_against(ledger, BAD).strikes == 1


def test_crash_is_recorded_once() -> None:
    """Guards against one record for each connection that breaks.

    The connections of a crashed instance break one after the other.
    """
    ledger = ledger_of(CrashStep(1.0, {BAD: 0.1}))
    runs = [crashes.Run(OTHER, 0.1)]
    assert not crashes.record_crash(ledger, ("i-0", 0), runs, (), 1.1)
    assert crashes.evidence_against(ledger, OTHER).strikes == 0


def test_several_runs_of_one_request_count_as_the_first() -> None:
    """An instance runs the same request three times when it crashes."""
    ledger = crashes.new_ledger()
    runs = [crashes.Run(BAD, seconds, True) for seconds in (0.1, 0.3, 0.2)]
    crashes.record_crash(ledger, ("i", 0), runs, (), 1.0)
    (crash,) = crashes.evidence_against(ledger, BAD).crashes
    assert crash.runs == (crashes.Run(BAD, 0.3, False),)


@pytest.mark.parametrize("seed", range(20))
def test_daemons_have_the_same_records_in_any_order(seed: int) -> None:
    """Four daemons agree when all of their records have been exchanged.

    Crashes and completions at the daemons are reported in any order, and more
    than once.
    """
    rng = random.Random(seed)
    ledgers = [crashes.new_ledger() for _ in range(4)]
    for number in range(30):
        ledger = rng.choice(ledgers)
        runs = [
            crashes.Run(each, rng.random())
            for each in rng.sample(range(9), rng.randint(1, 5))
        ]
        familiar = rng.sample(range(9), 3)
        crashes.record_crash(
            ledger, (f"i-{number}", 0), runs, familiar, number
        )
        crashes.clear_completed(rng.choice(ledgers), rng.randrange(9))
        one, other = rng.sample(ledgers, 2)
        crashes.merge_reports(
            one, crashes.reports_since(other, number), number
        )
    pairs = list(itertools.permutations(ledgers, 2)) * 2
    rng.shuffle(pairs)
    for one, other in [*pairs, *itertools.permutations(ledgers, 2)]:
        crashes.merge_reports(one, crashes.reports_since(other, 30.0), 30.0)
    assert len({ledger.digest for ledger in ledgers}) == 1
    for each in range(9):
        found = [crashes.evidence_against(ledger, each) for ledger in ledgers]
        assert len({one.familiar for one in found}) == 1
        assert len({len(one.crashes) for one in found}) == 1


def test_only_changes_after_a_version_are_reported() -> None:
    """A daemon reports only records that changed since the version."""
    ledger = ledger_of(*SEQUENCE)
    version = ledger.version
    assert crashes.reports_since(ledger, 3.0, version) == []
    crashes.record_crash(
        ledger, ("i-9", 0), [crashes.Run(OTHER, 0.1)], (), 3.0
    )
    (report,) = crashes.reports_since(ledger, 3.5, version)
    assert (report.key, report.age) == (("i-9", 0), 0.5)


def test_old_crashes_are_removed_and_not_added_again() -> None:
    """A peer that removes a record later may still report it once more."""
    ledger = ledger_of(*SEQUENCE)
    old_reports = crashes.reports_since(ledger, 2.0)
    crashes.expire(ledger, 1_900.0)
    assert ledger.crashes == {}
    assert (ledger.run_count, ledger.digest) == (0, 0)
    assert crashes.merge_reports(ledger, old_reports, 1_900.0) == set()


def test_records_without_recurring_requests_are_evicted_first() -> None:
    """Guards against evicting a request that was in several crashes.

    There are more crashes than the ledger keeps.
    """
    ledger = ledger_of(*SEQUENCE)
    for number in range(300):
        runs = [
            crashes.Run(1_000 + number * 9 + each, 0.1) for each in range(8)
        ]
        key = (f"x-{number}", 0)
        crashes.record_crash(ledger, key, runs, (), 3.0 + number)
    assert len(ledger.crashes) <= 256
    assert ledger.run_count <= 1_200
    assert crashes.evidence_against(ledger, BAD).strikes == 2
