from __future__ import annotations

import collections
import random

import pytest

from sassafrasstair.decisions import calls
from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _routing
from sassafrasstair import outcomes

HERE, THERE = "domain-a", "domain-b"
NEAR = calls.Target("near", "ledger", HERE, "region")
FAR = [
    calls.Target(f"far-{index}", "ledger", THERE, "region")
    for index in range(3)
]
TARGETS = [NEAR, *FAR]
LOST = calls.Answer(outcomes.Outcome.UNKNOWN, outcomes.Reason.PEER_UNREACHABLE)


def _report_load(
    routes: _peers.Routes,
    vm: str,
    busy: float,
    now: float,
    service: float = 0.1,
) -> None:
    reported = calls.LoadReport(busy=busy, limit=20.0, service_seconds=service)
    answer = calls.Answer(
        outcomes.Outcome.DONE, load=reported, incarnation="one"
    )
    _peers.start_attempt(routes, vm, now)
    _peers.end_attempt(routes, vm, answer, 0.1, now)


def _picked(routes: _peers.Routes, now: float) -> collections.Counter[str]:
    rng = random.Random(1)
    found = [
        _routing.pick_target(routes, TARGETS, (), now, rng) for _ in range(100)
    ]
    return collections.Counter(target.vm for target in found if target)


def _fail(routes: _peers.Routes, vm: str, now: float) -> None:
    for _ in range(_peers.FAILURES_TO_EJECT):
        _peers.start_attempt(routes, vm, now)
        _peers.end_attempt(routes, vm, LOST, 0.0, now)


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [(0.5, 0.1, "near"), (1.5, 0.5, "far"), (1.5, 1.8, "near")],
)
def test_own_domain_first_with_spill_over(
    near: float, far: float, expected: str
) -> None:
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", near, 1.0)
    for target in FAR:
        _report_load(routes, target.vm, far, 1.0)
    picked = _picked(routes, 1.0)
    assert all(vm.startswith(expected) for vm in picked)


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [(0.1, 0.05, "near"), (1.2, 0.1, "far"), (0.1, 1.2, "near")],
)
def test_slow_instance_is_left_for_a_quick_one(
    near: float, far: float, expected: str
) -> None:
    """The instance in the own domain takes twelve times as long as others.

    It has free slots, so by load alone it would get all calls of its domain,
    and they would take longer than their callers can wait. Instances with
    smaller differences in speed are not avoided.
    """
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", 0.5, 1.0, near)
    for target in FAR:
        _report_load(routes, target.vm, 0.5, 1.0, far)
    picked = _picked(routes, 1.0)
    assert all(vm.startswith(expected) for vm in picked)


def _answer_for_a_while(
    routes: _peers.Routes, near: float, far: float
) -> float:
    """Let all instances answer for 2 s; return the time of the last answer."""
    now = 1.0
    for _ in range(100):
        now += 0.02
        _report_load(routes, "near", 0.5, now, near)
        for target in FAR:
            _report_load(routes, target.vm, 0.5, now, far)
    return now


def test_instance_that_is_slow_by_nature_keeps_its_domain() -> None:
    """Instances differ in speed by a factor of three, and service times vary.

    If the slow instance of a domain is taken for an outlier, calls leave the
    domain without being answered sooner, and traffic between domains is
    expensive. This happened to a third of the calls under normal load.
    """
    routes = _peers.Routes(HERE, "region")
    now = _answer_for_a_while(routes, near=0.06, far=0.02)
    _report_load(routes, "near", 0.5, now, 0.09)
    assert set(_picked(routes, now)) == {"near"}


@pytest.mark.parametrize("near", [0.02, 0.06])
def test_instance_that_has_become_slow_is_left_soon(near: float) -> None:
    """An instance becomes five times as slow, and the others do not change."""
    routes = _peers.Routes(HERE, "region")
    now = _answer_for_a_while(routes, near=near, far=0.02)
    _report_load(routes, "near", 0.5, now + 0.1, 5.0 * near)
    assert "near" not in _picked(routes, now + 0.1)


def test_slow_instance_is_asked_again_after_a_while() -> None:
    """Without calls, nothing would show that the instance is fast again."""
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", 0.5, 1.0, 1.2)
    for at in (1.0, 2.2):
        for target in FAR:
            _report_load(routes, target.vm, 0.5, at)
    assert set(_picked(routes, 2.2)) == {"near"}


