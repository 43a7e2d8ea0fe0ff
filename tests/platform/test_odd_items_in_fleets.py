"""Daemons beside a store that holds items which can't be decoded."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import typing


from tests.platform.soak import fleet as fleet_module

if typing.TYPE_CHECKING:
    import pathlib

PROPAGATION_SECONDS = 2.0
READY_SECONDS = 5.0
OUTAGE_SECONDS = 1.5
STABLE_SECONDS = 3.0
"""After an outage of the store the bound on changes holds again."""
NUMBER = "#"
"""Stands for the number of many digits in an entry."""


def _entry(**fields: object) -> bytes:
    entry = {
        "service": "deep",
        "address": "127.0.0.9:9",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "warmup_ms": 0,
        "seq": 1,
        "born": 1_700_000_000_000,
    }
    text = json.dumps(entry | fields)
    return text.replace(f'"{NUMBER}"', 401 * "9").encode()


ODD_VALUES = {
    "servers/i-odd-1": _entry(warmup_ms=NUMBER),
    "servers/i-odd-2": _entry(born=NUMBER),
    "servers/i-odd-3": _entry(slots=NUMBER, state="draining"),
    "servers/i-odd-4": _entry(service=["deep"]),
    "servers/i-odd-5": 50_000 * b"[",
    "servers/i odd": _entry(),
    "servers/i-odd-6": b"\xff\xfe",
    "op/other": b"{",
}


def _write_odd_items(fleet: fleet_module.Fleet) -> None:
    for key, value in ODD_VALUES.items():
        fleet.store._write(key, base64.b64encode(value).decode())


async def _apply_policy(fleet: fleet_module.Fleet) -> None:
    """Write the next policy; every daemon must have it in time."""
    fleet.configure()
    loop = asyncio.get_running_loop()
    until = loop.time() + PROPAGATION_SECONDS
    behind = list(fleet.vms)
    while behind and loop.time() < until:
        await asyncio.sleep(0.05)
        behind = [
            vm
            for vm in behind
            if (await fleet.feed_status(vm) or {}).get("policy")
            != fleet.version
        ]
    assert not behind, [vm.name for vm in behind]


async def _restart(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    await fleet.stop(vm)
    fleet.start(vm)
    assert await fleet.ready(vm, READY_SECONDS)


async def _check(fleet: fleet_module.Fleet) -> None:
    _write_odd_items(fleet)
    await fleet.open()
    for vm in fleet.vms:
        assert await fleet.ready(vm, READY_SECONDS)
    await _apply_policy(fleet)
    _write_odd_items(fleet)
    await _apply_policy(fleet)
    reader = await fleet.watcher()
    assert reader is not None
    follower = next(vm for vm in fleet.vms if vm is not reader)
    for vm in (follower, reader):
        await _restart(fleet, vm)
        await _apply_policy(fleet)
    fleet.store.mode = "silent"
    await asyncio.sleep(OUTAGE_SECONDS)
    fleet.store.forget_history()
    fleet.store.mode = ""
    await asyncio.sleep(STABLE_SECONDS)
    await _apply_policy(fleet)
    assert not fleet.oracle.broken


def test_odd_items_stop_no_update_of_any_daemon(
    tmp_path: pathlib.Path,
) -> None:
    """Another writer's items stand in the store.

    Daemons start, restart and follow meanwhile, and the store is lost and
    returns.
    """

    async def scenario() -> None:
        fleet = fleet_module.Fleet(tmp_path, random.Random(1))
        try:
            await _check(fleet)
        finally:
            await fleet.close()

    asyncio.run(scenario())
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    for key in ODD_VALUES:
        assert (key in logs) is key.startswith("servers/"), key
    assert "feed_failed" not in logs
