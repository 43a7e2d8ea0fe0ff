"""One soak: traffic, faults in series that overlap, and the recovery."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from tests.platform.soak import clients
from tests.platform.soak import faults
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import records
from tests.platform.soak import upstreams

if typing.TYPE_CHECKING:
    import pathlib

CALLS_PER_SECOND = 60
FAULT_PAUSE = (0.2, 1.2)
SETTLE_SECONDS = 4.0
"""After the last fault: entries are back, pings done, queues empty."""
PROPAGATION_SECONDS = 2.0
"""Within which a change is known, unless the settings say otherwise."""
LOST_CHANGES = 4
LOST_PAUSE = 0.3
PROBES = 20
CROWD_SECONDS = 1.5
"""What a crowd left behind has run or was refused by then."""
LEAVE_SHARE = 0.06
LEAVE_SECONDS = (0.1, 0.4)
LEFT_WORK_SECONDS = (1.0, 1.5)
GRACES = (1.0, 2.0, 3.0, 4.0, 6.0)
KEEPERS = 5
RECOVERED_SHARE = 0.9
FIRST_FAULTS = (
    ("leave", "deep"),
    ("limit", "deep"),
    ("drain", "front"),
    ("configure", ""),
    ("hup", ""),
)
"""Every soak has these, each at a VM of the service if one is named: drawn
alone, they would miss most short ones."""


@dataclasses.dataclass(frozen=True)
class Report:
    """What one soak showed."""

    seed: int
    broken: tuple[str, ...]
    faults: tuple[str, ...]
    served: int
    refused: int
    failed: int


async def run(
    seed: int, seconds: float, folder: pathlib.Path, copies: int = 1
) -> Report:
    """Run one soak; all that is drawn comes from the seed."""
    rng = random.Random(seed)
    fleet = fleet_module.Fleet(folder, rng, copies, rng.choice(GRACES))
    try:
        await fleet.open()
        traffic = asyncio.ensure_future(send_traffic(fleet))
        keepers = kept.keep_connections(fleet, KEEPERS)
        await _disturb(fleet, seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        await faults.crowd(fleet)
        await asyncio.sleep(CROWD_SECONDS)
        traffic.cancel()
        keepers.cancel()
        await check_end(fleet)
    finally:
        await fleet.close()
        records.write_report(folder, report(seed, fleet))
    return report(seed, fleet)


async def check_end(fleet: fleet_module.Fleet) -> None:
    """Check what must hold once the last fault is over."""
    await _check_policies(fleet)
    await _check_older_copy(fleet)
    await _check_crashes(fleet)
    await _check_recovery(fleet)
    fleet.oracle.check_quotas()
    fleet.oracle.check_losses()
    fleet.oracle.check_notices()
    fleet.oracle.check_drains()
    fleet.oracle.check_departures()
    fleet.check_alive()


def report(seed: int, fleet: fleet_module.Fleet) -> Report:
    """Return what a soak showed."""
    oracle = fleet.oracle
    return Report(
        seed,
        tuple(oracle.broken),
        tuple(fleet.faults),
        oracle.served,
        oracle.refused,
        oracle.failed,
    )


async def send_traffic(fleet: fleet_module.Fleet) -> None:
    """Send requests at all VMs until cancelled."""
    calls: set[asyncio.Future[int]] = set()
    while True:
        call = asyncio.ensure_future(_send(fleet))
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(1.0 / CALLS_PER_SECOND)


async def _send(fleet: fleet_module.Fleet) -> int:
    """Send one request; some clients leave long before they are served."""
    rng = fleet.rng
    client = rng.choice(fleet.vms).client
    if rng.random() < LEAVE_SHARE:
        seconds = rng.uniform(*LEFT_WORK_SECONDS)
        target = f"/deep/{clients.new_key()}?work={seconds:.3f}"
        wait = rng.uniform(*LEAVE_SECONDS)
        return await client.call("deep", True, 2.0, target, wait)
    idempotent = rng.random() < 0.5
    return await client.call("deep" if idempotent else "front", idempotent)


async def _disturb(fleet: fleet_module.Fleet, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    under_way: set[asyncio.Future[None]] = set()
    untouched = fleet.rng.sample(fleet.vms, len(fleet.vms))
    for name, service in FIRST_FAULTS:
        vm = next(
            each
            for each in untouched
            if service in ("", each.upstream.service)
        )
        untouched.remove(vm)
        fleet.note_fault(f"{name} {vm.name}")
        under_way.add(asyncio.ensure_future(faults.apply(fleet, vm, name)))
    while loop.time() < until:
        await asyncio.sleep(fleet.rng.uniform(*FAULT_PAUSE))
        name = fleet.rng.choice(sorted(faults.FAULTS))
        vm = fleet.rng.choice(fleet.vms)
        if name in faults.ON_PROCESS and vm.busy:
            continue
        fleet.check_alive()
        fleet.note_fault(f"{name} {vm.name}")
        under_way.add(asyncio.ensure_future(faults.apply(fleet, vm, name)))
    await asyncio.gather(*under_way)


async def _check_crashes(fleet: fleet_module.Fleet) -> None:
    """Send again what crashed three instances: all know of it by now."""
    for target, known in fleet.oracle.crashing.items():
        if len(known.crashes) < 3:
            continue
        before = len(known.arrivals)
        for vm in fleet.vms:
            await vm.client.call("deep", True, 2.0, target.decode())
        late = len(known.arrivals) - before
        if late > oracle_module.LATE_MAX:
            fleet.oracle.broken.append(f"BUDGET {target!r}: {late} late")
    await asyncio.sleep(upstreams.AWAY_SECONDS)


async def _check_older_copy(fleet: fleet_module.Fleet) -> None:
    """Bring the store back older once more, and change the policy then."""
    copy = fleet.store.copy()
    for _ in range(LOST_CHANGES):
        fleet.configure()
        await asyncio.sleep(LOST_PAUSE)
    fleet.store.mode = "reset"
    await asyncio.sleep(LOST_PAUSE)
    fleet.store.restore(copy)
    fleet.store.mode = ""
    fleet.store.write_again()
    await asyncio.sleep(oracle_module.STABLE_SECONDS)
    fleet.configure()
    await asyncio.sleep(PROPAGATION_SECONDS)
    await _check_policies(fleet)


async def _check_policies(fleet: fleet_module.Fleet) -> None:
    """Check that each daemon has the policy that the store holds."""
    for vm in fleet.vms:
        told = await fleet.feed_status(vm)
        if told is None or told["policy"] != fleet.version:
            fleet.oracle.broken.append(
                f"CONFIG {vm.name}: {told}, not {fleet.version}"
            )


async def _check_recovery(fleet: fleet_module.Fleet) -> None:
    for vm in fleet.vms:
        if not await fleet.ready(vm, 5.0):
            fleet.oracle.broken.append(f"RECOVER {vm.name}: not ready")
        calls = [vm.client.call("deep", True, 2.0) for _ in range(PROBES)]
        statuses = await asyncio.gather(*calls)
        # Some of the clients leave early, which is no fault.
        owed = [status for status in statuses if status]
        good = owed.count(200)
        if good < RECOVERED_SHARE * len(owed):
            fleet.oracle.broken.append(f"RECOVER {vm.name}: {statuses}")
