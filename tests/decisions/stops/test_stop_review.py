"""Tests of faults that a review of the planned stop found."""

from __future__ import annotations

from sassafrasstair.decisions import stops


def test_request_past_its_deadline_is_not_taken() -> None:
    """A deadline in the past counted as one that ends in time."""
    stop = stops.begin(6.0, 100.0)
    arrival = stops.Arrival(99.0, 100.5, 0.2)
    assert not stops.may_take(stop, arrival, 102.0)
