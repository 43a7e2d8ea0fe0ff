"""Tests of how many calls a request makes."""

from __future__ import annotations

import heapq
import itertools
import random
import typing

import pytest

from sassafrasstair.decisions import costs

if typing.TYPE_CHECKING:
    from collections import abc

ANSWER_SECONDS = 0.03
STEP_SECONDS = 0.0006


def _serve(
    routes: abc.Mapping[str, tuple[float, float, int]], seconds: float
) -> costs.CallChains:
    """Run an upstream that makes its calls one by one.

    ``routes`` gives requests per second, seconds of own work and calls.
    """
    rng = random.Random(1)
    chains = costs.CallChains()
    serial = itertools.count()
    events: list[tuple[float, int, str, str, int]] = []

    def push(at: float, what: str, route: str, number: int) -> None:
        heapq.heappush(events, (at, next(serial), what, route, number))

    for route, (rate, work, calls) in routes.items():
        at = 0.0
        while at < seconds:
            at += rng.expovariate(rate)
            push(at, "start", route, 0)
            push(
                at + work * rng.lognormvariate(-0.12, 0.5), "go", route, calls
            )
    while events:
        now, _, what, route, number = heapq.heappop(events)
        if what == "start":
            costs.run_started(chains, now)
        elif what == "answer":
            costs.call_answered(chains, b"%d" % number, now)
        elif number == 0:
            costs.run_ended(chains, route, True, now)
        else:
            call = next(serial)
            costs.call_started(chains, b"%d" % call, "read", now)
            answered = now + ANSWER_SECONDS * rng.lognormvariate(-0.1, 0.4)
            step = answered + STEP_SECONDS * rng.lognormvariate(-0.1, 0.3)
            push(answered, "answer", route, call)
            push(step, "go", route, number - 1)
    return chains


@pytest.mark.parametrize(
    "routes",
    [
        {"check": (67.0, 0.015, 1), "order": (27.0, 0.11, 2)},
        {"ledger": (225.0, 0.015, 4), "bid": (48.0, 0.06, 0)},
        {"listing": (2.0, 0.084, 3)},
    ],
)
def test_calls_are_counted_by_the_route_that_makes_them(
    routes: dict[str, tuple[float, float, int]],
) -> None:
    """Two kinds of request with the same calls differ in cost by these."""
    chains = _serve(routes, 20.0)
    for route, (_, _, calls) in routes.items():
        counted = costs.calls_per_run(chains, route).get("read", 0.0)
        assert counted == pytest.approx(calls, rel=0.25, abs=0.6)


def test_calls_of_few_requests_are_not_known() -> None:
    chains = costs.CallChains()
    costs.run_ended(chains, "listing", True, 1.0)
    assert costs.calls_per_run(chains, "listing") == {}


def test_failed_requests_do_not_count() -> None:
    """A request that failed at its first call would have made more."""
    chains = costs.CallChains()
    for number in range(50):
        now = float(number)
        costs.call_started(chains, b"c", "read", now)
        costs.call_answered(chains, b"c", now + 0.1)
        costs.run_ended(chains, "listing", False, now + 0.1005)
    assert costs.calls_per_run(chains, "listing") == {}
