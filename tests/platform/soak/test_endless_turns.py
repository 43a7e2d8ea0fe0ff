"""Short soaks of instances that send bytes without end by turns."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.soak import endless_turns
from tests.platform.soak import records

SECONDS = 8.0
CASES = ((1, 2.0), (2, 6.0))
"""Seeds and grace periods in seconds."""


@pytest.mark.parametrize(("seed", "grace"), CASES)
def test_bytes_without_end_around_stops_cost_no_other_request(
    seed: int, grace: float
) -> None:
    """A daemon ended for its memory, and the requests of others with it."""
    with records.kept_on_failure(f"endless-{seed}") as folder:
        work = endless_turns.run(seed, SECONDS, folder, grace=grace)
        report = asyncio.run(work)
        assert report.broken == ()
        assert report.served > 0
