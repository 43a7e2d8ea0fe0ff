from __future__ import annotations

import asyncio

from sassafrasstair.runtime import _daemon


def test_exception_does_not_end_a_periodic_step() -> None:
    """A periodic step is called again after an exception.

    Without this, one exception ended the task without a log line, and the
    daemon went on with queues that never expired.
    """

    async def scenario() -> None:
        called = asyncio.Event()
        faults = iter([ValueError("fault")])

        def step() -> None:
            fault = next(faults, None)
            if fault is not None:
                raise fault
            called.set()

        task = asyncio.create_task(_daemon._repeat(step, 0.0))
        await asyncio.wait_for(called.wait(), 5.0)
        task.cancel()

    asyncio.run(scenario())
