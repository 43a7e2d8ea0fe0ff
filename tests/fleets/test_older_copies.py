"""The store comes back from an older copy, and gives revisions out again."""

from __future__ import annotations

import asyncio

from sassafrasstair.decisions import views
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
BOUND = 2.0
STABLE_SECONDS = 3.0
"""After the store's return, until changes must be known in time again."""


async def _calm(fleet: Fleet) -> None:
    await fleet.start()
    await asyncio.sleep(2.0 * fleet.bound)


async def _bring_back_older(fleet: Fleet, lost: int, away: float) -> None:
    """Take the store away, and bring a copy back without the last changes."""
    copy = fleet.store.copy()
    for _ in range(lost):
        await fleet.spread()
    fleet.store.reset(fleet.hosts)
    await asyncio.sleep(away)
    missing = fleet.store.restore(copy)
    fleet.store.back()
    fleet.store.write_again(missing)
    await asyncio.sleep(STABLE_SECONDS)


def _targets(fleet: Fleet, key: str) -> list[str]:
    """Return the hosts of the daemons that would send work to an instance."""
    return [
        host
        for host, daemon in fleet.daemons.items()
        if key in {each.vm for each in views.targets(daemon.view, "s")}
    ]


def test_change_after_the_store_came_back_older_is_in_force_in_time() -> None:
    """Changes got revisions that the views held already, and were lost."""

    async def test() -> None:
        fleet = Fleet(16, 4, bound=BOUND)
        await _calm(fleet)
        await _bring_back_older(fleet, lost=4, away=2.5)
        for _ in range(4):
            assert await fleet.spread() < fleet.bound
            await asyncio.sleep(1.0)

    loops.run(test())


def test_instance_that_leaves_after_the_store_came_back_older() -> None:
    """The instance got work until its entry was removed."""

    async def test() -> None:
        fleet = Fleet(16, 4, bound=BOUND)
        await _calm(fleet)
        await _bring_back_older(fleet, lost=4, away=2.5)
        leaver = fleet.hosts[-1]
        fleet.entry(leaver, views.InstanceState.LEAVING)
        await asyncio.sleep(fleet.bound)
        assert not _targets(fleet, f"i-{leaver}")

    loops.run(test())
