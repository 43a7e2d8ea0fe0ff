"""Choice of the instance by the objective of the request."""

from __future__ import annotations

import collections
import hashlib
import random
import typing

import pytest

from sassafrasstair.decisions import calls
from sassafrasstair.decisions.calls import _routing
from sassafrasstair.decisions.calls import _speeds
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

PAGE = calls.Need("page", 0.15)
# Seconds by instance: two are too slow for the objective at the p90.
UNEVEN = {"i0": 0.098, "i1": 0.049, "i2": 0.049, "i3": 0.033, "i4": 0.098}


TARGETS = tuple(calls.Target(f"i{k}", "s", f"d{k % 4}", "r") for k in range(5))


def _load(
    routes: calls.Routes, vm: str, now: float, busy: float, mean: float = 0.05
) -> None:
    report = calls.LoadReport(busy, limit=31.0, service_seconds=mean)
    answer = calls.Answer(outcomes.Outcome.DONE, load=report, incarnation=vm)
    calls.start_attempt(routes, vm, now)
    calls.end_attempt(routes, vm, answer, mean, now)


def _entrance(
    times: abc.Mapping[str, float],
    now: float = 1.0,
    busy: float = 0.5,
    domain: str = "d0",
) -> calls.Routes:
    """Return an entrance that all instances have told their load.

    ``times`` are the service times of the route that they reported.
    """
    routes = calls.Routes(domain, "r", try_unreachable=False)
    for target in TARGETS:
        _load(routes, target.vm, now, busy)
        if target.vm in times:
            calls.observe_route_seconds(
                routes, target.vm, "page", times[target.vm], now
            )
    return routes


def _picked(
    routes: calls.Routes,
    now: float,
    need: calls.Need | None = PAGE,
    targets: abc.Sequence[calls.Target] = TARGETS,
    tried: abc.Collection[str] = (),
) -> collections.Counter[str]:
    """Return how often of 1,000 times each instance is picked."""
    rng = random.Random(1)
    found = [
        calls.pick_target(routes, targets, tried, now, rng, need)
        for _ in range(1000)
    ]
    return collections.Counter(each.vm for each in found if each is not None)


def _play(
    count: int,
    seed: int,
    need: calls.Need | None,
    seconds: abc.Callable[[str], float] | None,
) -> str:
    """Return a digest of 400 picks under changing loads.

    ``seconds`` returns the time of the route that an instance reports.
    """
    routes = calls.Routes("d0", "r", try_unreachable=False)
    targets = tuple(
        calls.Target(f"i{k}", "s", f"d{k % 4}", "r" if k % 6 else "q")
        for k in range(count)
    )
    rng, world = random.Random(seed), random.Random(seed + 1)
    now = 1.0
    picked: list[str] = []
    for index in range(400):
        now += world.expovariate(200.0)
        tried = [picked[-1]] if index % 7 == 3 else []
        target = calls.pick_target(routes, targets, tried, now, rng, need)
        picked.append("" if target is None else target.vm)
        if target is None:
            continue
        calls.start_attempt(routes, target.vm, now)
        if not index % 3:
            continue
        vm = picked[world.randrange(len(picked))] or "i0"
        report = calls.LoadReport(
            world.uniform(0.3, 1.4),
            limit=31.0,
            service_seconds=world.uniform(0.02, 0.09),
        )
        answer = calls.Answer(
            outcomes.Outcome.DONE, load=report, incarnation=vm
        )
        calls.end_attempt(routes, vm, answer, 0.05, now)
        if seconds is not None:
            calls.observe_route_seconds(routes, vm, "page", seconds(vm), now)
    return hashlib.sha256(",".join(picked).encode()).hexdigest()[:16]


@pytest.mark.parametrize(
    ("count", "seed", "digest"),
    [
        (5, 1, "28578872c53824af"),
        (5, 2, "0abf7b988cc472a6"),
        (5, 3, "06ee35acea4eefb6"),
        (18, 1, "4ac84fd29b659aa0"),
        (18, 2, "a2857b84c20ea3d4"),
        (18, 3, "4040637c5d244e6d"),
    ],
)
@pytest.mark.parametrize(
    ("need", "seconds"),
    [
        (None, None),
        (PAGE, None),
        (calls.Need("other", 0.15), lambda vm: 0.098),
        (calls.Need("page", 0.3), lambda vm: UNEVEN[f"i{int(vm[1:]) % 5}"]),
        (calls.Need("page", 0.0), lambda vm: UNEVEN[f"i{int(vm[1:]) % 5}"]),
    ],
    ids=["no need", "no reports", "other route", "patient", "too late"],
)
def test_picks_are_those_without_objectives(
    count: int,
    seed: int,
    digest: str,
    need: calls.Need | None,
    seconds: abc.Callable[[str], float] | None,
) -> None:
    """The digests are of picks by the rule that knows no objectives.

    Older daemons report no times, and requests with a patient objective must
    not be drawn to the fast instances.
    """
    assert _play(count, seed, need, seconds) == digest


