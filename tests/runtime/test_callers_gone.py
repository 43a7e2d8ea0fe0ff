from __future__ import annotations

import asyncio
import typing

from aiohttp import web
import pytest

from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _execution
from tests.runtime import meshes

if typing.TYPE_CHECKING:
    from collections import abc

PART = b"x" * 100_000


class Upstream:
    """Holds each request until ``go``; counts what was run and cut."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.began = 0
        self.cut = 0

    async def __call__(self, request: web.BaseRequest) -> web.StreamResponse:
        self.began += 1
        try:
            length = 0
            async for chunk in request.content.iter_any():
                length += len(chunk)
            await self.go.wait()
        except (asyncio.CancelledError, ConnectionError):
            self.cut += 1
            raise
        return web.Response(text=f"{length}")


async def leave(
    request: typing.Any, condition: abc.Callable[[], object]
) -> None:
    """Send a request and close its connection once ``condition`` holds."""

    async def send() -> None:
        async with request:
            pass

    sending = asyncio.create_task(send())
    await meshes.until(condition)
    sending.cancel()
    await asyncio.wait({sending})


def run(story: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    asyncio.run(asyncio.wait_for(story, 4 * meshes.WAIT))


def test_waiting_request_is_removed_when_its_caller_leaves() -> None:
    """A daemon that is stopped never exits, and its memory grows.

    Requests wait for a slot at their instance. A caller goes away, the
    guard drops its request, and nothing tells the request's task, which
    waits for the guard for ever; a planned stop waits for the task.
    """

    async def story() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            slot = mesh.back.slot
            async with asyncio.TaskGroup() as group:
                for _ in range(meshes.SLOTS):
                    group.create_task(_whole(mesh.call("back")))
                await meshes.until(lambda: upstream.began == meshes.SLOTS)
                await leave(mesh.call("back"), lambda: slot.guard.waiting)
                await meshes.until(lambda: len(slot.attempts) == meshes.SLOTS)
                upstream.go.set()
        assert upstream.began == meshes.SLOTS

    run(story())


def test_once_only_work_continues_for_the_repeat() -> None:
    """A broker's connection breaks; its repeat says "unknown" for ever.

    The entrance told the owner that nobody waits, and the owner cut the
    binding off at the upstream, which may or may not have recorded it.
    Let go on, it ends, and the repeat joins it or gets its answer.
    """

    async def story() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            ticket = await mesh.ticket()
            await leave(mesh.bind(ticket), lambda: upstream.began)
            repeat = asyncio.create_task(_whole(mesh.bind(ticket, 1)))
            owner = mesh.back.slot.owner
            await meshes.until(lambda: owner.counts.joined)
            upstream.go.set()
            assert await repeat == (200, "0")
            assert await _whole(mesh.bind(ticket, 2)) == (200, "0")
        assert (upstream.began, upstream.cut) == (1, 0)

    run(story())


@pytest.mark.parametrize("size", [0, 300_000], ids=["no body", "long body"])
def test_request_is_cancelled_when_its_caller_leaves(size: int) -> None:
    """Under a surge upstreams work for callers that have long hung up.

    A caller sends its whole request and goes away before the answer. With
    a long body the entrance stopped listening for that at the body's end.
    """

    async def story() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            slot = mesh.back.slot

            def taken() -> bool:
                return all(a.body_is_complete for a in slot.attempts.values())

            request = mesh.call("back", data=bytes(size))
            await leave(request, lambda: upstream.began and taken())
            await meshes.until(lambda: upstream.cut)
            assert slot.attempts == {}

    run(story())


def test_answer_is_cancelled_when_its_caller_leaves() -> None:
    """Downloads that callers broke off go on at full speed to nobody.

    The server takes and drops what is sent to a caller that is gone, so
    the entrance went on to fetch the rest of the answer.
    """
    sent = 0
    cut = asyncio.Event()

    async def endless(request: web.BaseRequest) -> web.StreamResponse:
        nonlocal sent
        answer = web.StreamResponse()
        await answer.prepare(request)
        try:
            while True:
                await answer.write(PART)
                sent += 1
        except (asyncio.CancelledError, ConnectionError):
            cut.set()
            raise

    async def story() -> None:
        async with meshes.started(endless) as mesh:
            await leave(mesh.call("back"), lambda: sent > 1)
            await asyncio.wait_for(cut.wait(), 2)
            await meshes.until(lambda: not mesh.back.slot.attempts)

    run(story())


def test_body_beyond_the_limit_is_refused() -> None:
    """One caller fills an upstream's disk past the class's limit.

    It declares no length, so the limit could not be checked at the start,
    and was not looked at again.
    """

    async def endless() -> abc.AsyncIterator[bytes]:
        while True:
            yield PART

    async def story() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            answer = await _refused(mesh.call("back", data=endless()))
            assert answer == (413, "unknown", "body_too_large")
            await meshes.until(lambda: upstream.cut)

    run(story())


def test_repeat_without_body_memory_joins_the_first_use() -> None:
    """A broker is told "not run" while its binding runs; it binds anew.

    The repeat of a large binding found no room for another large body and
    was refused as not run before its ticket was looked at.
    """

    async def story() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            ticket = await mesh.ticket()
            body = bytes(300_000)
            first = asyncio.create_task(_whole(mesh.bind(ticket, data=body)))
            await meshes.until(lambda: upstream.began)
            mesh.back.slot.large_bodies += _execution.MAX_LARGE_BODIES
            repeat = asyncio.create_task(
                _whole(mesh.bind(ticket, 1, data=body))
            )
            counts = mesh.back.slot.owner.counts
            await meshes.until(lambda: counts.joined)
            upstream.go.set()
            assert await first == await repeat == (200, "300000")

    run(story())


@pytest.mark.parametrize(
    ("repeat", "headers", "told"),
    [
        (0, {}, (409, "not-run", "owner_gone")),
        (1, {}, (409, "unknown", "owner_gone")),
        (1, {"sassafras-timeout-ms": "x"}, (400, "unknown", "malformed")),
        (1, {"sassafras-class": "none"}, (404, "unknown", "unknown_class")),
        (99, {}, (429, "unknown", "too_many_repeats")),
    ],
)
def test_entrance_reports_not_run_only_for_a_first_use(
    repeat: int, headers: dict[str, str], told: tuple[int, str, str]
) -> None:
    """A binding runs whose caller was told that it was not run.

    Its first use is on its way through another entrance when the repeat is
    refused here, before any owner was asked.
    """

    async def story() -> None:
        async with meshes.started(Upstream()) as mesh:
            gone = once.new_owner("lost-1", "1", bytes(32), 9)
            issued = once.issue_ticket(gone, "back", "bind", 600.0, 0.0)
            assert isinstance(issued, once.Issued)
            fields = {
                "sassafras-class": "bind",
                "sassafras-ticket": issued.ticket,
                "sassafras-repeat": str(repeat),
            }
            request = mesh.call("back", headers=fields | headers)
            assert await _refused(request) == told

    run(story())


def test_internal_error_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller gets plain text, or nothing, where a daemon has a fault."""

    async def fault(*_: object) -> None:
        raise RuntimeError("fault")

    async def story() -> None:
        async with meshes.started(Upstream()) as mesh:
            monkeypatch.setattr(mesh.front.entry, "ask", fault)
            answer = await _refused(mesh.call("back"))
            reason = outcomes.Reason.INTERNAL_FAULT.value
            assert answer == (500, "unknown", reason)
            assert mesh.front.entry.entrance.pending == {}

    run(story())


async def _whole(request: typing.Any) -> tuple[int, str]:
    async with request as answer:
        return answer.status, await answer.text()


async def _refused(request: typing.Any) -> tuple[int, str, str]:
    async with request as answer:
        return (
            answer.status,
            answer.headers["sassafras-outcome"],
            answer.headers["sassafras-reason"],
        )
