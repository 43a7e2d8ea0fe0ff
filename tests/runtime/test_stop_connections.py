"""Tests of what becomes of connections of callers in a planned stop."""

from __future__ import annotations

import asyncio
import time
import typing

import aiohttp
from aiohttp import web
import pytest

from sassafrasstair.decisions.stops import _stops
from sassafrasstair import runtime
from tests import loopback
from tests.runtime import meshes

UPLOAD_BYTES = 20_000
PIECE_BYTES = 400
PIECE_SECONDS = 0.05
AT_ONCE_SECONDS = 0.5
_NOWHERE = "http://127.0.0.1:1"


@pytest.fixture(autouse=True)
def _usual_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let stops last as long as they do in operation."""
    monkeypatch.setattr(_stops, "LAME_DUCK_SECONDS", 2.3)


async def _ok(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    return web.Response(text="ok")


def test_answer_during_a_stop_closes_its_connection() -> None:
    """The next request on the connection could meet the end of the stop."""

    async def scenario() -> None:
        began, go = asyncio.Event(), asyncio.Event()

        async def slow(request: web.BaseRequest) -> web.StreamResponse:
            began.set()
            await go.wait()
            return web.Response(text="ok")

        async def ask(mesh: meshes.Mesh) -> typing.Any:
            async with mesh.call("back") as answer:
                await answer.read()
                return answer.status, answer.headers.get("connection")

        async with meshes.started(slow) as mesh:
            asked = asyncio.create_task(ask(mesh))
            await began.wait()
            runtime.stop(mesh.front)
            await meshes.until(lambda: mesh.front.entry.leaving)
            go.set()
            assert await asked == (200, "close")

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


async def _upload(
    mesh: meshes.Mesh, leaving: bool
) -> tuple[bytes, bytes, float]:
    """Upload in pieces around a SIGTERM of front-1, whatever it answers.

    Returns the head and the body of the answer, and when it arrived after
    the signal or, if the daemon was ``leaving``, after the request.
    """
    if leaving:
        runtime.stop(mesh.front)
        await meshes.until(lambda: mesh.front.entry.leaving)
    host, _, port = mesh.url.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /v1/call/back/ HTTP/1.1\r\nhost: a\r\n"
        b"sassafras-class: look\r\nsassafras-tenant: t\r\n"
        b"content-length: %d\r\n\r\n" % UPLOAD_BYTES
    )
    writer.write(bytes(PIECE_BYTES))
    await asyncio.sleep(2 * PIECE_SECONDS)
    if not leaving:
        runtime.stop(mesh.front)
    began_at = time.monotonic()
    head = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    answered_at = 0.0
    for _ in range(UPLOAD_BYTES // PIECE_BYTES - 1):
        writer.write(bytes(PIECE_BYTES))
        await asyncio.sleep(PIECE_SECONDS)
        if head.done():
            answered_at = answered_at or time.monotonic() - began_at
            if time.monotonic() - began_at > 2 * AT_ONCE_SECONDS:
                break
    body = await reader.read()
    writer.close()
    return await head, body, answered_at


@pytest.mark.parametrize("leaving", [False, True])
def test_half_read_upload_is_refused_at_once(leaving: bool) -> None:
    """It was read for up to 30 s, refused, and reset while it was sent."""

    async def scenario() -> None:
        async with meshes.started(_ok) as mesh:
            head, body, seconds = await _upload(mesh, leaving)
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"sassafras-outcome: not-run" in head
            assert b"connection: close" in head
            assert b'"leaving"' in body
            assert 0.0 < seconds < AT_ONCE_SECONDS

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_half_read_call_of_an_upstream_is_completed() -> None:
    """The run that makes the call was taken before the stop."""

    async def scenario() -> None:
        half_sent = asyncio.Event()

        async def pieces() -> typing.Any:
            yield b"half"
            half_sent.set()
            await asyncio.sleep(1.0)
            yield b"half"

        async def upstream(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            if request.path == "/inner":
                return web.Response(text="whole")
            context = request.headers["sassafras-context"]
            async with mesh.http.post(
                f"{mesh.url}/v1/call/back/inner",
                headers={"sassafras-context": context},
                data=pieces(),
            ) as answer:
                await answer.read()
                return web.Response(text=str(answer.status))

        async with meshes.started(upstream) as mesh:
            headers = {"sassafras-class": "near"}

            async def ask() -> str:
                async with mesh.call("front", headers=headers) as answer:
                    text: str = await answer.text()
                    return text

            asked = asyncio.create_task(ask())
            await half_sent.wait()
            runtime.stop(mesh.front)
            assert await asked == "200"

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


@pytest.mark.parametrize("seconds", [0.1, 2.8])
def test_run_that_calls_during_a_stop_is_completed(seconds: float) -> None:
    """The daemon refused calls of its upstream, and failed a run it took.

    A kept connection that was idle until then is refused at the same time.
    """

    async def scenario() -> None:
        began = asyncio.Event()

        async def upstream(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/inner":
                return web.Response(text="whole")
            began.set()
            await asyncio.sleep(seconds)
            context = request.headers["sassafras-context"]
            async with mesh.http.post(
                f"{mesh.url}/v1/call/back/inner",
                headers={"sassafras-context": context},
            ) as answer:
                return web.Response(text=await answer.text())

        async def ask() -> str:
            headers = {"sassafras-class": "near"}
            async with mesh.call("front", headers=headers) as answer:
                text: str = await answer.text()
                return text

        async with (
            meshes.started(upstream) as mesh,
            aiohttp.ClientSession() as http,
        ):
            kept = meshes.Mesh(mesh.front, mesh.back, http, mesh.url)
            async with kept.call("back", "/inner") as answer:
                assert await answer.text() == "whole"
            asked = asyncio.create_task(ask())
            await began.wait()
            runtime.stop(mesh.front)
            await asyncio.sleep(seconds - 0.05)
            async with kept.call("back", "/inner") as answer:
                assert answer.status == 503
                assert answer.headers["sassafras-reason"] == "leaving"
                assert answer.headers["connection"] == "close"
            assert await asked == "whole"

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_stop_before_the_start_is_a_planned_stop() -> None:
    """A signal that came while the listeners opened was not forgotten."""

    async def scenario() -> None:
        ports = loopback.free_ports(7)
        daemon = await meshes._build("front", ports[:3], ports, _NOWHERE, 1.0)
        runtime.stop(daemon)
        runtime.stop(daemon)
        await runtime.run(daemon)
        assert daemon.entry.leaving

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
