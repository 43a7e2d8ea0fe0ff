"""Admission by the load of a chain, and the state kept about the chain."""

from __future__ import annotations

import collections
import random

import pytest

from sassafrasstair.decisions import admission

STEP = 0.01
SLOTS = 40.0
SERVICE = 0.04
"""The service time of one call at the last service of the chain."""


def _simulate(
    demand: dict[str, tuple[int, float, int]], seconds: float
) -> dict[str, list[float]]:
    """Simulate entrances in front of one service at the end of a chain.

    ``demand`` maps routes to their importance above the least, the requests
    per second, and the calls for each request. Answers report the service's
    load 0.2 s after a request arrived. Returns the admitted share by route
    and second.
    """
    gates = admission.Admission()
    rng = random.Random(5)
    work = 0.0
    shares: dict[str, list[float]] = {route: [] for route in demand}
    in_chain: collections.deque[tuple[float, int]] = collections.deque()
    let_in = dict.fromkeys(demand, 0)
    asked = dict.fromkeys(demand, 0)
    for step in range(int(seconds / STEP)):
        now = 100.0 + step * STEP
        for route, (above, rate, calls) in demand.items():
            for _ in range(int(rate * STEP + rng.random())):
                asked[route] += 1
                if admission.admit(gates, route, above, now, rng):
                    let_in[route] += 1
                    in_chain.append((now + 0.2, calls))
        while in_chain and in_chain[0][0] <= now:
            work += in_chain.popleft()[1] * SERVICE
        work = max(0.0, work - SLOTS * STEP)
        load = min(5.0, work / SERVICE / SLOTS + 0.9)
        for route in demand:
            admission.observe_load(gates, route, load, now)
        if step % 100 == 99:
            for route in demand:
                shares[route].append(let_in[route] / max(1, asked[route]))
                let_in[route] = asked[route] = 0
    return shares


def test_share_settles_near_what_the_chain_can_do() -> None:
    """A surge demands twice the capacity of the last service of a chain.

    If all requests are admitted, nearly all fail after part of their work was
    done. If too few are admitted, the service idles. The gates must find the
    share in between.
    """
    shares = _simulate({"lookup": (0, 200.0, 10)}, 20.0)["lookup"]
    settled = shares[5:]
    assert 0.35 <= sum(settled) / len(settled) <= 0.55
    assert min(settled) > 0.2


def test_least_important_route_is_shed_first() -> None:
    shares = _simulate(
        {"lookup": (0, 100.0, 10), "binding": (2, 100.0, 5)}, 20.0
    )
    bindings = shares["binding"][3:]
    lookups = shares["lookup"][5:]
    assert sum(bindings) / len(bindings) > 0.95
    assert 0.3 <= sum(lookups) / len(lookups) <= 0.6


def test_share_is_whole_without_overload() -> None:
    shares = _simulate({"lookup": (0, 80.0, 10)}, 10.0)["lookup"]
    assert min(shares) > 0.9


def _overload(gates: admission.Admission, rng: random.Random) -> None:
    """Overload the chain of route ``r`` from 100 to 110 s."""
    for step in range(100):
        now = 100.0 + step * 0.1
        admission.observe_load(gates, "r", 5.0, now)
        admission.admit(gates, "r", 0, now, rng)


def test_gate_opens_soon_when_there_is_room() -> None:
    """An overload has passed and the chain is half idle.

    The entrances must not go on refusing most requests for seconds; at one
    time they refused three in four.
    """
    gates = admission.Admission()
    rng = random.Random(1)
    _overload(gates, rng)
    for step in range(60):
        now = 110.0 + step * 0.05
        admission.observe_load(gates, "r", 0.4, now)
        admission.admit(gates, "r", 0, now, rng)
    assert gates.gates["r"].share == 1.0


def test_gate_opens_again_without_reports() -> None:
    gates = admission.Admission()
    rng = random.Random(1)
    _overload(gates, rng)
    assert gates.gates["r"].share < 0.1
    for step in range(200):
        admission.admit(gates, "r", 0, 112.0 + step * 0.1, rng)
    assert gates.gates["r"].share == 1.0


