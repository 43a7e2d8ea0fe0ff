"""Tests of the end of a stop: final answers, unsent ones, late steps."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import stops

STEP = 0.05
BEGAN = 100.0
CUT_GRACE_RATIO = 5.0 / 6.0
"""An instance is waited for until then, as a fraction of the grace period."""


def test_unsent_answers_delay_the_end_until_shortly_before_the_kill() -> None:
    stop = stops.begin(6.0, BEGAN)
    unsent = stops.InFlight(unsent=1)
    for step in range(200):
        now = BEGAN + step * STEP
        if stops.update(stop, unsent, now) is stops.Phase.ENDED:
            break
    assert stop.cut_at < now <= stop.ends_by + STEP < BEGAN + 6.0


def test_unsent_answers_delay_the_end_of_a_stop_that_began_late() -> None:
    """They were cut a second before the platform may kill the process."""
    stop = stops.begin(6.0, BEGAN, signalled_at=BEGAN - 1.0)
    unsent = stops.InFlight(unsent=1)
    for step in range(200):
        now = BEGAN + step * STEP
        if stops.update(stop, unsent, now) is stops.Phase.ENDED:
            break
    assert BEGAN + 5.8 <= now < BEGAN + 6.0
    stop = stops.begin(6.0, BEGAN, signalled_at=BEGAN - 1.0)
    for step in range(200):
        now = BEGAN + step * STEP
        in_flight = stops.InFlight(calls=now < stop.cut_at)
        if stops.update(stop, in_flight, now) is stops.Phase.ENDED:
            break
    assert now < BEGAN + 5.3


@pytest.mark.parametrize("grace", [1.0, 2.0, 3.0])
@pytest.mark.parametrize("late", [0.0, 0.05])
def test_short_grace_period_leaves_time_between_final_answers_and_the_end(
    grace: float, late: float
) -> None:
    """Callers got no final answer: the process closed in the next step."""
    stop = stops.begin(grace, BEGAN, signalled_at=BEGAN - late, reserve=0.25)
    assert stop.sends_until - stop.cut_at >= 1.4 * STEP
    assert stop.sends_until <= BEGAN + grace - 0.25


@pytest.mark.parametrize("grace", [5.0, 6.0, 10.0, 30.0])
@pytest.mark.parametrize("late", [0.0, 0.3, 1.0, 3.0])
def test_process_that_closes_for_a_while_waits_for_its_instance_as_long(
    grace: float, late: float
) -> None:
    """The part of the grace period was taken of what the close leaves."""
    reserve = 0.25
    stop = stops.begin(
        grace, BEGAN, signalled_at=BEGAN - late, reserve=reserve
    )
    assert stop.cut_at >= BEGAN + CUT_GRACE_RATIO * grace
    assert stop.limits_until <= BEGAN - late + grace - reserve
    assert stop.cut_at < stop.ends_by <= stop.sends_until


def test_answer_that_is_read_just_before_the_kill_is_waited_for() -> None:
    """The process ended, and the rest was lost, half a second too soon."""
    stop = stops.begin(6.0, BEGAN)
    unsent = stops.InFlight(unsent=1)
    for step in range(116):
        phase = stops.update(stop, unsent, BEGAN + step * STEP)
        assert phase is not stops.Phase.ENDED
    assert stops.update(stop, stops.InFlight(), BEGAN + 5.8) is (
        stops.Phase.ENDED
    )


def test_step_that_comes_late_ends_the_stop() -> None:
    """A process that stood still would wait a step more, and be killed."""
    stop = stops.begin(1.0, BEGAN)
    busy = stops.InFlight(calls=1)
    stops.update(stop, busy, BEGAN + 0.84)
    assert stops.update(stop, busy, BEGAN + 0.95) is stops.Phase.ENDED
