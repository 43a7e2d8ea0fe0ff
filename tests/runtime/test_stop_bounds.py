"""Tests of what becomes of work that a stopping daemon can't finish."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
import typing

from aiohttp import web
import pytest

from sassafrasstair import daemons
from sassafrasstair.decisions.stops import _stops
from sassafrasstair import runtime
from sassafrasstair.runtime import _execution
from tests.runtime import meshes

GRACE = 2.0
MARGIN_SECONDS = 0.2
UPLOAD_BYTES = 150_000
TAKEN_BY_TIMES = {
    (8.0, 0.0): ("not run", "leaving"),
    (8.0, 0.1): ("done", "none"),
    (8.0, 3.0): ("not run", "leaving"),
    (0.5, 3.0): ("not run", "deadline_too_short"),
}
"""What becomes of a run, by its time limit and its usual time in seconds."""


@pytest.fixture(autouse=True)
def _usual_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let stops last as long as they do in operation."""
    monkeypatch.setattr(_stops, "LAME_DUCK_SECONDS", 2.3)


class Upstream:
    """An upstream that holds requests until ``go`` is set.

    It answers only the first ``answers_max``.
    """

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.began = 0
        self.answers_max = 1_000

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        self.began += 1
        if self.began > self.answers_max:
            await asyncio.Event().wait()
        await self.go.wait()
        return web.Response(text="ok")


async def _ask(mesh: meshes.Mesh, **fields: typing.Any) -> tuple[str, str]:
    """Return the outcome and the reason of a call through front-1."""
    async with mesh.call("back", **fields) as answer:
        await answer.read()
        return (
            answer.headers["sassafras-outcome"],
            answer.headers.get("sassafras-reason", ""),
        )


async def _bind(mesh: meshes.Mesh, ticket: str) -> tuple[str, str]:
    async with mesh.bind(ticket) as answer:
        await answer.read()
        return (
            answer.headers["sassafras-outcome"],
            answer.headers["sassafras-reason"],
        )


@pytest.mark.parametrize("leaver", ["front", "back"])
def test_work_in_flight_at_the_end_of_the_grace_gets_an_answer(
    leaver: str,
) -> None:
    """A stop waited for the deadline of each call, and was killed."""

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            asked = asyncio.create_task(_ask(mesh))
            await meshes.until(lambda: upstream.began)
            stopped_at = time.monotonic()
            runtime.stop(getattr(mesh, leaver))
            assert await asked == ("unknown", "leaving")
            elapsed = time.monotonic() - stopped_at
            assert GRACE / 2 < elapsed < GRACE - MARGIN_SECONDS

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_stop_ends_within_its_grace() -> None:
    """The process was killed with its connections open."""
    ended: list[float] = []

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            asked = asyncio.create_task(_ask(mesh))
            await meshes.until(lambda: upstream.began)
            ended.append(time.monotonic())
        ended.append(time.monotonic())
        await asyncio.wait([asked])

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
    assert ended[1] - ended[0] < GRACE


def test_attempts_that_wait_at_the_end_were_not_run() -> None:
    """What waited for a slot was lost together with what ran."""

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            tickets = [await mesh.ticket() for _ in range(meshes.SLOTS + 2)]
            asked = [
                asyncio.create_task(_bind(mesh, ticket)) for ticket in tickets
            ]
            guard = mesh.back.callee.guard
            await meshes.until(lambda: len(guard.waiting) == 2)
            runtime.stop(mesh.back)
            ends = collections.Counter(await asyncio.gather(*asked))
            assert ends == {
                ("unknown", "leaving"): meshes.SLOTS,
                ("not-run", "leaving"): 2,
            }
            assert upstream.began == meshes.SLOTS

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_attempt_that_gets_its_slot_late_in_a_stop_was_not_run() -> None:
    """An attempt that had waited was started just before the end, and cut."""

    async def scenario() -> None:
        upstream = Upstream()
        upstream.answers_max = meshes.SLOTS
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            asked = [
                asyncio.create_task(_ask(mesh))
                for _ in range(meshes.SLOTS + 1)
            ]
            guard = mesh.back.callee.guard
            await meshes.until(lambda: guard.waiting)
            await meshes.until(lambda: upstream.began == meshes.SLOTS)
            runtime.stop(mesh.back)
            await asyncio.sleep(0.6 * GRACE)
            guard.estimates_by_class["look"] = GRACE / 4
            upstream.go.set()
            ends = collections.Counter(await asyncio.gather(*asked))
            assert ends == {
                ("done", ""): meshes.SLOTS,
                ("not-run", "leaving"): 1,
            }
            assert upstream.began == meshes.SLOTS

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_run_that_would_outlast_the_grace_is_not_taken() -> None:
    """A run was taken late in a stop, and given up."""

    async def scenario() -> None:
        upstream = Upstream()
        upstream.go.set()
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            runtime.stop(mesh.back)
            callee = mesh.back.callee
            await meshes.until(lambda: callee.stopping)
            found = []
            for timeout, usual in TAKEN_BY_TIMES:
                callee.guard.estimates_by_class["look"] = usual
                answer = await _execution.run(callee, _message(timeout))
                found.append((answer.outcome, answer.reason))
            assert found == list(TAKEN_BY_TIMES.values())
            assert upstream.began == found.count(("done", "none"))

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_stalled_upload_at_the_end_of_the_grace_gets_an_answer() -> None:
    """A stop waited for the rest of a body that had begun to be passed on."""
    ended: list[float] = []

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream.serve, grace=GRACE) as mesh:
            host, _, port = mesh.url.removeprefix("http://").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /v1/call/back/ HTTP/1.1\r\nhost: a\r\n"
                b"sassafras-class: look\r\nsassafras-tenant: t\r\n"
                b"content-length: %d\r\n\r\n" % (2 * UPLOAD_BYTES)
            )
            writer.write(bytes(UPLOAD_BYTES))
            await meshes.until(lambda: mesh.back.callee.attempts)
            ended.append(time.monotonic())
            runtime.stop(mesh.front)
            runtime.stop(mesh.back)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"sassafras-outcome: unknown" in head
            assert b"sassafras-reason: leaving" in head
        ended.append(time.monotonic())
        assert b'"leaving"' in await reader.read()
        writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))
    assert ended[1] - ended[0] < GRACE


_numbers = itertools.count()


def _message(timeout: float) -> daemons.Run:
    return daemons.Run(
        attempt_id=f"a.{next(_numbers)}",
        service="back",
        request_class="look",
        tenant="t",
        caller="c",
        call_id="1",
        remaining_ms=int(timeout * 1000),
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
