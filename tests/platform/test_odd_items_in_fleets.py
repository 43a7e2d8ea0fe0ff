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
"""Stands for the number in an entry that JSON's encoder does not write."""
PORTS = ("0", "-1", "65536", "99999", "", "+9", 5_000 * "9")
NUMBERS = ("NaN", "-1", "1e400", "-0.5", "null", str(2**64))
TABLE: dict[str, object] = {"deep": {"deep": []}}
DEPTH = 200_000


def _entry(number: str = 401 * "9", /, **fields: object) -> bytes:
    entry: dict[str, object] = {
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
    return _with_number(json.dumps(entry | fields), number)


def _with_number(text: str, number: str) -> bytes:
    return text.replace(f'"{NUMBER}"', number).encode()


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


MORE_ODD_VALUES = {
    "servers/i-deep-1": DEPTH * b"[" + DEPTH * b"]",
    "servers/i-deep-2": DEPTH * b'{"service":' + b"1" + DEPTH * b"}",
    "servers/i-deep-3": _entry().replace(b'"z"', DEPTH * b"[" + DEPTH * b"]"),
    "servers/i-deep-4": _entry(x=NUMBER).replace(
        401 * b"9", DEPTH * b"[" + DEPTH * b"]"
    ),
    **{
        f"servers/i-{field}-{index}": _entry(number, **{field: NUMBER})
        for field in ("slots", "seq", "warmup_ms", "born")
        for index, number in enumerate(NUMBERS)
    },
    **{
        f"servers/i-port-{index}": _entry(address=f"127.0.0.9:{port}")
        for index, port in enumerate(PORTS)
    },
    **{
        f"servers/i-table-{field}": _entry(**{field: TABLE})
        for field in ("service", "address", "zone", "slots", "state", "seq")
    },
}
"""More than are logged in a second."""


def _write_odd_items(
    fleet: fleet_module.Fleet, values: dict[str, bytes]
) -> None:
    for key, value in values.items():
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
    _write_odd_items(fleet, ODD_VALUES)
    await fleet.open()
    for vm in fleet.vms:
        assert await fleet.ready(vm, READY_SECONDS)
    await _apply_policy(fleet)
    _write_odd_items(fleet, ODD_VALUES)
    await _apply_policy(fleet)
    _write_odd_items(fleet, MORE_ODD_VALUES)
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
    for vm in fleet.vms:
        assert vm.process is not None
        assert vm.process.poll() is None, vm.name
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
