"""A short soak of a call graph, with signals and policies in series."""

from __future__ import annotations

import asyncio

from tests.platform.soak import mesh
from tests.platform.soak import records

SEED = 3
SECONDS = 8.0
GRACE = 6.0


def test_stops_beside_chains_and_uploads_lose_no_request() -> None:
    """Runs that took longer than any before were cut by a stop."""
    with records.kept_on_failure("mesh") as folder:
        report = asyncio.run(mesh.run(SEED, SECONDS, folder, grace=GRACE))
        assert report.broken == ()
        assert report.served > 0


def test_stops_lose_no_request_of_clients_that_read_in_time() -> None:
    """Beside clients that read too late, other losses would be hidden."""
    with records.kept_on_failure("mesh") as folder:
        report = asyncio.run(
            mesh.run(SEED, SECONDS, folder, 1, GRACE, mesh.PromptClient)
        )
        assert report.broken == ()
        assert report.served > 0
