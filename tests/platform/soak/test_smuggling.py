"""A short soak of clients that hide requests in others."""

from __future__ import annotations

import asyncio

from tests.platform.soak import records
from tests.platform.soak import smuggling

SECONDS = 6.0
HIDDEN_MIN = 50


def test_instances_run_no_request_that_was_hidden_in_another() -> None:
    with records.kept_on_failure("smuggling") as folder:
        hidden = asyncio.run(smuggling.run(1, SECONDS, folder))
        assert hidden >= HIDDEN_MIN
