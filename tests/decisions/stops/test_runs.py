"""Tests of what the upstream of a stopping daemon still gets to run."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import stops

STEP = 0.05
GRACES = (1.0, 2.0, 4.0, 6.0, 10.0, 30.0)
BEGAN = 100.0


@pytest.mark.parametrize(
    ("at", "limit", "longest", "runs"),
    [
        (0.5, 4.9, 0.2, True),
        (1.1, 4.3, 9.0, True),
        (1.3, 1.0, 0.2, False),
        # How long others took is no bound.
        (0.5, 5.1, 0.2, False),
    ],
)
def test_upstream_gets_what_ends_in_time(
    at: float, limit: float, longest: float, runs: bool
) -> None:
    stop = stops.begin(6.0, BEGAN)
    now = BEGAN + at
    assert stops.may_run(stop, stops.Run(now + limit, longest), now) is runs


@pytest.mark.parametrize(
    ("longest", "runs"), [(0.2, True), (4.4, True), (4.6, False)]
)
def test_upstream_gets_own_request_if_the_longest_of_its_kind_fits(
    longest: float, runs: bool
) -> None:
    """It was sent early: it may be cut by the daemon that took it."""
    stop = stops.begin(6.0, BEGAN)
    now = BEGAN + 1.0
    run = stops.Run(now + 9.0, longest, may_be_cut=True)
    assert stops.may_run(stop, run, now) is runs


@pytest.mark.parametrize(
    ("at", "limit", "longest", "runs"),
    [
        (2.0, 3.4, 1.0, True),
        (2.0, 3.6, 1.0, False),
        (3.5, 1.9, 1.2, True),
        (3.5, 5.0, 1.2, False),
        (4.2, 5.0, 0.0, False),
        (4.0, 0.8, 9.0, True),
        (5.6, 0.1, 0.0, False),
    ],
)
def test_upstream_runs_what_no_other_can_while_it_can_end(
    at: float, limit: float, longest: float, runs: bool
) -> None:
    stop = stops.begin(6.0, BEGAN)
    now = BEGAN
    while now < BEGAN + at:
        now += STEP
        stops.update(stop, stops.InFlight(calls=1), now)
    run = stops.Run(now + limit, longest)
    assert not stops.may_run(stop, run, now)
    run = dataclasses.replace(run, last_resort=True)
    assert stops.may_run(stop, run, now) is runs


@pytest.mark.parametrize("grace", GRACES)
def test_daemons_that_stop_together_are_spread(grace: float) -> None:
    """If all ended at once, no instance of a service could be reached."""
    found = [
        stops.begin(grace, BEGAN, spread).last_resort_until
        for spread in (0.0, 0.5, 1.0)
    ]
    stop = stops.begin(grace, BEGAN)
    assert stop.upstream_until <= found[0]
    assert found[0] < found[1] < found[2] <= stop.cut_at


@pytest.mark.parametrize(
    ("spread", "at", "takes"),
    [(0.0, 1.7, True), (0.0, 1.9, False), (1.0, 4.2, True), (1.0, 4.4, False)],
)
def test_last_resorts_are_taken_for_a_drawn_time(
    spread: float, at: float, takes: bool
) -> None:
    stop = stops.begin(6.0, BEGAN, spread)
    stops.update(stop, stops.InFlight(calls=1), BEGAN + at)
    assert stops.takes_last_resorts(stop, BEGAN + at) is takes


@pytest.mark.parametrize(
    ("noted_at", "closes_at"),
    [
        # No last resort came before the first phase ended.
        (None, 2.35),
        (1.0, 4.35),
    ],
)
def test_connections_are_accepted_while_last_resorts_come(
    noted_at: float | None, closes_at: float
) -> None:
    """A pause between two runs closed the port for the calls of the next."""
    stop = stops.begin(6.0, BEGAN)
    beside = stops.InFlight(calls=1)
    if noted_at is not None:
        stops.update(stop, beside, BEGAN + noted_at)
        stops.note_last_resort(stop)
    now = BEGAN + (noted_at or 0.0)
    while now < BEGAN + closes_at - 2 * STEP:
        now += STEP
        stops.update(stop, beside, now)
        assert stops.accepts_connections(stop, beside)
    stops.update(stop, beside, BEGAN + closes_at)
    assert not stops.accepts_connections(stop, beside)


@hypothesis.given(
    strategies.sampled_from(GRACES),
    strategies.floats(0.0, 1.0),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 1), strategies.booleans()),
        min_size=16,
        max_size=20,
    ),
)
def test_upstream_gets_no_run_whose_calls_could_not_connect(
    grace: float, spread: float, steps: list[tuple[int, bool]]
) -> None:
    """Runs come and end in any order; a client's request is in flight."""
    stop = stops.begin(grace, BEGAN, spread)
    now = BEGAN
    for executions, last_resort in steps:
        now += 0.05 * grace
        in_flight = stops.InFlight(1, executions)
        stops.update(stop, in_flight, now)
        accepts = stops.accepts_connections(stop, in_flight)
        if not accepts:
            stops.stop_accepting(stop)
        run = stops.Run(now + 0.05, 0.0, last_resort=last_resort)
        runs = stops.may_run(stop, run, now)
        assert accepts or not runs
        if runs and last_resort:
            stops.note_last_resort(stop)


def test_connections_that_are_refused_are_refused_for_good() -> None:
    stop = stops.begin(6.0, BEGAN)
    stops.update(stop, stops.InFlight(calls=1), BEGAN + 2.4)
    assert stops.takes_last_resorts(stop, BEGAN + 2.4)
    stops.stop_accepting(stop)
    assert not stops.takes_last_resorts(stop, BEGAN + 2.4)
    assert not stops.accepts_connections(stop, stops.InFlight(executions=1))
