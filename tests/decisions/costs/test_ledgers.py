"""Tests of the costs that a daemon reports for a route."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import costs


def _ledger(calls: int, offered: float = 1.2) -> costs.Ledger:
    """Return the ledger of a VM whose upstream makes calls of 0.025 s."""
    ledger = costs.Ledger()
    now = 0.0
    for _ in range(60):
        for _ in range(calls):
            costs.call_started(ledger.chains, b"c", "read", now)
            now += 0.03
            costs.call_answered(ledger.chains, b"c", now)
            report = costs.ServiceCost("prices", 0.025, offered, 0.04)
            costs.observe_costs(ledger, "read", [report], now)
            now += 0.001
        costs.run_ended(ledger.chains, "listing", True, now)
        now += 0.05
    return ledger


@pytest.mark.parametrize("calls", [1, 4, 8])
def test_cost_is_that_of_all_calls(calls: int) -> None:
    ledger = _ledger(calls)
    now = 60 * (calls * 0.031 + 0.05)
    (cost,) = costs.costs_of_route(ledger, "listing", None, now)
    assert cost.service == "prices"
    assert cost.slot_seconds == pytest.approx(calls * 0.025, rel=0.1)
    assert cost.offered == pytest.approx(1.2)
    assert cost.wait_seconds == pytest.approx(0.04)


def test_services_with_room_are_not_reported() -> None:
    """Nothing is sent while no service is short of room."""
    ledger = _ledger(4, offered=0.5)
    own = costs.ServiceCost("catalogue", 0.1, 0.4, 0.0)
    now = 60 * (4 * 0.031 + 0.05)
    assert costs.costs_of_route(ledger, "listing", own, now) == ()


def test_own_cost_and_calls_to_the_same_service_add_up() -> None:
    ledger = _ledger(2)
    own = costs.ServiceCost("prices", 0.1, 0.9, 0.01)
    now = 60 * (2 * 0.031 + 0.05)
    (cost,) = costs.costs_of_route(ledger, "listing", own, now)
    assert cost.slot_seconds == pytest.approx(0.15, rel=0.1)
    assert cost.offered == pytest.approx(1.2)


def test_old_reports_are_dropped() -> None:
    """Guards against an overload that is reported after all calls ended."""
    ledger = _ledger(4)
    now = 60 * (4 * 0.031 + 0.05) + 1.0
    assert costs.costs_of_route(ledger, "listing", None, now) == ()


@pytest.mark.parametrize(
    ("per_second", "share"), [(100.0, 0.25), (400.0, 1.0), (800.0, 2.0)]
)
def test_offered_work_is_a_share_of_the_room(
    per_second: float, share: float
) -> None:
    demand = costs.Demand()
    now = 0.0
    for _ in range(int(3 * per_second)):
        now += 1.0 / per_second
        costs.record_offer(demand, 0.05, now)
    assert costs.offered_share(demand, 20.0, now) == pytest.approx(
        share, rel=0.1
    )


def test_work_that_an_instance_refuses_needs_no_room() -> None:
    """An instance that rejects half of its requests at once is not full."""
    demand = costs.Demand()
    now = 0.0
    for number in range(1200):
        now += 0.0025
        costs.record_offer(demand, 0.05, now)
        if number % 2:
            costs.withdraw_offer(demand, 0.05, now)
    assert costs.offered_share(demand, 20.0, now) == pytest.approx(
        0.5, rel=0.15
    )
