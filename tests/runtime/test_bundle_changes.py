"""Tests of bundles that are adopted while requests are under way."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web
import msgspec
import pytest

from sassafrasstair.runtime import _execution
from tests.runtime import meshes
from tests.runtime import test_tickets_in_use

CLASSES: dict[str, typing.Any] = meshes.DOCUMENT["classes"]
WITHOUT_NEAR = {
    name: rules for name, rules in CLASSES.items() if name != "near"
}
WITHOUT_BIND = {
    name: rules for name, rules in CLASSES.items() if name != "bind"
}
BIND_NOT_ONCE = CLASSES | {"bind": CLASSES["bind"] | {"once": False}}
CLASS_CHANGES = {
    "removed": WITHOUT_NEAR,
    "once-only": CLASSES | {"near": CLASSES["near"] | {"once": True}},
    "smaller": CLASSES | {"near": CLASSES["near"] | {"max_body_bytes": 1}},
}


class _Upstream:
    """An upstream that calls ``back`` for each request of class ``near``.

    It does so once ``go`` is set; ``began`` counts these requests, and
    ``served`` all others, which are answered with it.
    """

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.began = 0
        self.served = 0
        self.mesh: meshes.Mesh

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path != "/outer":
            self.served += 1
            return web.Response(text=f"{self.served}")
        self.began += 1
        await self.go.wait()
        context = request.headers["sassafras-context"]
        headers = {"sassafras-context": context}
        async with self.mesh.call(
            "back", "/inner", headers=headers, data=body
        ) as answer:
            outcome = answer.headers["sassafras-outcome"]
            reason = answer.headers.get("sassafras-reason", "")
            return web.Response(text=f"{outcome} {reason}".strip())


def _at(mesh: meshes.Mesh, vms: str) -> list[typing.Any]:
    """Return the daemons on ``vms``; hold back bundles at the others."""
    for name in {"front", "back"} - set(vms.split()):
        meshes.hold_back_bundles(getattr(mesh, name))
    return [getattr(mesh, name) for name in vms.split()]


@pytest.mark.parametrize("change", CLASS_CHANGES)
@pytest.mark.parametrize("vms", ["front", "back", "front back"])
def test_calls_of_a_run_go_on_under_its_bundle(vms: str, change: str) -> None:
    """A bundle failed the calls of runs that had been accepted before it."""

    async def scenario() -> None:
        upstream = _Upstream()
        async with meshes.started(upstream.serve) as mesh:
            upstream.mesh = mesh
            headers = {"sassafras-class": "near"}
            asked = asyncio.ensure_future(
                _text(
                    mesh.call("front", "/outer", headers=headers, data=b"123")
                )
            )
            await meshes.until(lambda: upstream.began)
            for daemon in _at(mesh, vms):
                meshes.adopt(daemon, 3, classes=CLASS_CHANGES[change])
            upstream.go.set()
            assert await asked == "done"

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_once_only_calls_of_a_run_go_on_under_its_bundle() -> None:
    """A ticket for a call of a run was refused, as its class was gone."""

    async def scenario() -> None:
        upstream = _Upstream()
        async with meshes.started(upstream.serve) as mesh:
            upstream.mesh = mesh
            for daemon in (mesh.front, mesh.back):
                meshes.adopt(daemon, 3, classes=CLASS_CHANGES["once-only"])
            headers = {"sassafras-class": "near"}
            url = f"{mesh.url}/v1/ticket/front"
            async with mesh.http.post(url, headers=headers) as answer:
                ticket = (await answer.json())["ticket"]
            headers["sassafras-ticket"] = ticket
            asked = asyncio.ensure_future(
                _text(mesh.call("front", "/outer", headers=headers))
            )
            await meshes.until(lambda: upstream.began)
            for daemon in (mesh.front, mesh.back):
                meshes.adopt(daemon, 4, classes=WITHOUT_NEAR)
            upstream.go.set()
            assert await asked == "done"

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


@pytest.mark.parametrize(
    ("classes", "known"),
    [
        (WITHOUT_BIND, True),
        (BIND_NOT_ONCE, True),
        (BIND_NOT_ONCE, False),
    ],
)
def test_ticket_outlasts_the_bundle_that_it_was_issued_under(
    classes: dict[str, typing.Any], known: bool
) -> None:
    """A repeat was refused, or run again without its ticket.

    ``known`` is whether the entrance still has the older bundle.
    """

    async def scenario() -> None:
        upstream = _Upstream()
        async with meshes.started(upstream.serve) as mesh:
            ticket = await mesh.ticket()
            bodies = [await _text(mesh.bind(ticket, 0))]
            for daemon in (mesh.front, mesh.back):
                meshes.adopt(daemon, 3, classes=classes)
            if not known:
                mesh.front.control.node.superseded = ()
            bodies.append(await _text(mesh.bind(ticket, 1)))
            assert bodies == ["1", "1"]
            assert upstream.served == 1

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


async def _text(call: typing.Any) -> str:
    async with call as answer:
        return str(await answer.text())


@pytest.mark.parametrize("kind", ["call", "ticket"])
def test_instance_without_the_bundle_yet_asks_for_a_repeat(kind: str) -> None:
    """A request of a new class was refused as if it were of no use."""

    async def scenario() -> None:
        upstream = _Upstream()
        async with meshes.started(upstream.serve) as mesh:
            (front,) = _at(mesh, "front")
            rules = CLASSES["look"] | {"once": kind == "ticket"}
            meshes.adopt(front, 3, classes=CLASSES | {"new": rules})
            headers = {"sassafras-class": "new"}
            url = f"{mesh.url}/v1/{kind}/back"
            async with mesh.http.post(url, headers=headers) as answer:
                await answer.read()
                assert answer.status == 503
                assert answer.headers["sassafras-outcome"] == "not-run"
                assert answer.headers["sassafras-reason"] == "no_bundle"
                assert int(answer.headers["retry-after"]) > 0

    asyncio.run(asyncio.wait_for(scenario(), 4 * meshes.WAIT))


def test_bundle_adopted_before_the_guard_decides() -> None:
    """An attempt that had just been accepted ended as unknown."""

    async def scenario() -> None:
        callee = test_tickets_in_use.busy_callee()
        accepted = callee.bundle()
        assert accepted is not None
        request = test_tickets_in_use.new_request(callee, "", "1.1")
        task = asyncio.create_task(_execution.run(callee, request))
        await asyncio.sleep(0)
        assert not callee.guard.waiting
        without = {
            name: rules
            for name, rules in accepted.classes.items()
            if name != request.request_class
        }
        adopted = msgspec.structs.replace(accepted, classes=without)
        callee.bundle = lambda: adopted
        await asyncio.sleep(0.01)
        assert list(callee.guard.waiting) == ["1.1"]
        task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
