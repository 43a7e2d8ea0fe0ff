"""How much memory a trial leaves behind without the collector of cycles."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tracemalloc
import typing

if typing.TYPE_CHECKING:
    from collections import abc

SETTLE_SECONDS = 0.2


@contextlib.contextmanager
def without_collector() -> abc.Iterator[None]:
    """Trace allocations while no cycle is freed."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def traced_bytes() -> int:
    """Return the bytes that are allocated once connections have ended."""
    await asyncio.sleep(SETTLE_SECONDS)
    return tracemalloc.get_traced_memory()[0]
