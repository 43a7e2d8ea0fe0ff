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
    """Refusals passed on from a deeper service do not cut the limit.

    The ledger is overloaded and refuses, and each poster passes the refusal
    on. The guards of the posters took this for overload of their own
    upstream, cut their limits to an eighth, and refused work that needs no
    ledger.
    """

    async def scenario() -> tuple[float, float]:
        callee = test_tickets_in_use.busy_callee()
        now = callee.clock.monotonic()
        callee.guard = load.new_guard(16, now - 9)
        run = test_tickets_in_use.new_request(callee, "", "1.1")
        bundle = callee.bundle()
        assert bundle is not None
        attempt = _attempts.new_attempt(run, now + 9, bundle)
        attempt.child_refused = nested
        callee.attempts["1.1"] = attempt
        work = _execution._to_work(attempt)
        assert load.offer(callee.guard, work, now) == [load.Start("1.1")]
        before = callee.guard.limit
        error = upstreams.UpstreamError(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.UPSTREAM_REFUSED
        )
        answer = _execution._finish_failed(callee, attempt, error)
        assert answer.outcome == "not run"
        return before, callee.guard.limit

    before, after = asyncio.run(scenario())
    assert (after == before) is nested