def test_only_a_ping_brings_an_ejected_instance_back() -> None:
    routes = _peers.Routes(HERE, "region")
    _fail(routes, "near", 1.0)
    assert "near" not in _picked(routes, 50.0)
    assert calls.probe_due(routes, 1.0) == ["near"]
    assert calls.probe_due(routes, 1.05) == []
    calls.probe_ended(routes, "near", True, 1.1)
    assert "near" in _picked(routes, 1.1)


def test_own_network_fault_does_not_eject_all() -> None:
    """A fault in a VM's own network must not make it refuse everything.

    All attempts fail at once, so that every instance looks broken.
    """
    routes = _peers.Routes(HERE, "region")
    for target in TARGETS:
        _fail(routes, target.vm, 1.0)
    assert sum(_picked(routes, 1.0).values()) == 100
    for target in TARGETS:
        calls.probe_ended(routes, target.vm, False, 1.2)
    assert sum(_picked(routes, 1.2).values()) == 100


def test_nothing_is_sent_where_no_ping_is_answered() -> None:
    """A failure domain is cut off and has no instance of a service.

    If calls were still sent, each would wait for four connections that can't
    be made, or would be lost on a kept connection, and its client could not
    retry it. The first answered ping makes the service usable again.
    """
    routes = _peers.Routes(HERE, "region", try_unreachable=False)
    for target in TARGETS:
        _fail(routes, target.vm, 1.0)
        calls.probe_ended(routes, target.vm, False, 1.2)
    assert not _picked(routes, 1.2)
    assert set(calls.probe_due(routes, 1.7)) == {t.vm for t in TARGETS}
    calls.probe_ended(routes, "far-1", True, 1.71)
    assert _picked(routes, 1.71) == {"far-1": 100}


def test_cut_off_domain_uses_its_own() -> None:
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", 3.0, 1.0)
    for target in FAR:
        _fail(routes, target.vm, 1.0)
        calls.probe_ended(routes, target.vm, False, 1.1)
    assert set(_picked(routes, 1.1)) == {"near"}


def test_silent_instance_is_pinged_at_once() -> None:
    """A VM disappears without notice while attempts to it are under way.

    If the entrance waited for their deadlines before it pinged the VM, it
    would send more work there for seconds.
    """
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", 0.1, 1.0)
    _peers.start_attempt(routes, "near", 1.0)
    assert calls.probe_due(routes, 1.05) == []
    assert calls.probe_due(routes, 1.2) == ["near"]
    calls.probe_ended(routes, "near", False, 1.3)
    assert "near" not in _picked(routes, 1.3)


def test_silent_instance_gets_nothing_while_its_ping_is_under_way() -> None:
    """The VM of the instance in the own domain disappears.

    A ping takes up to half a second. If calls were still sent to the VM
    meanwhile, those that must not run twice would be lost.
    """
    routes = _peers.Routes(HERE, "region")
    _report_load(routes, "near", 0.1, 1.0)
    _peers.start_attempt(routes, "near", 1.0)
    assert set(_picked(routes, 1.05)) == {"near"}
    assert "near" not in _picked(routes, 1.2)
    assert calls.probe_due(routes, 1.2) == ["near"]
    assert "near" not in _picked(routes, 1.4)
    calls.probe_ended(routes, "near", True, 1.4)
    assert set(_picked(routes, 1.4)) == {"near"}


def test_gone_instances_are_forgotten() -> None:
    routes = _peers.Routes(HERE, "region")
    _fail(routes, "near", 1.0)
    assert calls.probe_due(routes, 100.0) == []
    assert not routes.peers


def test_instance_that_started_again_is_judged_anew() -> None:
    """An instance failed, was ejected and has restarted under the same id.

    It must be usable at once, without the load, latency and failures that
    were recorded before the restart.
    """
    routes = _peers.Routes(HERE, "region", try_unreachable=False)
    _report_load(routes, "near", 5.0, 1.0, service=3.0)
    _fail(routes, "near", 1.1)
    _peers.start_attempt(routes, "near", 1.1)
    _peers.probe_ended(routes, "near", alive=False, now=1.2)
    assert "near" not in _picked(routes, 1.3)
    _peers.record_restart(routes, "near", 1.3)
    assert set(_picked(routes, 1.3)) == {"near"}
    assert routes.peers["near"].in_flight == 1
    _peers.record_restart(routes, "unknown", 1.3)
    assert "unknown" not in routes.peers


