"""Tests of an upstream whose bytes never end."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time

import aiohttp
from aiohttp import web

from tests import loopback
from tests.platform import endless
from tests.runtime import meshes

HOST = "127.0.0.1"
KIND_SECONDS = 1.0
SOUND_GAP_SECONDS = 0.1
SOUND_SECONDS = 1.0
CALLS = meshes.SLOTS - 2
GROWTH_BYTES = 150_000_000
"""Both daemons, their callers and the test run in this process."""


def _resident_bytes() -> int:
    status = pathlib.Path("/proc/self/status").read_text()
    (line,) = (
        line for line in status.splitlines() if line.startswith("VmRSS:")
    )
    return int(line.split()[1]) * 1024


async def _unused(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text="ok")


async def _read_for_ever(mesh: meshes.Mesh, kind: str) -> None:
    with contextlib.suppress(aiohttp.ClientError):
        async with mesh.call("back", f"/{kind}", method="GET") as answer:
            async for _ in answer.content.iter_any():
                pass


async def _play(mesh: meshes.Mesh, kind: str) -> list[str]:
    """Return what went wrong beside calls that get bytes of a kind."""
    calls = [
        asyncio.ensure_future(_read_for_ever(mesh, kind)) for _ in range(CALLS)
    ]
    faults = []
    until = time.monotonic() + KIND_SECONDS
    while time.monotonic() < until:
        await asyncio.sleep(SOUND_GAP_SECONDS)
        began_at = time.monotonic()
        async with mesh.call("back", "/sound", method="GET") as answer:
            await answer.read()
        elapsed = time.monotonic() - began_at
        if elapsed > SOUND_SECONDS:
            faults.append(f"{kind}: sound after {elapsed:.2f} s")
    for call in calls:
        call.cancel()
    await asyncio.wait(calls)
    return faults


def test_answers_that_never_end_cost_no_other_call() -> None:
    """A head or a body without end took the memory, or the loop's time."""

    async def scenario() -> list[str]:
        faults = []
        (port,) = loopback.free_ports(1)
        server = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.platform.endless",
                "serve",
                HOST,
                str(port),
            ],
            stdout=subprocess.PIPE,
        )
        try:
            assert server.stdout is not None
            assert server.stdout.readline() == b"listens\n"
            url = f"http://{HOST}:{port}"
            async with meshes.started(_unused, url) as mesh:
                before = _resident_bytes()
                for kind in endless.ANSWERS:
                    faults += await _play(mesh, kind)
                    grown = _resident_bytes() - before
                    if grown > GROWTH_BYTES:
                        faults.append(f"{kind}: grew by {grown >> 20} MB")
        finally:
            server.kill()
            server.wait()
        return faults

    assert not asyncio.run(asyncio.wait_for(scenario(), 90.0))
