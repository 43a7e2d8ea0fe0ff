"""Tests that requests which outlast their time limits get all of it."""

from __future__ import annotations

import asyncio
import json
import random
import typing

from tests.platform.soak import clients
from tests.platform.soak import growing
from tests.platform.soak import mesh
from tests.platform.soak import records

if typing.TYPE_CHECKING:
    import pathlib

GRACE = 6.0
ROUTES = ("deep", "upload")
"""One of them is idempotent; neither makes calls."""
LIMITS_MS = (300, 1_500)
REQUESTS = 120
PAUSE = 0.01


def _left_at_limits(log: pathlib.Path) -> list[float]:
    """Return the time that requests had left whose limit is said to be over.

    It is in seconds, and negative if the limit was over.
    """
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    return [
        line["left"]
        for line in lines
        if line["event"] == "gave_up" and line["reason"] == "deadline_passed"
    ]


def test_requests_that_outlast_their_limits_are_not_ended_before() -> None:
    """Timers fire early; beside a stop that lost the answer of an instance."""

    async def test(folder: pathlib.Path) -> None:
        rng = random.Random(1)
        fleet = growing.Fleet(folder, rng, grace=GRACE)
        try:
            await fleet.open()
            vm = next(
                vm for vm in fleet.vms if vm.upstream.service == "ledger"
            )
            client = fleet.waiting_client(vm.host, vm.upstream.service)
            stop = asyncio.ensure_future(fleet.stop(vm))
            calls = []
            for _ in range(REQUESTS):
                limit = rng.randint(*LIMITS_MS) / 1000
                calls.append(
                    asyncio.ensure_future(_outlast(client, rng, limit))
                )
                await asyncio.sleep(PAUSE)
            statuses = await asyncio.gather(*calls)
            await stop
            assert statuses.count(504) > REQUESTS // 4
            fleet.oracle.check_losses()
            assert fleet.oracle.broken == []
            assert max(_left_at_limits(vm.log)) <= 0.0
        finally:
            await fleet.close()

    with records.kept_on_failure("limits") as folder:
        asyncio.run(test(folder))


async def _outlast(
    client: clients.Client, rng: random.Random, limit: float
) -> int:
    """Send a request that takes longer than its limit; return its status."""
    route = rng.choice(ROUTES)
    target = f"/{route}/{clients.new_key()}?work={limit + 1.0:.3f}"
    idempotent = mesh.KINDS[route].idempotent
    return await client.call(route, idempotent, limit, target)