def test_instance_that_reported_a_tiny_limit_is_called_again() -> None:
    """Otherwise no answer would ever show that its rate limit is gone."""
    routes = _peers.Routes(HERE, "region")
    tiny = calls.LoadReport(busy=0.0, limit=0.1, service_seconds=0.1)
    answer = calls.Answer(outcomes.Outcome.DONE, load=tiny, incarnation="one")
    for target in TARGETS:
        _report_load(routes, target.vm, 0.0, 0.0)
    _peers.start_attempt(routes, NEAR.vm, 0.0)
    _peers.end_attempt(routes, NEAR.vm, answer, 0.1, 0.0)
    assert not _picked(routes, 0.5)[NEAR.vm]
    assert _picked(routes, 1.5)[NEAR.vm]


LEAVING = calls.Answer(
    outcomes.Outcome.NOT_RUN, outcomes.Reason.LEAVING, incarnation="one"
)


def _refuse_as_leaving(routes: _peers.Routes, vm: str) -> None:
    _peers.start_attempt(routes, vm, 1.0)
    _peers.end_attempt(routes, vm, LEAVING, 0.0, 1.0)


@pytest.mark.parametrize(
    ("leaving", "tried", "expected"),
    [
        ((), (), {None}),
        (("far-0",), (), {"far-0"}),
        (("near", "far-0"), (), {"near"}),
        (("near", "far-0"), ("near",), {"far-0"}),
        (("near",), ("near",), {None}),
    ],
)
def test_leaving_instances_are_the_last_resort(
    leaving: tuple[str, ...], tried: tuple[str, ...], expected: set[str | None]
) -> None:
    routes = _peers.Routes(HERE, "region")
    for vm in leaving:
        _refuse_as_leaving(routes, vm)
    rng = random.Random(1)
    choices = [
        _routing.choose_leaving(routes, TARGETS, tried, 1.1, rng)
        for _ in range(20)
    ]
    found = {choice.target.vm if choice else None for choice in choices}
    assert found == expected


@pytest.mark.parametrize(
    ("alive", "leaving", "expected"),
    [(True, False, False), (False, True, True), (False, False, False)],
)
def test_ping_tells_whether_a_daemon_still_stops(
    alive: bool, leaving: bool, expected: bool
) -> None:
    routes = _peers.Routes(HERE, "region")
    _refuse_as_leaving(routes, "near")
    _peers.probe_ended(routes, "near", alive, 1.2, leaving)
    assert _peers.is_leaving(routes, "near") is expected


@pytest.mark.parametrize(
    ("accepted", "ejected", "waiting", "tried", "expected"),
    [
        ((), (), 0, (), {None}),
        (("far-0",), (), 0, (), {"far-0"}),
        (("near", "far-0"), (), 0, (), {"near"}),
        (("near", "far-0"), (), 0, ("near",), {"far-0"}),
        (("near",), (), 19, (), {"near"}),
        (("near",), (), 20, (), {None}),
        (("near",), ("near",), 0, (), {None}),
    ],
)
def test_requests_wait_at_stalled_daemons_whose_vms_are_there(
    accepted: tuple[str, ...],
    ejected: tuple[str, ...],
    waiting: int,
    tried: tuple[str, ...],
    expected: set[str | None],
) -> None:
    """No ping is answered; some VMs accept them.

    No more wait than the instance can run at once.
    """
    routes = _peers.Routes(HERE, "region", try_unreachable=False)
    for target in TARGETS:
        _report_load(routes, target.vm, 0.1, 1.0)
        for _ in range(waiting):
            _peers.start_attempt(routes, target.vm, 1.0)
        calls.probe_ended(
            routes, target.vm, False, 1.2, stalled=target.vm in accepted
        )
        if target.vm in ejected:
            calls.eject(routes, target.vm)
    rng = random.Random(1)
    choices = [
        _routing.choose_stalled(routes, TARGETS, tried, 1.2, rng)
        for _ in range(20)
    ]
    found = {choice.target.vm if choice else None for choice in choices}
    assert found == expected
    assert not _picked(routes, 1.2)
    calls.probe_ended(routes, "near", True, 1.3)
    assert not _peers.may_wait_at(routes, "near")
