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
    """Holds requests until ``release``; counts begun and cancelled ones."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.began = 0
        self.cancelled = 0

    async def __call__(self, request: web.BaseRequest) -> web.StreamResponse:
        self.began += 1
        try:
            length = 0
            async for chunk in request.content.iter_any():
                length += len(chunk)
            await self.release.wait()
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled += 1
            raise
        return web.Response(text=f"{length}")


async def send_and_disconnect(
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


def run(scenario: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 4 * meshes.WAIT))


def test_waiting_request_is_removed_when_its_caller_leaves() -> None:
    """A queued request is removed once its caller has disconnected.

    The guard dropped the request without a decision, so its task waited for
    ever. Memory grew, and a planned stop never ended.
    """

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            callee = mesh.back.callee
            async with asyncio.TaskGroup() as group:
                for _ in range(meshes.SLOTS):
                    group.create_task(_status_and_text(mesh.call("back")))
                await meshes.until(lambda: upstream.began == meshes.SLOTS)
                await send_and_disconnect(
                    mesh.call("back"), lambda: callee.guard.waiting
                )
                await meshes.until(
                    lambda: len(callee.attempts) == meshes.SLOTS
                )
                upstream.release.set()
        assert upstream.began == meshes.SLOTS

    run(scenario())


def test_once_only_work_continues_for_the_repeat() -> None:
    """Once-only work continues without its caller, for the repeat.

    The owner cancelled the work at the upstream when the caller's
    connection broke, and every repeat was answered with "unknown". If it
    continues, a repeat joins it or gets its stored answer.
    """

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            ticket = await mesh.ticket()
            await send_and_disconnect(
                mesh.bind(ticket), lambda: upstream.began
            )
            repeat = asyncio.create_task(
                _status_and_text(mesh.bind(ticket, 1))
            )
            owner = mesh.back.callee.owner
            await meshes.until(lambda: owner.counts.joined)
            upstream.release.set()
            assert await repeat == (200, "0")
            assert await _status_and_text(mesh.bind(ticket, 2)) == (200, "0")
        assert (upstream.began, upstream.cancelled) == (1, 0)

    run(scenario())


@pytest.mark.parametrize("size", [0, 300_000], ids=["no body", "long body"])
def test_request_is_cancelled_when_its_caller_leaves(size: int) -> None:
    """A request is cancelled at the upstream when its caller leaves.

    The caller disconnects after it has sent its whole request. With a long
    body, the entrance stopped watching for this at the end of the body, so
    upstreams worked for callers that had left.
    """

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            callee = mesh.back.callee

            def taken() -> bool:
                return all(
                    a.body_is_complete for a in callee.attempts.values()
                )

            request = mesh.call("back", data=bytes(size))
            await send_and_disconnect(
                request, lambda: upstream.began and taken()
            )
            await meshes.until(lambda: upstream.cancelled)
            assert callee.attempts == {}

    run(scenario())


def test_answer_is_cancelled_when_its_caller_leaves() -> None:
    """A long answer is cancelled at the upstream when its caller leaves.

    The HTTP server silently drops data sent to a caller that has
    disconnected, so the entrance went on to fetch the rest of the answer.
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

    async def scenario() -> None:
        async with meshes.started(endless) as mesh:
            await send_and_disconnect(mesh.call("back"), lambda: sent > 1)
            await asyncio.wait_for(cut.wait(), 2)
            await meshes.until(lambda: not mesh.back.callee.attempts)

    run(scenario())


def test_body_beyond_the_limit_is_refused() -> None:
    """A body without a declared length is held to the limit of its class.

    The limit could not be checked at the start of the request and was not
    checked later.
    """

    async def endless() -> abc.AsyncIterator[bytes]:
        while True:
            yield PART

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            answer = await _status_and_refusal(
                mesh.call("back", data=endless())
            )
            assert answer == (413, "unknown", "body_too_large")
            await meshes.until(lambda: upstream.cancelled)

    run(scenario())


def test_repeat_without_body_memory_joins_the_first_use() -> None:
    """A repeat of running work is not refused as not run for lack of memory.

    The repeat was refused for lack of memory for its large body before its
    ticket was checked. Its caller, told "not run", then started the work
    again with a new ticket.
    """

    async def scenario() -> None:
        upstream = Upstream()
        async with meshes.started(upstream) as mesh:
            ticket = await mesh.ticket()
            body = bytes(300_000)
            first = asyncio.create_task(
                _status_and_text(mesh.bind(ticket, data=body))
            )
            await meshes.until(lambda: upstream.began)
            mesh.back.callee.large_bodies += _execution.MAX_LARGE_BODIES
            repeat = asyncio.create_task(
                _status_and_text(mesh.bind(ticket, 1, data=body))
            )
            counts = mesh.back.callee.owner.counts
            await meshes.until(lambda: counts.joined)
            upstream.release.set()
            assert await first == await repeat == (200, "300000")

    run(scenario())


@pytest.mark.parametrize(
    ("repeat", "headers", "expected"),
    [
        (0, {}, (409, "not-run", "owner_gone")),
        (1, {}, (409, "unknown", "owner_gone")),
        (1, {"sassafras-timeout-ms": "x"}, (400, "unknown", "malformed")),
        (1, {"sassafras-class": "none"}, (404, "unknown", "unknown_class")),
        (99, {}, (429, "unknown", "too_many_repeats")),
    ],
)
def test_entrance_reports_not_run_only_for_a_first_use(
    repeat: int, headers: dict[str, str], expected: tuple[int, str, str]
) -> None:
    """The entrance reports "not run" only for the first use of a ticket.

    When it refuses a repeat without asking the owner, the first use may
    still run through another entrance.
    """

    async def scenario() -> None:
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
            assert await _status_and_refusal(request) == expected

    run(scenario())


def test_internal_error_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An internal error is reported to the caller as a refusal."""

    async def fault(*_: object) -> None:
        raise RuntimeError("fault")

    async def scenario() -> None:
        async with meshes.started(Upstream()) as mesh:
            monkeypatch.setattr(mesh.front.entry, "exchange", fault)
            answer = await _status_and_refusal(mesh.call("back"))
            reason = outcomes.Reason.INTERNAL_FAULT.value
            assert answer == (500, "unknown", reason)
            assert mesh.front.entry.entrance.pending == {}

    run(scenario())


async def _status_and_text(request: typing.Any) -> tuple[int, str]:
    async with request as answer:
        return answer.status, await answer.text()


async def _status_and_refusal(request: typing.Any) -> tuple[int, str, str]:
    async with request as answer:
        return (
            answer.status,
            answer.headers["sassafras-outcome"],
            answer.headers["sassafras-reason"],
        )
