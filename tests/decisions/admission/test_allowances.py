"""Tests of admission by cost at services that are short of room."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import admission
from sassafrasstair.decisions.admission import _allowances
from sassafrasstair.decisions import costs

UPDATE = _allowances.UPDATE_SECONDS
LISTING, BOARD, ORDER = ("listing", 5), ("board", 5), ("order", 7)
SECONDS = {"listing": 0.1, "board": 0.35, "order": 0.2}


def _play(
    allowances: admission.Allowances,
    offered: float,
    seconds: float,
    start: float = 0.0,
    wait: float = 0.0,
    services: tuple[str, ...] = ("prices",),
) -> float:
    """Ask for 100 requests of each kind a second; return the end."""
    rng = random.Random(1)
    now = start
    while now < start + seconds:
        now += 0.01
        for kind in (LISTING, BOARD, ORDER):
            admission.admit_kind(allowances, kind, now, rng)
            reports = [
                costs.ServiceCost(service, SECONDS[kind[0]], offered, wait)
                for service in services
            ]
            admission.observe_costs(allowances, kind[0], reports, now)
    return now


def _shares(allowances: admission.Allowances) -> list[float]:
    return [
        admission.share_of(allowances, kind)
        for kind in (ORDER, LISTING, BOARD)
    ]


def test_expensive_kind_is_cut_first_within_an_importance() -> None:
    """Two kinds of one importance differ in cost at the last service.

    Each request of the expensive kind takes the room of several others.
    """
    allowances = admission.Allowances()
    _play(allowances, 1.3, 1.5)
    order, listing, board = _shares(allowances)
    assert order == listing == 1.0
    assert board < 0.9


def test_important_kind_is_cut_last_whatever_it_costs() -> None:
    allowances = admission.Allowances()
    _play(allowances, 1.5, 5.0)
    order, listing, board = _shares(allowances)
    assert order > listing >= board


@pytest.mark.parametrize("seconds", [3.0, 10.0, 30.0])
def test_no_kind_is_starved(seconds: float) -> None:
    """An overload that lasts cuts the cheapest to serve as well."""
    allowances = admission.Allowances()
    _play(allowances, 2.0, seconds)
    fraction = allowances.rooms["prices"].fraction
    least = _allowances.LEAST_SHARE * fraction
    assert min(_shares(allowances)) >= 0.99 * least
    assert fraction >= _allowances.MIN_FRACTION


@pytest.mark.parametrize("offered", [0.6, 0.8, 0.95])
def test_nothing_is_refused_while_there_is_room(offered: float) -> None:
    allowances = admission.Allowances()
    _play(allowances, offered, 5.0)
    assert _shares(allowances) == [1.0, 1.0, 1.0]


def test_waits_lower_the_fraction_though_no_more_work_arrives() -> None:
    """A queue that stands is not drained by work that just fits."""
    allowances = admission.Allowances()
    _play(allowances, 1.0, 3.0, wait=0.1)
    assert allowances.rooms["prices"].fraction < 0.99


def test_fraction_comes_back_soon_after_an_overload() -> None:
    """Half of the service's instances crash and come back after 5 s."""
    allowances = admission.Allowances()
    now = _play(allowances, 2.0, 5.0)
    assert allowances.rooms["prices"].fraction < 0.5
    _play(allowances, 0.5, 4.0, now)
    assert _shares(allowances) == [1.0, 1.0, 1.0]


def test_service_that_is_no_longer_reported_has_room() -> None:
    """An answer leaves out services without much work."""
    allowances = admission.Allowances()
    now = _play(allowances, 2.0, 5.0)
    _play(allowances, 0.0, 5.0, now, services=())
    assert _shares(allowances) == [1.0, 1.0, 1.0]


def test_requests_are_admitted_again_without_any_reports() -> None:
    """Guards against a share that stays down when all answers fail."""
    allowances = admission.Allowances()
    now = _play(allowances, 3.0, 8.0)
    rng = random.Random(1)
    for _ in range(400):
        now += 0.01
        admission.admit_kind(allowances, LISTING, now, rng)
    assert admission.share_of(allowances, LISTING) == 1.0
    assert not admission.covers(allowances, "listing")


def test_bottleneck_moves_to_another_service() -> None:
    """Kinds that don't use the new bottleneck are let in again."""
    allowances = admission.Allowances()
    now = _play(allowances, 2.0, 4.0)
    rng = random.Random(1)
    for _ in range(300):
        now += 0.01
        for kind in (LISTING, BOARD, ORDER):
            admission.admit_kind(allowances, kind, now, rng)
            reports = []
            if kind is ORDER:
                reports = [costs.ServiceCost("ledger", 0.1, 2.0, 0.1)]
            admission.observe_costs(allowances, kind[0], reports, now)
    order, listing, board = _shares(allowances)
    assert order < 0.7
    assert listing == board == 1.0


@pytest.mark.parametrize("reported", [(), ("prices",)])
def test_routes_without_reports_are_not_covered(
    reported: tuple[str, ...],
) -> None:
    """Daemons of the version before report no costs."""
    allowances = admission.Allowances()
    _play(allowances, 1.2, 1.0, services=reported)
    assert admission.covers(allowances, "listing") is bool(reported)
    assert not admission.covers(allowances, "other")


def test_entrance_with_few_requests_settles() -> None:
    """An entrance gets two requests a second; its share must not jump."""
    allowances = admission.Allowances()
    rng = random.Random(1)
    shares = []
    now = 0.0
    for _ in range(120):
        now += 0.5
        for kind in (LISTING, BOARD):
            admission.admit_kind(allowances, kind, now, rng)
            report = costs.ServiceCost("prices", SECONDS[kind[0]], 1.0, 0.02)
            admission.observe_costs(allowances, kind[0], [report], now)
        shares.append(admission.share_of(allowances, LISTING))
    assert min(shares[60:]) > 0.5 * max(shares[60:])
