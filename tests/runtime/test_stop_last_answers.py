"""Tests of what a stop breaks off, in the daemons with tickets."""

from __future__ import annotations

import asyncio
import collections
import socket

from aiohttp import web
import pytest

from sassafrasstair import daemons
from sassafrasstair.decisions.stops import _stops
from sassafrasstair import runtime
from sassafrasstair.runtime import _execution
from tests.runtime import meshes

GRACE = 3.0
LONG_SECONDS = 2.6
ANSWER_BYTES = 1_000_000
SENT_SECONDS = 0.3


@pytest.fixture(autouse=True)
def _usual_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let stops last as long as they do in operation."""
    monkeypatch.setattr(_stops, "LAME_DUCK_SECONDS", 2.3)


def _message() -> daemons.Run:
    return daemons.Run(
        attempt_id="a.1",
        service="back",
        request_class="look",
        tenant="t",
        caller="c",
        call_id="1",
        remaining_ms=8_000,
        retries=0,
        depth=1,
        ticket="",
        method="POST",
        path="/",
        headers=(),
        body=b"",
        body_length=0,
        has_more_parts=False,
    )


@pytest.mark.parametrize("shorts", [0, 20])
def test_run_as_long_as_one_of_late_is_not_cut(shorts: int) -> None:
    """The average of many short runs hid that some take seconds."""

    async def scenario() -> None:
        delays: collections.deque[float] = collections.deque()
        began = 0

        async def run(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal began
            began += 1
            await request.read()
            await asyncio.sleep(delays.popleft())
            return web.Response(text="ok")

        async def ask(mesh: meshes.Mesh) -> tuple[str, str]:
            async with mesh.call("back") as answer:
                await answer.read()
                return (
                    answer.headers["sassafras-outcome"],
                    answer.headers.get("sassafras-reason", ""),
                )

        async with meshes.started(run, grace=GRACE) as mesh:
            for seconds in (LONG_SECONDS, *shorts * [0.01]):
                delays.append(seconds)
                assert await ask(mesh) == ("done", "")
            began = 0
            runtime.stop(mesh.back)
            callee = mesh.back.callee
            await meshes.until(lambda: callee.stop is not None)
            delays.append(LONG_SECONDS)
            # An entrance that does not know of the stop yet sends this.
            answer = await _execution.run(callee, _message())
            assert (answer.outcome, began) in (("done", 1), ("not run", 0))

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


@pytest.mark.parametrize("sends_on", [False, True])
def test_last_answer_reaches_a_caller_that_sends_on(sends_on: bool) -> None:
    """Its next request met a closed socket, which reset the connection."""

    async def scenario() -> None:
        began, go = asyncio.Event(), asyncio.Event()

        async def run(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            began.set()
            await go.wait()
            return web.Response(body=ANSWER_BYTES * b"~")

        request = (
            b"POST /v1/call/back/ HTTP/1.1\r\nhost: a\r\n"
            b"sassafras-class: look\r\nsassafras-tenant: t\r\n"
            b"content-length: 0\r\n\r\n"
        )
        async with meshes.started(run) as mesh:
            host, _, port = mesh.url.removeprefix("http://").partition(":")
            loop = asyncio.get_running_loop()
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            caller.setblocking(False)
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(caller, request)
            await began.wait()
            runtime.stop(mesh.front)
            await meshes.until(lambda: mesh.front.entry.leaving)
            go.set()
            # The caller reads only after the daemon has written all.
            await asyncio.sleep(SENT_SECONDS)
            if sends_on:
                await loop.sock_sendall(caller, request)
                await asyncio.sleep(SENT_SECONDS)
            got = b""
            while data := await loop.sock_recv(caller, 65_536):
                got += data
            caller.close()
            assert got.count(b"~") == ANSWER_BYTES

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
