"""Tests of upstreams that name a rate limit, or say that they leave."""

from __future__ import annotations

import asyncio
import collections
import time
import typing

from aiohttp import web

from sassafrasstair.runtime import _departures
from tests import loopback
from tests.runtime import meshes

if typing.TYPE_CHECKING:
    import pytest

RATE_LIMIT = 10.0
SECONDS = 3.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5


def test_upstream_gets_no_more_than_the_rate_that_it_names() -> None:
    """Refusals of the upstream name the limit as well."""
    arrivals: list[float] = []

    async def upstream(request: web.BaseRequest) -> web.StreamResponse:
        arrivals.append(time.monotonic())
        headers = {"sassafras-limit": f"{RATE_LIMIT}"}
        if len(arrivals) % 2:
            headers["sassafras-outcome"] = "not-run"
            return web.Response(status=503, headers=headers)
        return web.Response(text="ok", headers=headers)

    async def call(mesh: meshes.Mesh) -> None:
        async with mesh.call("back") as answer:
            await answer.read()

    async def scenario() -> None:
        async with meshes.started(upstream) as mesh:
            until = time.monotonic() + SECONDS
            while time.monotonic() < until:
                await asyncio.gather(*(call(mesh) for _ in range(4)))

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
    late = [at for at in arrivals if at >= arrivals[0] + 1.0]
    allowed = EXCESS_RATIO * RATE_LIMIT * SECONDS + EXCESS_REQUESTS
    assert 0 < len(late) <= allowed


def test_upstream_that_leaves_gets_work_again_once_it_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A daemon that stayed in the way of a new upstream would idle it."""
    monkeypatch.setattr(_departures, "ACCEPT_SECONDS", 0.2)
    monkeypatch.setattr(_departures, "PROBE_SECONDS", 0.05)
    leaving = [True]
    ends: collections.Counter[int] = collections.Counter()

    async def upstream(request: web.BaseRequest) -> web.StreamResponse:
        headers = {"sassafras-leaving": "1"} if leaving[0] else {}
        return web.Response(text="ok", headers=headers)

    async def status(mesh: meshes.Mesh) -> int:
        async with mesh.call("back") as answer:
            found: int = answer.status
            ends[found] += 1
            return found

    async def scenario() -> None:
        port = loopback.free_ports(1)[0]
        loop = asyncio.get_running_loop()
        server = web.Server(upstream)
        listener = await loop.create_server(server, "127.0.0.1", port)
        url = f"http://127.0.0.1:{port}"
        async with meshes.started(upstream, url) as mesh:
            assert await status(mesh) == 200
            await meshes.until(lambda: mesh.back.callee.guard.leaving)
            assert await status(mesh) == 503
            assert mesh.back.callee.departure is not None
            await asyncio.sleep(0.3)
            assert mesh.back.callee.guard.leaving
            listener.close()
            departure = mesh.back.callee.departure
            await meshes.until(lambda: departure.has_ended)
            leaving[0] = False
            listener = await loop.create_server(server, "127.0.0.1", port)
            await meshes.until(lambda: not mesh.back.callee.guard.leaving)
            async with asyncio.timeout(meshes.WAIT):
                while await status(mesh) != 200:
                    await asyncio.sleep(0.05)
        listener.close()
        await server.shutdown()

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
    assert ends[200] >= 2


def test_upstream_that_leaves_gets_nothing_from_the_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt that had waited was passed to an upstream about to end."""
    monkeypatch.setattr(_departures, "ACCEPT_SECONDS", 0.2)
    go = asyncio.Event()
    began: list[str] = []

    async def upstream(request: web.BaseRequest) -> web.StreamResponse:
        began.append(request.path)
        if request.path == "/last-words":
            await asyncio.sleep(0.2)
            return web.Response(headers={"sassafras-leaving": "1"})
        await go.wait()
        return web.Response(text="ok")

    async def ask(mesh: meshes.Mesh, path: str) -> str:
        async with mesh.call("back", path) as answer:
            await answer.read()
            return str(answer.headers["sassafras-outcome"])

    async def scenario() -> None:
        async with meshes.started(upstream) as mesh:
            paths = ["/last-words", *["/held"] * (meshes.SLOTS + 1)]
            asked = [asyncio.create_task(ask(mesh, path)) for path in paths]
            callee = mesh.back.callee
            await meshes.until(lambda: len(callee.guard.waiting) == 2)
            await meshes.until(lambda: callee.guard.leaving)
            await asyncio.sleep(0.2)
            go.set()
            ends = collections.Counter(await asyncio.gather(*asked))
            assert ends == {"done": meshes.SLOTS + 1, "not-run": 1}
            assert len(began) == meshes.SLOTS + 1

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_vm_listed_as_leaving_runs_nothing_from_the_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt that had waited was passed to an upstream about to end."""
    monkeypatch.setattr(_departures, "ACCEPT_SECONDS", 0.2)
    go = asyncio.Event()
    began: list[str] = []

    async def upstream(request: web.BaseRequest) -> web.StreamResponse:
        began.append(request.path)
        await go.wait()
        return web.Response(text="ok")

    async def ask(mesh: meshes.Mesh) -> str:
        async with mesh.call("back") as answer:
            await answer.read()
            return str(answer.headers["sassafras-outcome"])

    async def scenario() -> None:
        async with meshes.started(upstream) as mesh:
            callee = mesh.back.callee
            asked = [
                asyncio.create_task(ask(mesh)) for _ in range(meshes.SLOTS + 1)
            ]
            await meshes.until(lambda: len(began) == meshes.SLOTS)
            assert len(callee.guard.waiting) == 1
            members = mesh.back.control.node.members
            members["back-1"].leaving = True
            await meshes.until(lambda: callee.guard.leaving)
            await asyncio.sleep(0.1)
            go.set()
            ends = collections.Counter(await asyncio.gather(*asked))
            assert ends == {"done": meshes.SLOTS, "not-run": 1}
            assert len(began) == meshes.SLOTS

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
