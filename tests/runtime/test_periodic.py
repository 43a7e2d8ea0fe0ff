from __future__ import annotations

import asyncio

from sassafrasstair.runtime import _daemon


def test_exception_does_not_end_a_periodic_step() -> None:
    """A daemon serves on, but its queues never expire any more.

    One tick meets a fault. Nothing is logged, and no tick follows.
    """

    async def story() -> None:
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

    asyncio.run(story())
