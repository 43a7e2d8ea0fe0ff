"""A soak whose instances send bytes without end by turns, several at once.

Daemons stop, read their settings again and get other policies meanwhile. It
excuses only the requests that got such bytes, and watches resident memory.
"""

from __future__ import annotations

import asyncio
import random
import typing

from tests.platform import endless
from tests.platform import faulty
from tests.platform.soak import faults
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import records
from tests.platform.soak import scenario

if typing.TYPE_CHECKING:
    import pathlib

KEEPERS = 10
TOGETHER = (1, 4)
"""How many instances send without end at about the same time."""
SHARES = (0.2, 0.8)
BODIES = ("body_in_chunks", "body_until_the_end")
BODY_SHARE = 0.7
"""Of the turns, those with bodies only; all kinds are sent in the others."""
GAPS_SECONDS = (0.003, 0.03)
"""Between two blocks of a body: 2 to 20 MB/s a connection."""
TURN_SECONDS = (0.5, 3.0)
PAUSE_SECONDS = (0.1, 1.0)
FAULT_PAUSE = (0.3, 1.5)
FAULTS = ("configure", "hup", "stop", "stop")
PATIENCE_SECONDS = 3.0
PATIENT_GAP_SECONDS = 0.05
WATCH_SECONDS = 0.25
SETTLE_SECONDS = 4.0


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
        keepers = kept.keep_connections(fleet, KEEPERS)
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                scenario.send_traffic(fleet),
                _send_patient_requests(fleet),
                _send_without_end(fleet),
                _watch_memory(fleet),
            )
        ]
        await _disturb(fleet, seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        for task in (*tasks, keepers):
            task.cancel()
        fleet.check_alive()
        fleet.oracle.check_losses()
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    return scenario.report(seed, fleet)


async def _send_patient_requests(fleet: fleet_module.Fleet) -> None:
    """Send requests whose answers may take long."""
    calls: set[asyncio.Future[int]] = set()
    while True:
        client = fleet.rng.choice(fleet.vms).client
        work = client.call("long", True, PATIENCE_SECONDS)
        call = asyncio.ensure_future(work)
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(PATIENT_GAP_SECONDS)


async def _send_without_end(fleet: fleet_module.Fleet) -> None:
    """Let some instances send without end for a while, again and again."""
    rng = fleet.rng
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        chosen = rng.sample(fleet.vms, rng.randint(*TOGETHER))
        for vm in chosen:
            is_body = rng.random() < BODY_SHARE
            kinds = BODIES if is_body else tuple(sorted(endless.ANSWERS))
            vm.upstream.endless_kinds = kinds
            vm.upstream.endless_gap = rng.uniform(*GAPS_SECONDS)
            vm.upstream.endless_share = rng.uniform(*SHARES)
            fleet.note_fault(f"endless {vm.name}")
        await asyncio.sleep(rng.uniform(*TURN_SECONDS))
        for vm in chosen:
            vm.upstream.endless_share = 0.0


async def _watch_memory(fleet: fleet_module.Fleet) -> None:
    """Note each daemon that holds more than it may, once."""
    noted: set[str] = set()
    while True:
        await asyncio.sleep(WATCH_SECONDS)
        for vm in fleet.vms:
            if fleet_module.running(vm).poll() is not None:
                continue
            peak = faulty.resident_peak(vm)
            if peak > faulty.ROOM_RATIO * faulty.MEMORY_BYTES:
                if vm.name not in noted:
                    line = f"MEMORY {vm.name}: {peak / 1e6:.0f} MB"
                    fleet.oracle.broken.append(line)
                noted.add(vm.name)


async def _disturb(fleet: fleet_module.Fleet, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    under_way: set[asyncio.Future[None]] = set()
    while loop.time() < until:
        await asyncio.sleep(fleet.rng.uniform(*FAULT_PAUSE))
        name = fleet.rng.choice(FAULTS)
        vm = fleet.rng.choice(fleet.vms)
        if not (name in faults.ON_PROCESS and vm.busy):
            fleet.note_fault(f"{name} {vm.name}")
            under_way.add(asyncio.ensure_future(faults.apply(fleet, vm, name)))
    await asyncio.gather(*under_way)
