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
from tests.runtime import meshes

RUN = daemons.Run(
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
    more=True,
)
SHORT = msgspec.structs.replace(
    RUN, service="back", request_class="look", body_length=5, more=False
)


def _new_slot() -> _slots.Slot:
    return _slots.Slot(
        service="intake",
        incarnation="i",
        clock=clocks.SystemClock(),
        guard=load.new_guard(1, 0.0),
        owner=once.new_owner("intake-1", "i", bytes(32), 1),
        upstream=upstreams.connect("http://127.0.0.1:1"),
        bundle=lambda: None,
        max_callee_floor=lambda _class, _tenant: 0.0,
        pauses=calls.Pauses(0.0),
        counts=metrics.Metrics(),
    )


def test_part_before_its_request_is_accepted() -> None:
    """A shopkeeper's upload hangs for its whole deadline, then is unknown.

    The entrance sends the request and asks whether its body is wanted, in
    two exchanges. The callee handles the second one first and says no, so
    no body is sent; then the request starts and waits for it.
    """

    async def story() -> None:
        slot = _new_slot()
        early = asyncio.create_task(
            _bodies.receive_part(slot, daemons.BodyPart("a.1", 0, b""))
        )
        await asyncio.sleep(0)
        attempt = _attempts.new_attempt(RUN, slot.clock.monotonic() + 60)
        _slots.add_attempt(slot, attempt)
        attempt.admission.set_result(load.Start("a.1"))
        assert await early == daemons.PartReply(True)
        assert slot.arrival_events == {}

    asyncio.run(story())


def test_duplicate_request_gets_the_same_answer() -> None:
    """A caller is told "not run" of what runs, and it runs again elsewhere.

    The link delivers a request twice; the second one was refused as not
    run, and its answer may come before the first one's.
    """
    began = 0

    async def upstream(_: web.BaseRequest) -> web.StreamResponse:
        nonlocal began
        began += 1
        await asyncio.sleep(0.05)
        return web.Response(text="ok")

    async def story() -> None:
        async with meshes.started(upstream) as mesh:
            slot = mesh.back.slot
            both = await asyncio.gather(
                _execution.run(slot, SHORT), _execution.run(slot, SHORT)
            )
            assert [answer.body for answer in both] == [b"ok", b"ok"]

    asyncio.run(asyncio.wait_for(story(), meshes.WAIT))
    assert began == 1


def test_cancellation_before_its_request_prevents_it() -> None:
    """An instance works for a caller that had gone before it began."""

    async def upstream(_: web.BaseRequest) -> web.StreamResponse:
        raise AssertionError("nothing may run")

    async def story() -> None:
        async with meshes.started(upstream) as mesh:
            slot = mesh.back.slot
            _slots.cancel_attempt(slot, SHORT.attempt_id)
            answer = await _execution.run(slot, SHORT)
            told = (answer.outcome, answer.reason)
            assert told == ("not run", outcomes.Reason.CANCELLED.value)

    asyncio.run(asyncio.wait_for(story(), meshes.WAIT))
