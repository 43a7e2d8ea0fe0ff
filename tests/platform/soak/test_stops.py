"""Short soaks of planned stops under clients that keep connections open."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.soak import records
from tests.platform.soak import stops

SECONDS = 8.0
CASES = ((1, 2.0), (2, 4.0), (3, 6.0))
"""Seeds and grace periods in seconds."""


@pytest.mark.parametrize(("seed", "grace"), CASES)
def test_stop_under_kept_connections_loses_no_request(
    seed: int, grace: float
) -> None:
    """Requests taken late on connections that were idle used to be lost."""
    with records.kept_on_failure(f"stops-{seed}") as folder:
        report = asyncio.run(stops.run(seed, SECONDS, folder, grace=grace))
        assert report.broken == ()
        assert report.served > 0
