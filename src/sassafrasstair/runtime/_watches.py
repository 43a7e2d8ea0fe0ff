"""Watches of the platform that end when no answer can come any more."""

from __future__ import annotations

import asyncio
import typing

from sassafrasstair import configservice

if typing.TYPE_CHECKING:
    from collections import abc

WATCH_SECONDS = 40.0
CHECK_SECONDS = 2.0
"""Interval between two checks of the index. A bundle must be in force
everywhere within 6 s, of which its distribution may take 2 s."""
RECHECK_SECONDS = 0.5
"""Interval after a check that got no answer."""


async def watch(
    client: configservice.Client,
    prefix: str,
    index: int,
    count_call: abc.Callable[[], None],
) -> configservice.Snapshot:
    """Return the values under ``prefix`` once their index has changed.

    ``count_call`` is called for each call to the platform. Raises
    ``PlatformError``.

    A watch that was waiting when the platform went away is never answered,
    not even when the platform is back, so new bundles would be missed until
    the watch times out. The index is therefore checked meanwhile. If a
    check succeeds after a failed one, or returns an index other than
    ``index``, the watch is given up and all values are read.
    """
    count_call()
    waiting = asyncio.ensure_future(client.watch(prefix, index, WATCH_SECONDS))
    check_failed = False
    try:
        while not waiting.done():
            pause = RECHECK_SECONDS if check_failed else CHECK_SECONDS
            await asyncio.wait((waiting,), timeout=pause)
            if waiting.done():
                break
            count_call()
            try:
                current_index = await client.read_index(prefix)
            except configservice.PlatformError:
                check_failed = True
                continue
            if waiting.done():
                break
            if check_failed or current_index != index:
                count_call()
                return await client.read(prefix)
        return waiting.result()
    finally:
        waiting.cancel()
