"""How long an attempt may wait for a slot, by its route and its caller."""

from __future__ import annotations

import itertools
import math

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests

LEAST_RETRY_AFTER = 0.2
OBJECTIVES = (0.15, 0.3, 0.6, 1.5, 4.0)
TIMEOUTS = (0.6, 0.8, 5.0, 10.0)
DEADLINES = (0.6, 1.5, 5.0)
SERVICES = (0.005, 0.026, 0.1, 0.2, 0.34)


def _inputs(
    objective: float,
    timeout: float,
    remaining: float,
    service: float,
    elapsed: float = 0.0,
    internal: bool = False,
    last: bool = False,
    request_remaining: float = math.inf,
) -> requests.WaitInputs:
    shares = (policies.Share("s", 1.0),)
    route = policies.Route(
        "r", "h", "/", True, timeout, objective, 5, 2, shares
    )
    return requests.WaitInputs(
        route,
        elapsed,
        remaining,
        internal,
        last,
        service,
        request_remaining,
    )


@pytest.mark.parametrize(
    ("objective", "timeout", "remaining", "service", "elapsed"),
    [
        # The service time is not known.
        (1.5, 5.0, 5.0, 0.0, 0.0),
        (1.5, 5.0, 4.2, 0.0, 0.8),
        (0.15, 0.6, 0.6, 0.0, 0.0),
        # The client's deadline makes it come back before its Retry-After.
        (1.5, 5.0, 2.0, 0.026, 0.0),
        (0.6, 5.0, 0.6, 0.026, 0.0),
        (4.0, 10.0, 4.2, 0.2, 0.0),
        # No retry can be served inside the objective.
        (0.15, 0.6, 0.6, 0.026, 0.0),
        (0.15, 5.0, 5.0, 0.026, 0.0),
        (0.3, 5.0, 5.0, 0.08, 0.0),
    ],
)
def test_half_of_the_objective_or_of_the_remaining_time(
    objective: float,
    timeout: float,
    remaining: float,
    service: float,
    elapsed: float,
) -> None:
    inputs = _inputs(objective, timeout, remaining, service, elapsed)
    assert requests.max_wait(inputs) == 0.5 * min(objective, remaining)


@pytest.mark.parametrize("objective", OBJECTIVES)
@pytest.mark.parametrize("timeout", TIMEOUTS)
@pytest.mark.parametrize("deadline", DEADLINES)
@pytest.mark.parametrize("service", SERVICES)
def test_unchanged_where_half_leaves_time_for_the_retry(
    objective: float, timeout: float, deadline: float, service: float
) -> None:
    remaining = min(timeout, deadline)
    pause = max(LEAST_RETRY_AFTER, 0.5 * objective)
    if deadline < timeout:
        pause = min(pause, deadline / 3.0)
    half = 0.5 * min(objective, remaining)
    wait = requests.max_wait(_inputs(objective, timeout, remaining, service))
    assert 0.0 <= wait <= half
    leaves_time = 0.5 * objective + pause + 2.0 * service <= objective
    if timeout >= objective and leaves_time:
        assert wait == pytest.approx(half)


@pytest.mark.parametrize(
    ("objective", "timeout", "service", "wait"),
    [
        (1.5, 0.8, 0.2, 0.35),
        (1.5, 5.0, 0.2, 0.35),
        # At least one service time, or an eighth of the objective.
        (1.5, 0.8, 0.34, 0.34),
        (0.4, 5.0, 0.09, 0.09),
        (4.0, 10.0, 0.95, 0.95),
        (0.5, 5.0, 0.124, 0.124),
        # Never beyond the timeout less one service time.
        (1.5, 0.5, 0.3, 0.2),
        (0.6, 0.25, 0.2, 0.05),
        (0.6, 0.15, 0.2, 0.0),
    ],
)
def test_client_is_refused_in_time_for_its_retry(
    objective: float, timeout: float, service: float, wait: float
) -> None:
    inputs = _inputs(objective, timeout, timeout, service)
    assert requests.max_wait(inputs) == pytest.approx(wait)


@pytest.mark.parametrize("timeout", [0.8, 5.0])
@pytest.mark.parametrize("elapsed", [0.1, 0.2, 0.35, 0.6])
def test_waits_of_all_attempts_leave_time_for_the_retry(
    timeout: float, elapsed: float
) -> None:
    """The second attempt has what the first has left."""
    remaining = timeout - elapsed
    inputs = _inputs(1.5, timeout, remaining, 0.2, elapsed, last=True)
    expected = max(0.0, min(0.35 - elapsed, 0.5 * min(1.5, remaining)))
    assert requests.max_wait(inputs) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("objective", "service", "deadline"),
    list(itertools.product(OBJECTIVES, SERVICES, DEADLINES)),
)
def test_retry_is_served_inside_the_objective(
    objective: float, service: float, deadline: float
) -> None:
    """Holds for all routes where a retry can be served in time at all."""
    inputs = _inputs(objective, 10.0, deadline, service)
    wait = requests.max_wait(inputs)
    pause = min(max(LEAST_RETRY_AFTER, 0.5 * objective), deadline / 3.0)
    if 2.0 * service + pause < 0.875 * objective:
        assert wait + pause + service <= objective + 1e-9


@pytest.mark.parametrize(
    ("remaining", "service", "last", "wait"),
    [
        (0.7, 0.026, False, 0.324),
        (0.37, 0.026, True, 0.318),
        (0.7, 0.026, True, 0.648),
        # A slow spell: the usual service time is known, the call is not
        # refused while it can still be served at 2.5 times that time.
        (0.7, 0.065, False, 0.285),
        # At a cold start the service time is not known.
        (0.7, 0.0, False, 0.2625),
        (0.4, 0.0, True, 0.3),
        # The call's own deadline is near.
        (0.04, 0.026, True, 0.0),
    ],
)
@pytest.mark.parametrize("objective", [0.1, 0.3, 2.0])
def test_call_waits_for_as_long_as_it_can_be_answered(
    objective: float, remaining: float, service: float, last: bool, wait: float
) -> None:
    inputs = _inputs(
        objective, 0.7, remaining, service, internal=True, last=last
    )
    assert requests.max_wait(inputs) == pytest.approx(wait)


@pytest.mark.parametrize(
    ("request_remaining", "last", "wait"),
    [
        (5.0, False, 0.324),
        (1.5, False, 0.324),
        # Calls that expire with their request leave half of its time.
        (0.7, False, 0.175),
        (0.7, True, 0.35),
        (0.0, True, 0.0),
    ],
)
def test_call_leaves_time_for_the_further_calls_of_its_request(
    request_remaining: float, last: bool, wait: float
) -> None:
    inputs = _inputs(
        0.3,
        0.7,
        0.7,
        0.026,
        internal=True,
        last=last,
        request_remaining=request_remaining,
    )
    assert requests.max_wait(inputs) == pytest.approx(wait)


@pytest.mark.parametrize(
    ("tried", "turned_away", "instances", "last"),
    [
        (["a"], 0, 3, False),
        (["a"], 0, 1, True),
        (["a", "b"], 1, 3, True),
        (["a", "b"], 0, 2, True),
        (["a", "b"], 0, 3, False),
    ],
)
def test_last_instance_that_is_asked(
    tried: list[str], turned_away: int, instances: int, last: bool
) -> None:
    route = _inputs(0.3, 0.7, 0.7, 0.0).route
    progress = requests.new_progress(route, "s", 5.5, 100.0)
    progress.tried = tried
    progress.turned_away = turned_away
    assert requests.is_last_instance(progress, instances) is last
