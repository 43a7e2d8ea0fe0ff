from __future__ import annotations

import asyncio

from aiohttp import web
import msgspec

from sassafrasstair import clocks
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import metrics
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _bodies
from sassafrasstair.runtime import _execution
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams
from tests.fuzz import worlds
from tests.runtime import meshes

LONG_REQUEST = daemons.Run(
    attempt_id="a.1",
    service="intake",
    request_class="stock-upload",
    tenant="t",
    caller="c",
    call_id="1",
    remaining_ms=60_000,
    retries=0,
    depth=0,
    ticket="",
    method="POST",
    path="/",
    headers=(),
    body=b"first",
    body_length=200_000,
    has_more_parts=True,
)
SHORT_REQUEST = msgspec.structs.replace(
    LONG_REQUEST,
    service="back",
    request_class="look",
    body_length=5,
    has_more_parts=False,
)


def _new_callee() -> _slots.Callee:
    return _slots.Callee(
        service="intake",
        incarnation="i",
        clock=clocks.SystemClock(),
        guard=load.new_guard(1, 0.0),
        owner=once.new_owner("intake-1", "i", bytes(32), 1),
        upstream=upstreams.connect("http://127.0.0.1:1"),
        bundle=lambda: None,
        other_bundles=lambda: (),
        max_callee_floor=lambda _class, _tenant: 0.0,
        pauses=calls.Pauses(0.0),
        counts=metrics.Metrics(),
    )


def test_part_before_its_request_is_accepted() -> None:
    """Part 0 of a body is accepted although its request is handled later.

    The entrance sends the request and part 0 in two exchanges. The callee
    handled part 0 first and rejected it, so no body was sent, and the
    request waited for it until its deadline.
    """

    async def scenario() -> None:
        callee = _new_callee()
        part_task = asyncio.create_task(
            _bodies.receive_part(callee, daemons.BodyPart("a.1", 0, b""))
        )
        await asyncio.sleep(0)
        attempt = _attempts.new_attempt(
            LONG_REQUEST,
            callee.clock.monotonic() + 60,
            worlds.verify(worlds.envelope(1)),
        )
        _slots.add_attempt(callee, attempt)
        attempt.admission.set_result(load.Start("a.1"))
        assert await part_task == daemons.PartReply(True)
        assert callee.arrival_events == {}

    asyncio.run(scenario())


def test_duplicate_request_gets_the_same_answer() -> None:
    """Both copies of a request that is delivered twice get its answer.

    The second copy was refused as not run. If this refusal arrived first,
    the request was retried elsewhere although it was running.
    """
    began = 0

    async def upstream(_: web.BaseRequest) -> web.StreamResponse:
        nonlocal began
        began += 1
        await asyncio.sleep(0.05)
        return web.Response(text="ok")

    async def scenario() -> None:
        async with meshes.started(upstream) as mesh:
            callee = mesh.back.callee
            both = await asyncio.gather(
                _execution.run(callee, SHORT_REQUEST),
                _execution.run(callee, SHORT_REQUEST),
            )
            assert [answer.body for answer in both] == [b"ok", b"ok"]

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
    assert began == 1


def test_cancellation_before_its_request_prevents_it() -> None:
    """A request that arrives after its cancellation is not run."""

    async def upstream(_: web.BaseRequest) -> web.StreamResponse:
        raise AssertionError("nothing may run")

    async def scenario() -> None:
        async with meshes.started(upstream) as mesh:
            callee = mesh.back.callee
            _slots.cancel_attempt(callee, SHORT_REQUEST.attempt_id)
            answer = await _execution.run(callee, SHORT_REQUEST)
            told = (answer.outcome, answer.reason)
            assert told == ("not run", outcomes.Reason.CANCELLED.value)

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
