from __future__ import annotations

import random

import pytest

from sassafrasstair import bundles
from sassafrasstair.decisions import calls
from sassafrasstair import outcomes
from tests.decisions.calls import samples

RNG = random.Random(1)


def _report_floor(
    entrance: calls.Entrance, rules: bundles.Bundle, floor: float, now: float
) -> None:
    """Make one call whose answer reports the floor."""
    taken = calls.Call("c", "intake", "lookup", "main", "x", now + 1)
    key, sent = calls.begin_call(
        entrance, rules, taken, samples.TARGETS, now, RNG
    )
    assert isinstance(sent, calls.Send)
    answer = calls.Answer(
        outcomes.Outcome.DONE,
        load=calls.LoadReport(floor=floor),
        incarnation="one",
    )
    calls.apply_answer(
        entrance,
        rules,
        key,
        sent.attempt_id,
        answer,
        samples.TARGETS,
        now,
        RNG,
    )


@pytest.mark.parametrize(
    ("floor", "after", "refused"),
    [
        (0.0, 0.0, False),
        (5.0, 0.0, False),
        (6.0, 0.0, True),
        (6.0, 0.2, True),
        (10.0, 1.0, False),
    ],
)
def test_refused_at_the_entrance_while_the_floor_is_fresh(
    floor: float, after: float, refused: bool
) -> None:
    """A floor must not outlive its cause by more than a second.

    If a floor is so high that nothing passes, no answer can lower it, so it
    has to decay by itself.
    """
    rules = samples.bundle()
    entrance = calls.new_entrance("me", "domain-a", "region")
    _report_floor(entrance, rules, floor, 1.0)
    taken = calls.Call("d", "intake", "lookup", "main", "me", 5.0)
    _, effect = calls.begin_call(
        entrance, rules, taken, samples.TARGETS, 1.0 + after, RNG
    )
    assert isinstance(effect, calls.Refuse) is refused
    if isinstance(effect, calls.Refuse):
        assert effect.reason is outcomes.Reason.SHED_AT_ENTRANCE
        assert effect.retry_after >= 1.0
        assert effect.floor == pytest.approx(floor)


def test_own_service_is_left_out_of_the_floor_below() -> None:
    """Instances of one service must not keep each other's floor alive.

    Each receives the floors of the others and would report them in its own
    answers, long after the load that caused them is gone.
    """
    rules = samples.bundle()
    entrance = calls.new_entrance("me", "domain-a", "region")
    _report_floor(entrance, rules, 6.0, 1.0)
    assert calls.floor(entrance, "intake", "lookup", 1.0, "main") == 6.0
    below = calls.max_callee_floor(
        entrance, rules, "intake", "lookup", 1.0, "main"
    )
    assert below == 0.0
