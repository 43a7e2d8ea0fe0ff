from __future__ import annotations

import asyncio

import pytest

from sassafrasstair.decisions import load
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _execution
from sassafrasstair import upstreams
from tests.runtime import test_tickets_in_use


@pytest.mark.parametrize("nested", [True, False])
def test_only_own_refusals_reduce_the_limit(nested: bool) -> None:
    """Goodput stays low though only the deepest service is overloaded.

    The ledger refuses; each poster passes the refusal on. The posters'
    guards take it for overload of their own upstream, cut their limits
    to an eighth, and refuse work that needs no ledger.
    """

    async def story() -> tuple[float, float]:
        slot = test_tickets_in_use.busy_slot()
        now = slot.clock.monotonic()
        slot.guard = load.new_guard(16, now - 9)
        run = test_tickets_in_use.run_of(slot, "", "1.1")
        attempt = _attempts.new_attempt(run, now + 9)
        attempt.child_refused = nested
        slot.attempts["1.1"] = attempt
        work = _execution._to_work(slot, attempt)
        assert load.offer(slot.guard, work, now) == [load.Start("1.1")]
        before = slot.guard.limit
        error = upstreams.UpstreamError(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.UPSTREAM_REFUSED
        )
        answer = _execution._failed(slot, attempt, error)
        assert answer.outcome == "not run"
        return before, slot.guard.limit

    before, after = asyncio.run(story())
    assert (after == before) is nested