def test_picks_differ_where_an_instance_is_too_slow() -> None:
    """Without this the test above could pass without any effect."""
    times = UNEVEN.__getitem__
    assert _play(5, 1, PAGE, times) != "28578872c53824af"


def test_instances_too_slow_for_the_objective_get_probes_only() -> None:
    picked = _picked(_entrance(UNEVEN), 1.0)
    slow = picked["i0"] + picked["i4"]
    assert 0 < slow < 3 * _routing.PROBE_SHARE * 1000
    assert min(picked[vm] for vm in ("i1", "i2", "i3")) > 200


@pytest.mark.parametrize(
    ("domain", "first"), [("d1", "i1"), ("d2", "i2"), ("d3", "i3")]
)
def test_own_domain_first_among_those_in_time(domain: str, first: str) -> None:
    assert _picked(_entrance(UNEVEN, domain=domain), 1.0)[first] == 1000


@pytest.mark.parametrize(
    ("seconds", "left", "first"),
    [
        (0.0755, 0.15, "far"),
        (0.0745, 0.15, "near"),
        (0.074, 0.147, "far"),
        (0.074, 0.1499, "near"),
    ],
)
def test_objective_is_met_at_about_the_ninetieth_percentile(
    seconds: float, left: float, first: str
) -> None:
    """The others are fast; only the time left decides about the near one."""
    times = {vm: 0.03 for vm in UNEVEN} | {"i1": seconds}
    picked = _picked(
        _entrance(times, domain="d1"), 1.0, calls.Need("page", left)
    )
    assert (picked["i1"] > 900) is (first == "near")
    assert (picked["i1"] < 50) is (first == "far")


def test_crossing_has_a_cost() -> None:
    """The far instances would be in time but for the way there."""
    times = {vm: 0.0745 for vm in UNEVEN} | {"i1": 0.09}
    near_too = times | {"i0": 0.0745}
    picked = _picked(_entrance(near_too), 1.0)
    assert picked["i0"] + picked["i4"] == sum(picked.values())


def test_spill_over_among_those_in_time() -> None:
    """The own instance is in time but has no free slot."""
    routes = _entrance(UNEVEN, domain="d3")
    _load(routes, "i3", 1.0, 1.4)
    picked = _picked(routes, 1.0)
    assert picked["i1"] + picked["i2"] > 950


@pytest.mark.parametrize(
    ("busy", "first"), [(1.0, {"i1", "i2", "i3"}), (4.0, {"i0", "i4"})]
)
def test_least_completion_where_the_wait_is_too_long(
    busy: float, first: set[str]
) -> None:
    """The fast ones have no free slot, or a queue that costs more."""
    routes = _entrance(UNEVEN)
    for vm in ("i1", "i2", "i3"):
        _load(routes, vm, 1.0, busy)
    picked = _picked(routes, 1.0)
    assert sum(picked[vm] for vm in first) > 800


def test_least_completion_where_none_can_meet_the_objective() -> None:
    """A sample is drawn, so that not all requests go to the fastest one.

    Four draws of five find only the two slow ones 26 times in 1,000, and 20
    are probes.
    """
    times = {vm: 4.0 * seconds for vm, seconds in UNEVEN.items()}
    picked = _picked(_entrance(times), 1.0)
    assert picked["i3"] > 500
    assert picked["i1"] + picked["i2"] > 200
    assert picked["i0"] + picked["i4"] < 2 * (26 + 20)


@pytest.mark.parametrize(
    ("near", "stays"), [(0.11, True), (0.1, True), (0.15, False)]
)
def test_near_instance_first_among_equals_that_miss_the_objective(
    near: float, stays: bool
) -> None:
    """A service behind it has become slow, so that no instance can meet it.

    Small differences must not draw all requests out of their domains.
    """
    times = {vm: 0.1 for vm in UNEVEN} | {"i1": near}
    picked = _picked(_entrance(times, domain="d1"), 1.0)
    assert (picked["i1"] > 900) is stays
    assert (picked["i1"] < 100) is not stays


def test_attempts_sent_but_not_answered_count() -> None:
    """All entrances see the same old loads; each spreads its own requests."""
    routes = _entrance(UNEVEN)
    rng = random.Random(1)
    picked: collections.Counter[str] = collections.Counter()
    for _ in range(45):
        target = calls.pick_target(routes, TARGETS, (), 1.0, rng, PAGE)
        assert target is not None
        calls.start_attempt(routes, target.vm, 1.0)
        picked[target.vm] += 1
    fast = [picked[vm] for vm in ("i1", "i2", "i3")]
    assert max(fast) - min(fast) <= 6


