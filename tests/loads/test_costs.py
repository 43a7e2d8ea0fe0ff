"""Kinds of request that differ in cost meet at a service without room."""

from __future__ import annotations

import math
import typing

import pytest

from tests.loads import chains

if typing.TYPE_CHECKING:
    from collections import abc

SEED = 1
SECONDS = 18
SPEEDS = (0.5, 1.0, 1.0, 1.5)
SLOTS = 14


def _kinds(load: float) -> tuple[chains.Kind, ...]:
    """Return kinds whose work is 0.76 of the room at a ``load`` of 1."""
    return (
        chains.Kind(
            "listing",
            7,
            157.0 * load,
            1.0,
            own_seconds=0.1,
            timeout=1.5,
            call_seconds=0.026,
        ),
        chains.Kind(
            "order",
            9,
            63.0 * load,
            3.0,
            row_calls=8,
            own_seconds=0.14,
            timeout=1.5,
            call_seconds=0.026,
        ),
        chains.Kind(
            "board",
            7,
            37.5 * load,
            1.0,
            row_calls=1,
            own_seconds=0.001,
            timeout=1.25,
            call_seconds=0.353,
        ),
    )


def _steady(now: float) -> float:
    return 1.0


def _wave(now: float) -> float:
    """Return the demand of a swing by 0.55 every 13 s."""
    return 1.0 + 0.55 * math.sin(2 * math.pi * now / 13.0)


def _play(
    load: float, surge: abc.Callable[[float], float], by_cost: bool
) -> chains.Chain:
    chain = chains.Chain(
        SEED,
        kinds=_kinds(load),
        speeds=SPEEDS,
        slots=SLOTS,
        entrances=16,
        by_cost=by_cost,
    )
    chain.surge = surge
    chain.run(float(SECONDS))
    return chain


@pytest.mark.parametrize(
    ("load", "surge"), [(1.1, _steady), (1.5, _steady), (1.1, _wave)]
)
def test_admission_by_cost_serves_more(
    load: float, surge: abc.Callable[[float], float]
) -> None:
    """One kind takes 0.35 s of the scarce slots, another one 0.1 s.

    Both have the same importance. To refuse one request of the first lets in
    three of the second.
    """
    before = _play(load, surge, by_cost=False)
    after = _play(load, surge, by_cost=True)
    assert after.worth(2, SECONDS - 2) > before.worth(2, SECONDS - 2) + 0.02
    orders = after.tallies["order"].share(2, SECONDS - 2)
    assert orders > 0.98


def test_expensive_kind_is_not_starved() -> None:
    chain = _play(1.5, _steady, by_cost=True)
    shares = {
        name: tally.share(2, SECONDS - 2)
        for name, tally in chain.tallies.items()
    }
    assert shares["board"] > 0.25 * shares["listing"]


def test_nothing_is_refused_below_the_room() -> None:
    chain = _play(0.8, _steady, by_cost=True)
    assert chain.worth(2, SECONDS - 2) > 0.98
