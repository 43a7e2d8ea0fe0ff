"""One watch of the platform, given up once it waits in vain."""

from __future__ import annotations

import asyncio
import typing

from sassafrasstair import configservice

if typing.TYPE_CHECKING:
    from collections import abc

WATCH_SECONDS = 40.0
CHECK_SECONDS = 2.0
"""Between two checks: a bundle is in force everywhere within 6 s, of which
its way to all daemons may take 2."""
RECHECK_SECONDS = 0.5
"""The same after one without an answer."""


async def watch(
    client: configservice.Client,
    prefix: str,
    index: int,
    count_call: abc.Callable[[], None],
) -> configservice.Snapshot:
    """Return what stands under ``prefix`` once its index has changed.

    Raises ``PlatformError``. ``counted`` is called for each call.

    Failure: what waits at a platform that goes away gets no answer, also
    when it is back, and bundles are not heard of until the watch is over. A
    check that is answered after one that was not, or with another index
    than the watch began at, shows it, and the whole is read.
    """
    count_call()
    waiting = asyncio.ensure_future(client.watch(prefix, index, WATCH_SECONDS))
    missed = False
    try:
        while not waiting.done():
            pause = RECHECK_SECONDS if missed else CHECK_SECONDS
            await asyncio.wait((waiting,), timeout=pause)
            if waiting.done():
                break
            count_call()
            try:
                seen = await client.read_index(prefix)
            except configservice.PlatformError:
                missed = True
                continue
            if waiting.done():
                break
            if missed or seen != index:
                count_call()
                return await client.read(prefix)
        return waiting.result()
    finally:
        waiting.cancel()
