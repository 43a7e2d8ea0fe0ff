"""Instances that refuse a part of the attempts that they get."""

from __future__ import annotations

import collections
import random
import typing

import pytest

from sassafrasstair.decisions import calls
from sassafrasstair.decisions.calls import _refusals
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

TARGETS = tuple(calls.Target(f"i{k}", "s", f"d{k % 4}", "r") for k in range(5))
PER_SECOND = 500.0
ANSWER_SECONDS = 0.01


class _Entrance:
    """An entrance that sends 500 attempts a second to five instances.

    An instance in ``refusing`` refuses this share of what it gets. Each
    reports that six of ten of its slots are in use.
    """

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.routes = calls.Routes("d0", "r", try_unreachable=False)
        self.refusing: dict[str, float] = {}
        self.now = 1.0

    def play(self, seconds: float) -> collections.Counter[str]:
        """Return the attempts at each instance in so many seconds."""
        picked: collections.Counter[str] = collections.Counter()
        end = self.now + seconds
        while self.now < end:
            self.now += 1.0 / PER_SECOND
            target = calls.pick_target(
                self.routes, TARGETS, (), self.now, self.rng
            )
            assert target is not None
            picked[target.vm] += 1
            calls.start_attempt(self.routes, target.vm, self.now)
            calls.end_attempt(
                self.routes,
                target.vm,
                self._answer(target.vm),
                ANSWER_SECONDS,
                self.now,
            )
        return picked

    def _answer(self, vm: str) -> calls.Answer:
        report = calls.LoadReport(0.6, limit=31.0, service_seconds=0.03)
        if self.rng.random() < self.refusing.get(vm, 0.0):
            return calls.Answer(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.UPSTREAM_REFUSED,
                report,
                incarnation=vm,
            )
        return calls.Answer(outcomes.Outcome.DONE, load=report, incarnation=vm)


def _share(picked: collections.Counter[str], vms: abc.Sequence[str]) -> float:
    return sum(picked[vm] for vm in vms) / sum(picked.values())


def test_instance_that_refuses_half_gets_less_but_not_nothing() -> None:
    """One of the two in the own domain refuses half of its attempts."""
    entrance = _Entrance()
    assert 0.4 < _share(entrance.play(1.0), ["i4"]) < 0.6
    entrance.refusing = {"i4": 0.5}
    entrance.play(0.5)
    picked = entrance.play(4.0)
    assert 0.002 < _share(picked, ["i4"]) < 0.25
    assert not entrance.routes.peers["i4"].ejected


def test_only_near_instance_that_refuses_half_is_left_for_far_ones() -> None:
    entrance = _Entrance()
    entrance.refusing = {"i0": 0.5, "i4": 0.5}
    entrance.play(0.5)
    picked = entrance.play(4.0)
    assert 0.002 < _share(picked, ["i0", "i4"]) < 0.5


def test_no_effect_if_all_instances_refuse_alike() -> None:
    """Half of the attempts fail everywhere; crossing would gain nothing."""
    entrance = _Entrance()
    entrance.refusing = dict.fromkeys(["i0", "i1", "i2", "i3", "i4"], 0.5)
    entrance.play(0.5)
    assert _share(entrance.play(4.0), ["i0", "i4"]) > 0.9


def test_instance_that_has_recovered_is_used_again_within_two_seconds() -> (
    None
):
    entrance = _Entrance()
    entrance.refusing = {"i4": 0.5}
    entrance.play(3.0)
    entrance.refusing = {}
    entrance.play(2.0)
    assert _share(entrance.play(0.5), ["i4"]) > 0.4


def test_a_few_refusals_of_a_healthy_instance_change_nothing() -> None:
    """An instance refuses one of a hundred now and then, when it is full."""
    entrance = _Entrance()
    entrance.refusing = {"i4": 0.01}
    picked = entrance.play(4.0)
    assert _share(picked, ["i0", "i4"]) == 1.0
    assert _share(picked, ["i4"]) > 0.4


@pytest.mark.parametrize(
    "reason",
    [
        outcomes.Reason.QUEUE_DELAY,
        outcomes.Reason.DEADLINE_PASSED,
        outcomes.Reason.PEER_LOST,
    ],
)
def test_other_failures_are_no_refusals_of_the_instance(
    reason: outcomes.Reason,
) -> None:
    routes = calls.Routes("d0", "r")
    answer = calls.Answer(outcomes.Outcome.NOT_RUN, reason, incarnation="i0")
    for index in range(20):
        calls.end_attempt(routes, "i0", answer, 0.01, 1.0 + 0.01 * index)
    assert _refusals.share(routes.peers["i0"], 1.2) == 0.0


def test_restarted_instance_has_refused_nothing() -> None:
    entrance = _Entrance()
    entrance.refusing = {"i4": 0.5}
    entrance.play(1.0)
    calls.record_restart(entrance.routes, "i4", entrance.now)
    assert _refusals.share(entrance.routes.peers["i4"], entrance.now) == 0.0
