"""Tests of the metrics page of the forwarder."""

from __future__ import annotations

import pytest

from sassafrasstair.forwarding import _counters


@pytest.mark.parametrize(
    "line",
    [
        'sassafrasstair_requests_total{importance="9",reason="answered",'
        'status="200"} 2',
        'sassafrasstair_attempts_total{how="queue_delay",service="s"} 1',
        'sassafrasstair_beliefs_total{what="store_lost"} 1',
        "sassafrasstair_leaving 0",
        'sassafrasstair_request_seconds_count{route="r"} 2',
    ],
)
def test_page_has_each_kind_of_line(line: str) -> None:
    counters = _counters.new_counters()
    for seconds in (0.1, 0.2):
        _counters.count_answer(counters, "r", 9, 200, "answered", seconds)
    _counters.count_attempt(counters, "s", "queue_delay")
    _counters.count_state_change(counters, "store_lost")
    page = _counters.render(counters, {"leaving": 0.0}).decode()
    assert line in page


def test_series_are_bounded() -> None:
    """A policy with hundreds of routes must not create as many histograms."""
    counters = _counters.new_counters()
    for serial in range(500):
        _counters.count_answer(counters, f"r{serial}", 9, 200, "answered", 0.1)
    assert len(counters.answer_seconds) <= _counters.ROUTES_MAX + 1
    assert sum(counters.answer_seconds["other"].counts) > 400
