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


def busy_slot() -> _slots.Slot:
    """Return a slot whose only place is taken: what comes waits."""
    bundle = worlds.verify(worlds.envelope(1))
    slot = test_early_part._new_slot()
    now = slot.clock.monotonic()
    slot = dataclasses.replace(
        slot,
        service="poster",
        owner=once.new_owner("poster-1", "i", bytes(32), 4),
        bundle=lambda: bundle,
        pauses=calls.Pauses(now),
    )
    work = load.Work("other", "report", "shop", 9.0, now + 60, 60.0)
    assert load.offer(slot.guard, work, now) == [load.Start("other")]
    return slot


def run_of(slot: _slots.Slot, ticket: str, attempt_id: str) -> daemons.Run:
    return msgspec.structs.replace(
        test_early_part.RUN,
        service="poster",
        request_class="write-down" if ticket else "lookup",
        ticket=ticket,
        attempt_id=attempt_id,
        remaining_ms=30_000,
        more=False,
    )


def ticket_of(slot: _slots.Slot) -> str:
    now = slot.clock.monotonic()
    issued = once.issue_ticket(slot.owner, "poster", "write-down", 60.0, now)
    assert isinstance(issued, once.Issued)
    return issued.ticket


async def arrived(
    slot: _slots.Slot, ticket: str, attempt_id: str
) -> asyncio.Task[daemons.RunAnswer]:
    run = run_of(slot, ticket, attempt_id)
    task = asyncio.create_task(_execution.run(slot, run))
    for _ in range(3):
        await asyncio.sleep(0)
    return task


def test_duplicate_request_is_not_refused_while_waiting() -> None:
    """A lookup is delivered twice and its caller hears "not run".

    The second copy finds the first one waiting and is refused; its
    refusal overtakes the answer of the first, which runs.
    """

    async def story() -> None:
        slot = busy_slot()
        first = await arrived(slot, "", "1.1")
        second = await arrived(slot, "", "1.1")
        assert not second.done()
        _slots.cancel_attempt(slot, "1.1")
        assert (await first).reason == Reason.CANCELLED.value
        assert (await second) == (await first)
        assert slot.duplicate_requests == 1

    asyncio.run(asyncio.wait_for(story(), WAIT))


def test_refused_ticket_use_joins_or_voids() -> None:
    """A write-down is repeated while the owner has no bundle or memory.

    The owner refuses the repeat as "not run", though the first use waits
    in its queue and runs; the shopkeeper then posts it again.
    """

    async def story() -> None:
        slot = busy_slot()
        running, unused = ticket_of(slot), ticket_of(slot)
        first = await arrived(slot, running, "1.1")
        slot.bundle = lambda: None
        again = await arrived(slot, running, "1.2")
        assert not again.done()
        refused = await (await arrived(slot, unused, "2.1"))
        assert refused.outcome == "not run"
        slot.bundle = busy_slot().bundle
        late = await (await arrived(slot, unused, "2.2"))
        assert late.reason == Reason.TICKET_VOID.value
        turn = load.TurnAway("1.1", Reason.QUEUE_FULL, 1.0)
        slot.attempts["1.1"].admission.set_result(turn)
        assert (await first).outcome == (await again).outcome == "not run"

    asyncio.run(asyncio.wait_for(story(), WAIT))


def test_cancelled_use_does_not_end_a_joined_repeat() -> None:
    """A shopkeeper gives up on a slow write-down and asks again.

    The repeat joins the first use's execution. The cancellation of the
    first use arrives after it, and both end as not run.
    """

    async def story() -> None:
        slot = busy_slot()
        ticket = ticket_of(slot)
        first = await arrived(slot, ticket, "1.1")
        again = await arrived(slot, ticket, "1.2")
        _slots.cancel_attempt(slot, "1.1")
        await asyncio.wait({first}, timeout=0.01)
        assert not first.done()
        again.cancel()
        await asyncio.wait({again})
        _slots.cancel_attempt(slot, "1.1")
        assert (await first).outcome == "not run"
        assert not slot.ticket_joiners

    asyncio.run(asyncio.wait_for(story(), WAIT))


@pytest.mark.parametrize(
    ("ticket", "repeat", "reason", "told"),
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
    told: outcomes.Outcome,
) -> None:
    fields = callers.Fields("c", "t", "c", 0.0, repeat, ticket, "", "")
    refusal = callers.Refusal(outcomes.Outcome.NOT_RUN, reason)
    assert _entries.correct_refusal(fields, refusal).outcome is told
