"""Tests of bundles that are adopted while requests are under way."""

from __future__ import annotations

import asyncio

import msgspec

from sassafrasstair.runtime import _execution
from tests.runtime import meshes
from tests.runtime import test_tickets_in_use


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