@pytest.mark.parametrize(
    ("busy", "service", "expected"),
    [
        (0.5, 0.02, 0.5),
        (1.5, 0.02, 1.2),
        (1.5, 0.2, 3.0),
        (1.5, 0.0, 1.5),
    ],
)
def test_pressure_counts_wait_not_queue_length(
    busy: float, service: float, expected: float
) -> None:
    """A fast instance has a queue of half its slots, a wait of 10 ms.

    When the length of the queue counted, the entrances refused half of the
    lookups for it.
    """
    assert admission.pressure(busy, service) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("callers", "inner"),
    [
        ({"a": 30}, True),
        ({"a": 20, "b": 20}, True),
        ({"a": 20, "b": 20, "c": 20}, False),
        ({"a": 100, "b": 1, "c": 1, "d": 1}, True),
        ({"a": 10}, False),
        ({}, False),
    ],
)
def test_route_of_few_callers_is_inner(
    callers: dict[str, int], inner: bool
) -> None:
    known = admission.Callers()
    for service, count in callers.items():
        for _ in range(count):
            admission.note_caller(known, "r", service)
    assert admission.is_inner(known, "r", 4) is inner


def test_callers_that_change_are_followed() -> None:
    known = admission.Callers()
    for _ in range(300):
        admission.note_caller(known, "r", "a")
    for _ in range(600):
        for service in "abcd":
            admission.note_caller(known, "r", service)
    assert not admission.is_inner(known, "r", 4)


def test_callee_load_expires_when_not_reported() -> None:
    """The last load of a callee that has gone must not count forever."""
    chains = admission.CalleeLoads()
    admission.observe_inner_load(chains, "r", 5, 3.0, 100.0)
    admission.observe_inner_load(chains, "q", 5, 0.5, 100.0)
    assert admission.busiest_callee_load(chains, 5, 100.1) == 3.0
    assert admission.busiest_callee_load(chains, 5, 100.5) == 0.0


def test_load_heard_of_a_chain_falls_with_few_answers() -> None:
    """A chain was full and is nearly empty now, and few requests are admitted.

    When each answer moved the average by a tenth, one answer per second left
    it high for a long time, and nothing more was admitted.
    """
    chains = admission.CalleeLoads()
    for at in range(20):
        admission.observe_inner_load(chains, "r", 5, 4.0, 100.0 + 0.01 * at)
    assert admission.busiest_callee_load(chains, 5, 100.2) > 3.0
    admission.observe_inner_load(chains, "r", 5, 0.1, 101.2)
    assert admission.busiest_callee_load(chains, 5, 101.2) < 0.2


def test_load_heard_at_one_importance_says_nothing_of_another() -> None:
    chains = admission.CalleeLoads()
    admission.observe_inner_load(chains, "r", 7, 4.0, 100.0)
    admission.observe_inner_load(chains, "r", 9, 0.4, 100.0)
    assert admission.busiest_callee_load(chains, 7, 100.1) == 4.0
    assert admission.busiest_callee_load(chains, 9, 100.1) == 0.4


@pytest.mark.parametrize("per_second", [1.5, 3.0, 20.0])
def test_gate_opens_by_time_however_few_ask(per_second: float) -> None:
    """An overload of three seconds is over, at one of hundreds of entrances.

    It gets two requests per second on the route. When its share grew by a
    fixed amount for each of them, it refused lookups for ten more seconds
    although there was room.
    """
    gates = admission.Admission()
    rng = random.Random(3)
    now = 100.0
    while now < 103.0:
        admission.observe_load(gates, "s", 3.0, now)
        admission.admit(gates, "s", 0, now, rng)
        now += 0.1
    assert admission.gate_of(gates, "s").share < 0.1
    until = now + 3.5
    while now < until:
        admission.observe_load(gates, "s", 0.4, now)
        admission.admit(gates, "s", 0, now, rng)
        now += 1.0 / per_second
    assert admission.gate_of(gates, "s").share > 0.8
