"""Daemons whose VM list has odd entries."""

from __future__ import annotations

import asyncio
import json
import typing

from aiohttp import web
import pytest

from sassafrasstair import configservice
from sassafrasstair.daemons import _links
from sassafrasstair.runtime import _control
from tests.runtime import meshes

CALLS = 20
NOBODY = [f"127.0.1.{number}:9" for number in range(8)]


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text="whole")


async def _entries(mesh: meshes.Mesh) -> list[dict[str, typing.Any]]:
    """Return the sound entries of the list."""
    snapshot = await mesh.front.control.client.read(configservice.VMS_KEY)
    entries: list[dict[str, typing.Any]] = json.loads(
        snapshot.values[configservice.VMS_KEY]
    )
    return entries


@pytest.mark.parametrize(
    "address",
    [
        pytest.param("::1:7000", id="no_brackets"),
        pytest.param("[::1:7000", id="one_bracket"),
        pytest.param("fe80::1%a b:7000", id="scope"),
        pytest.param("127.0.0.1:+7000", id="sign"),
        pytest.param("127.0.0.1:\u0667\u0660", id="other_digits"),
    ],
)
def test_calls_are_served_beside_an_entry_with_an_odd_address(
    address: str,
) -> None:
    """A call that drew such an entry ended with an internal error."""

    async def scenario() -> None:
        async with meshes.started(_answer) as mesh:
            entries = await _entries(mesh)
            entries += [{**entries[1], "vm": "back-odd", "address": address}]
            values = {configservice.VMS_KEY: json.dumps(entries).encode()}
            _control._handle_vm_list(
                mesh.front.control, configservice.Snapshot(2, values)
            )
            for _ in range(CALLS):
                async with mesh.call("back") as answer:
                    assert answer.status == 200, await answer.text()

    asyncio.run(asyncio.wait_for(scenario(), 2 * meshes.WAIT))


def test_calls_find_the_sound_instance_among_odd_entries() -> None:
    """Calls got 503, not run, though a sound instance was left.

    Nobody listens at the addresses of the odd entries.
    """

    async def scenario() -> None:
        async with meshes.started(_answer) as mesh:
            entries = await _entries(mesh)
            entries += [
                {**entries[1], "vm": f"odd-{number}", "address": address}
                for number, address in enumerate(NOBODY)
            ]
            values = {configservice.VMS_KEY: json.dumps(entries).encode()}
            _control._handle_vm_list(
                mesh.front.control, configservice.Snapshot(2, values)
            )
            for _ in range(CALLS):
                async with mesh.call("back") as answer:
                    assert answer.status == 200, await answer.text()

    asyncio.run(asyncio.wait_for(scenario(), 2 * meshes.WAIT))


def test_refused_connections_take_no_time_of_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each odd entry that a call drew cost it the time limit of a send."""
    monkeypatch.setattr(_links, "SEND_TIMEOUT_MS", int(2_000 * meshes.WAIT))
    headers = {"sassafras-timeout-ms": "2000"}

    async def scenario() -> None:
        async with meshes.started(_answer) as mesh:
            entries = await _entries(mesh)
            entries += [
                {**entries[1], "vm": f"odd-{number}", "address": address}
                for number, address in enumerate(NOBODY)
            ]
            values = {configservice.VMS_KEY: json.dumps(entries).encode()}
            _control._handle_vm_list(
                mesh.front.control, configservice.Snapshot(2, values)
            )
            for _ in range(CALLS):
                async with mesh.call("back", headers=headers) as answer:
                    assert answer.status == 200, await answer.text()

    asyncio.run(asyncio.wait_for(scenario(), 2 * meshes.WAIT))