def test_instance_without_a_report_is_taken_for_a_usual_one() -> None:
    """It is found out by its first requests, not left out."""
    known = {vm: UNEVEN[vm] for vm in ("i1", "i2", "i3", "i4")}
    picked = _picked(_entrance(known), 1.0)
    assert picked["i0"] > 900
    assert picked["i4"] < 50


@pytest.mark.parametrize(
    ("age", "is_known"), [(5.0, True), (29.9, True), (40.0, False)]
)
def test_old_reports_decay_to_the_median(age: float, is_known: bool) -> None:
    """The slow ones have reported nothing for a while, the others have."""
    routes = _entrance(UNEVEN)
    now = 1.0 + age
    for vm in ("i1", "i2", "i3"):
        _load(routes, vm, now, 0.5)
        calls.observe_route_seconds(routes, vm, "page", UNEVEN[vm], now)
    picked = _picked(routes, now)
    assert (picked["i0"] + picked["i4"] < 50) is is_known


def test_all_reports_are_stale() -> None:
    """The rule without objectives holds until a request is answered."""
    routes = _entrance(UNEVEN)
    now = 90.0
    assert _picked(routes, now) == _picked(routes, now, None)
    calls.observe_route_seconds(routes, "i0", "page", 0.098, now)
    calls.observe_route_seconds(routes, "i1", "page", 0.049, now)
    assert _picked(routes, now + 0.2)["i0"] < 50


def test_idle_entrance_still_knows_the_slow_ones_after_a_second() -> None:
    routes = _entrance(UNEVEN)
    assert _picked(routes, 2.1)["i0"] < 50


def test_restarted_instance_begins_anew() -> None:
    routes = _entrance(UNEVEN)
    assert _picked(routes, 1.0)["i0"] < 50
    calls.record_restart(routes, "i0", 1.1)
    assert _picked(routes, 1.1)["i0"] > 900


def test_times_are_forgotten_with_the_instance() -> None:
    routes = _entrance(UNEVEN)
    assert calls.probe_due(routes, 100.0) == []
    assert not routes.peers
    calls.observe_route_seconds(routes, "i0", "page", 0.1, 100.0)
    assert not routes.peers


def test_times_are_bounded() -> None:
    routes = _entrance(UNEVEN)
    for index in range(2 * _speeds.ROUTES_MAX):
        calls.observe_route_seconds(routes, "i0", f"r{index}", 0.1, 1.0)
        calls.observe_route_seconds(routes, "i0", "page", 0.098, 1.0)
    times = routes.peers["i0"].route_times
    assert len(times) == _speeds.ROUTES_MAX
    assert "page" in times
    assert "r0" not in times


@pytest.mark.parametrize("gone", ["left", "ejected"])
def test_only_fast_instance_is_gone(gone: str) -> None:
    """All others are too slow; the soonest of them is taken."""
    times = {"i0": 0.2, "i1": 0.1, "i2": 0.3, "i3": 0.033, "i4": 0.3}
    routes = _entrance(times)
    assert _picked(routes, 1.0)["i3"] > 950
    targets = TARGETS
    if gone == "left":
        targets = tuple(each for each in TARGETS if each.vm != "i3")
    else:
        calls.eject(routes, "i3")
    picked = _picked(routes, 1.0, targets=targets)
    assert picked["i1"] > 500
    assert picked["i3"] == 0
    assert sum(picked.values()) == 1000


def test_repeat_goes_to_another_one_in_time() -> None:
    picked = _picked(_entrance(UNEVEN), 1.0, tried=["i1", "i2"])
    assert picked["i3"] > 950
    assert _picked(_entrance(UNEVEN), 1.0, tried=list(UNEVEN)) == {}


def test_choice_tells_what_can_be_expected() -> None:
    routes = _entrance(UNEVEN, domain="d3")
    rng = random.Random(1)
    choice = calls.choose(routes, TARGETS, (), 1.0, rng, PAGE)
    assert choice is not None
    assert choice.completion == pytest.approx(0.066)
    assert 0.0 < choice.expected_delay < 0.02


@pytest.mark.parametrize(
    ("need", "reason"),
    [
        (None, calls.CrossingReason.BUSY),
        (calls.Need("page", 0.3), calls.CrossingReason.BUSY),
        (PAGE, calls.CrossingReason.OBJECTIVE),
    ],
)
def test_reason_for_crossing(
    need: calls.Need | None, reason: calls.CrossingReason
) -> None:
    found = calls.reason_for_crossing(
        _entrance(UNEVEN), TARGETS, TARGETS[1], (), 1.0, need
    )
    assert found is reason
