"""Tests of the guards that a daemon keeps for its instances."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _guards


@pytest.mark.parametrize(
    ("slots", "usable"),
    [(1, 1), (8, 8), (11, 11), (12, 11), (14, 13), (16, 15), (33, 31)],
)
def test_slots_are_left_free_unless_there_are_few(
    slots: int, usable: int
) -> None:
    """An instance with 14 slots slows down when the last one is in use."""
    instance = views.Instance(
        "i",
        "prices",
        "10.0.0.1",
        80,
        3,
        "d",
        "r",
        slots,
        views.InstanceState.READY,
        0.0,
        9,
    )
    assert _guards._usable_slots(instance) == usable
