from __future__ import annotations

import asyncio
import dataclasses

import msgspec
import pytest

from sassafrasstair import callers
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _entries
from sassafrasstair.runtime import _execution
from sassafrasstair.runtime import _slots
from tests.fuzz import worlds
from tests.runtime import test_early_part

Reason = outcomes.Reason
WAIT = 5.0


def busy_callee() -> _slots.Callee:
    """Return a callee whose guard is full, so that new attempts wait."""
    bundle = worlds.verify(worlds.envelope(1))
    callee = test_early_part._new_callee()
    now = callee.clock.monotonic()
    callee = dataclasses.replace(
        callee,
        service="poster",
        owner=once.new_owner("poster-1", "i", bytes(32), 4),
        bundle=lambda: bundle,
        pauses=calls.Pauses(now),
    )
    work = load.Work("other", "report", "shop", 9.0, now + 60, 60.0)
    assert load.offer(callee.guard, work, now) == [load.Start("other")]
    return callee


def new_request(
    callee: _slots.Callee, ticket: str, attempt_id: str
) -> daemons.Run:
    return msgspec.structs.replace(
        test_early_part.LONG_REQUEST,
        service="poster",
        request_class="write-down" if ticket else "lookup",
        ticket=ticket,
        attempt_id=attempt_id,
        remaining_ms=30_000,
        has_more_parts=False,
    )


def issue_ticket(callee: _slots.Callee) -> str:
    now = callee.clock.monotonic()
    issued = once.issue_ticket(callee.owner, "poster", "write-down", 60.0, now)
    assert isinstance(issued, once.Issued)
    return issued.ticket


async def start_request(
    callee: _slots.Callee, ticket: str, attempt_id: str
) -> asyncio.Task[daemons.RunAnswer]:
    request = new_request(callee, ticket, attempt_id)
    task = asyncio.create_task(_execution.run(callee, request))
    for _ in range(3):
        await asyncio.sleep(0)
    return task


def test_duplicate_request_is_not_refused_while_waiting() -> None:
    """A request delivered twice is not refused while it waits.

    The second copy was refused because the first one was waiting, and the
    refusal could arrive before the answer to the first copy.
    """

    async def scenario() -> None:
        callee = busy_callee()
        first = await start_request(callee, "", "1.1")
        second = await start_request(callee, "", "1.1")
        assert not second.done()
        _slots.cancel_attempt(callee, "1.1")
        assert (await first).reason == Reason.CANCELLED.value
        assert (await second) == (await first)
        assert callee.duplicate_requests == 1

    asyncio.run(asyncio.wait_for(scenario(), WAIT))


def test_refused_ticket_use_joins_or_voids() -> None:
    """A refused use of a ticket joins a running use or voids the ticket.

    The owner has no bundle when a repeat arrives. If it refused the repeat
    as "not run" while the first use waits in its queue, the caller would
    start the work again and it would run twice.
    """

    async def scenario() -> None:
        callee = busy_callee()
        running, unused = issue_ticket(callee), issue_ticket(callee)
        first = await start_request(callee, running, "1.1")
        callee.bundle = lambda: None
        again = await start_request(callee, running, "1.2")
        assert not again.done()
        refused = await (await start_request(callee, unused, "2.1"))
        assert refused.outcome == "not run"
        callee.bundle = busy_callee().bundle
        late = await (await start_request(callee, unused, "2.2"))
        assert late.reason == Reason.TICKET_VOID.value
        turn = load.TurnAway("1.1", Reason.QUEUE_FULL, 1.0)
        callee.attempts["1.1"].admission.set_result(turn)
        assert (await first).outcome == (await again).outcome == "not run"

    asyncio.run(asyncio.wait_for(scenario(), WAIT))


def test_cancelled_use_does_not_end_a_joined_repeat() -> None:
    """Cancelling the first use of a ticket does not end a joined repeat.

    The caller gives up and repeats the request, which joins the execution
    of the first use. The cancellation of the first use arrives after that
    and must not end both.
    """

    async def scenario() -> None:
        callee = busy_callee()
        ticket = issue_ticket(callee)
        first = await start_request(callee, ticket, "1.1")
        again = await start_request(callee, ticket, "1.2")
        _slots.cancel_attempt(callee, "1.1")
        await asyncio.wait({first}, timeout=0.01)
        assert not first.done()
        again.cancel()
        await asyncio.wait({again})
        _slots.cancel_attempt(callee, "1.1")
        assert (await first).outcome == "not run"
        assert not callee.ticket_joiners

    asyncio.run(asyncio.wait_for(scenario(), WAIT))


@pytest.mark.parametrize(
    ("ticket", "repeat", "reason", "expected"),
    [
        ("t", 0, Reason.NO_BUNDLE, outcomes.Outcome.NOT_RUN),
        ("t", 1, Reason.NO_BUNDLE, outcomes.Outcome.UNKNOWN),
        ("", 1, Reason.NO_BUNDLE, outcomes.Outcome.NOT_RUN),
        ("", 0, Reason.PARENT_GONE, outcomes.Outcome.UNKNOWN),
    ],
)
def test_early_refusal_of_a_repeat_is_unknown(
    ticket: str,
    repeat: int,
    reason: outcomes.Reason,
    expected: outcomes.Outcome,
) -> None:
    fields = callers.Fields("c", "t", "c", 0.0, repeat, ticket, "", "")
    refusal = callers.Refusal(outcomes.Outcome.NOT_RUN, reason)
    assert _entries.correct_refusal(fields, refusal).outcome is expected
