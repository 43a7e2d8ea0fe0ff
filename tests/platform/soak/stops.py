"""A soak of planned stops only, under clients that keep connections open."""

from __future__ import annotations

import asyncio
import random
import typing

from tests.platform.soak import faults
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import records
from tests.platform.soak import scenario

if typing.TYPE_CHECKING:
    import pathlib

KEEPERS = 30
TOGETHER = (1, 3)
"""How many daemons stop at about the same time."""
SPREAD_SECONDS = 1.0
SETTLE_SECONDS = 2.0


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    copies: int = 1,
    grace: float = 0.0,
) -> scenario.Report:
    """Run one soak; all that is drawn comes from the seed."""
    rng = random.Random(seed)
    grace = grace or rng.choice(scenario.GRACES)
    fleet = fleet_module.Fleet(folder, rng, copies, grace)
    try:
        await fleet.open()
        traffic = asyncio.ensure_future(scenario.send_traffic(fleet))
        keepers = kept.keep_connections(fleet, KEEPERS)
        await _stop_again(fleet, seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        keepers.cancel()
        traffic.cancel()
        fleet.check_alive()
        fleet.oracle.check_losses()
        fleet.oracle.check_drains()
        fleet.oracle.check_departures()
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    return scenario.report(seed, fleet)


async def _stop_again(fleet: fleet_module.Fleet, seconds: float) -> None:
    """Stop daemons until the time is over, once at least."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    await asyncio.sleep(fleet.rng.uniform(1.0, 2.0))
    while True:
        count = fleet.rng.randint(*TOGETHER)
        vms = fleet.rng.sample(fleet.vms, count)
        await asyncio.gather(*(_stop_later(fleet, vm) for vm in vms))
        if loop.time() >= until:
            return


async def _stop_later(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    await asyncio.sleep(fleet.rng.uniform(0.0, SPREAD_SECONDS))
    fleet.note_fault(f"stop {vm.name}")
    vm.busy = True
    await faults.stop(fleet, vm)
    vm.busy = False
