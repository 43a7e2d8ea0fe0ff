"""A soak in which all daemons lose power at one moment, again and again.

The store may be away meanwhile, or come back from an older copy. Instances say
that they leave before, during and after the loss; some lose power as well.
"""

from __future__ import annotations

import asyncio
import random
import typing

from tests.platform.soak import faults
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import records
from tests.platform.soak import scenario

if typing.TYPE_CHECKING:
    import pathlib

STORE_STATES = ("", "away", "older")
AWAY_MODES = ("busy", "reset", "silent")
LEAVE_SECONDS = (0.0, 6.0)
"""When an instance begins to leave; power is lost after half of it."""
INSTANCE_SHARE = 0.3
"""Of the instances, how many lose power with their daemon."""


async def run(
    seed: int, losses: int, folder: pathlib.Path, copies: int = 1
) -> scenario.Report:
    """Run one soak; all that is drawn comes from the seed."""
    rng = random.Random(seed)
    fleet = fleet_module.Fleet(folder, rng, copies)
    try:
        await fleet.open()
        traffic = asyncio.ensure_future(scenario.send_traffic(fleet))
        for _ in range(losses):
            await _lose_power(fleet)
        await asyncio.sleep(scenario.SETTLE_SECONDS)
        traffic.cancel()
        await scenario.check_end(fleet)
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    return scenario.report(seed, fleet)


async def _lose_power(fleet: fleet_module.Fleet) -> None:
    """Let two instances leave, and end all daemons meanwhile."""
    rng = fleet.rng
    store = rng.choice(STORE_STATES)
    deep = [vm for vm in fleet.vms if vm.upstream.service == "deep"]
    leaving = [
        asyncio.ensure_future(_leave_later(fleet, vm))
        for vm in rng.sample(deep, 2)
    ]
    copy = fleet.store.copy()
    await asyncio.sleep(LEAVE_SECONDS[1] / 2)
    fleet.note_fault(f"power {store}")
    if store:
        fleet.store.mode = rng.choice(AWAY_MODES)
    for vm in fleet.vms:
        vm.busy = True
        if vm.upstream.service != "edge" and rng.random() < INSTANCE_SHARE:
            vm.upstream.crash()
    await asyncio.gather(*(fleet.kill(vm) for vm in fleet.vms))
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    for vm in fleet.vms:
        fleet.start(vm)
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    away = rng.uniform(0.0, 1.5)
    if store == "older":
        fleet.store.restore(copy, away)
    fleet.store.mode = ""
    await asyncio.sleep(away)
    fleet.store.write_again()
    for vm in fleet.vms:
        if not await fleet.ready(vm):
            fleet.oracle.broken.append(f"RECOVER {vm.name}: not ready")
        vm.busy = False
    await asyncio.gather(*leaving)


async def _leave_later(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    await asyncio.sleep(fleet.rng.uniform(*LEAVE_SECONDS))
    fleet.note_fault(f"leave {vm.name}")
    await faults.leave(fleet, vm)
