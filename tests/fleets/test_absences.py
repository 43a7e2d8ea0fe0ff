"""A change is in force in time after the store was away, however long."""

from __future__ import annotations

import asyncio

import pytest

from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
SERIES = 4
SERIES_SECONDS = 0.06
"""Changes that were held back while the store was away come one by one."""


async def _spread_after(fleet: Fleet, seconds: float) -> float:
    """Return how long changes take right after an absence of the store.

    The store falls silent right after a change, when all readers have just
    begun to watch again.
    """
    await fleet.start()
    await fleet.spread()
    await asyncio.sleep(2.0 * fleet.bound)
    await fleet.spread()
    await asyncio.sleep(0.3 * fleet.bound)
    fleet.store.leave(fleet.hosts)
    await asyncio.sleep(seconds)
    fleet.store.back()
    for _ in range(SERIES - 1):
        fleet.policy()
        await asyncio.sleep(SERIES_SECONDS)
    return await fleet.spread()


@pytest.mark.parametrize("seconds", [3.0, 8.6])
def test_change_after_an_absence_is_in_force_in_time(seconds: float) -> None:
    """Requests are handled by a policy that was replaced seconds before.

    The store gave no answer for a while; the changes that waited for it are
    confirmed at its return, one after the other. Daemons of all failure
    domains go on with what they knew before.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        assert await _spread_after(fleet, seconds) < fleet.bound

    loops.run(test())
