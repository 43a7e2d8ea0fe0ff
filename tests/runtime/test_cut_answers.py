"""What callers get where an upstream's answer is cut."""

from __future__ import annotations

import asyncio
import typing

import pytest
import yarl

from tests import cut_answers
from tests.runtime import meshes
from tests.upstreams import test_cut_answers

ANSWERED = "done"
UNKNOWN = "unknown"
REPEATABLE_RUNS_MAX = 2


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(
    "name", ["length", "chunked", "no_length", "behind_103", "head"]
)
def test_cut_answer_gets_one_failure_that_promises_nothing(
    name: str, resets: bool
) -> None:
    """Callers got a success whose body was short, framed as whole.

    Once-only work is sent to its upstream once, and the rest twice at most.
    The upstream is on the caller's VM or on another one.
    """
    form = cut_answers.FORMS[name]
    server = test_cut_answers.Server(form, resets)

    async def check(
        mesh: meshes.Mesh, cut: int, request_class: str, series: int
    ) -> None:
        request_id = cut_answers.id_of(cut, series)
        headers = {"sassafras-class": request_class}
        most = REPEATABLE_RUNS_MAX
        if request_class == "bind":
            headers["sassafras-ticket"] = await mesh.ticket()
            most = 1
        async with mesh.call(
            "front" if request_class == "near" else "back",
            f"/{request_id.decode()}",
            method=form.method,
            headers=headers,
        ) as answer:
            body = await answer.read()
        where = f"{answer.status} {body!r} after {cut} of {form.size}"
        assert 1 <= server.received.count(request_id) <= most, where
        outcome = answer.headers["sassafras-outcome"]
        if outcome != ANSWERED:
            assert not form.has_ended(cut, resets) or resets, where
            assert outcome == UNKNOWN
            assert answer.status >= 500
            return
        assert form.has_ended(cut, resets), where
        assert answer.status == form.status
        assert answer.headers["x-request"] == request_id.decode()
        assert body == form.body_at(cut, request_id)

    async def scenario() -> None:
        await server.open()
        async with meshes.started(_unused, server.url) as mesh:
            for series, name in enumerate(("near", "look", "bind")):
                await asyncio.gather(
                    *(
                        check(mesh, cut, name, series)
                        for cut in form.few_cuts()
                    )
                )

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", ["length", "no_length", "behind_103"])
def test_call_that_waits_behind_a_cut_answer_gets_its_own(
    name: str, resets: bool
) -> None:
    """Two calls come ahead on one connection, and the first is cut."""
    form = cut_answers.FORMS[name]
    server = test_cut_answers.Server(form, resets)

    async def check(mesh: meshes.Mesh, cut: int) -> None:
        request_id = cut_answers.id_of(cut)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", yarl.URL(mesh.url).port
        )
        for path, last in (
            (request_id.decode(), ""),
            (f"behind{cut}", "Connection: close\r\n"),
        ):
            writer.write(
                f"POST /v1/call/back/{path} HTTP/1.1\r\nHost: h\r\n"
                "Sassafras-Class: look\r\nSassafras-Tenant: t\r\n"
                f"{last}Content-Length: 0\r\n\r\n".encode()
            )
        received = await reader.read()
        writer.close()
        first, mark, second = received.rpartition(b"HTTP/1.1 ")
        assert mark, received
        where = f"{received!r} after {cut} of {form.size}"
        is_whole = b"sassafras-outcome: done" in first
        assert is_whole != (b"sassafras-outcome: unknown" in first), where
        assert not is_whole or form.has_ended(cut, resets), where
        assert is_whole or resets or not form.has_ended(cut, resets), where
        assert second.startswith(b"200 "), where
        assert f"x-request: behind{cut}\r\n".encode() in second.lower(), where
        assert second.endswith(b"\r\n\r\nok"), where

    async def scenario() -> None:
        await server.open()
        async with meshes.started(_unused, server.url) as mesh:
            await asyncio.gather(
                *(check(mesh, cut) for cut in form.few_cuts())
            )

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))


async def _unused(request: object) -> typing.NoReturn:
    raise AssertionError(request)
