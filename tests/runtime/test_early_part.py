from __future__ import annotations

import asyncio

from sassafrasstair import clocks
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import metrics
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _bodies
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams

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


def _new_slot() -> _slots.Slot:
    return _slots.Slot(
        service="intake",
        incarnation="i",
        clock=clocks.SystemClock(),
        guard=load.new_guard(1, 0.0),
        owner=once.new_owner("intake-1", "i", bytes(32), 1),
        upstream=upstreams.connect("http://127.0.0.1:1"),
        bundle=lambda: None,
        floor_below=lambda _class, _tenant: 0.0,
        pauses=calls.Pauses(0.0),
        counts=metrics.Metrics(),
    )


def test_body_that_comes_before_its_request_is_wanted() -> None:
    """A shopkeeper's upload hangs for its whole deadline, then is unknown.

    The entrance sends the request and asks whether its body is wanted, in
    two exchanges. The callee handles the second one first and says no, so
    no body is sent; then the request starts and waits for it.
    """

    async def story() -> None:
        slot = _new_slot()
        early = asyncio.create_task(
            _bodies.take_part(slot, daemons.BodyPart("a.1", 0, b""))
        )
        await asyncio.sleep(0)
        attempt = _attempts.new_attempt(RUN, slot.clock.monotonic() + 60)
        _slots.arrived(slot, attempt)
        attempt.verdict.set_result(load.Start("a.1"))
        assert await early == daemons.PartTaken(True)
        assert slot.arrivals == {}

    asyncio.run(story())
