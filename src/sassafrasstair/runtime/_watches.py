"""Watches of the platform that end when no answer can come any more."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
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
CONTENT_BYTES_PER_SECOND = 1_000.0
"""Bytes of values that checks may read where a change may be noticed late, of
the 3 KB per second that a daemon may use for control."""


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """What was read last under a prefix: the index, and the values' digest.

    ``size`` is the length of the values in bytes.
    """

    index: int = 0
    digest: bytes = b""
    size: int = 0


def known_of(snapshot: configservice.Snapshot) -> Known:
    """Return what to remember of a snapshot."""
    digest = hashlib.blake2b()
    for key, value in sorted(snapshot.values.items()):
        digest.update(b"%d %d " % (len(key), len(value)))
        digest.update(key.encode() + value)
    size = sum(map(len, snapshot.values.values()))
    return Known(snapshot.index, digest.digest(), size)


async def watch(
    client: configservice.Client,
    prefix: str,
    known: Known,
    count_call: abc.Callable[[], None],
    may_be_late: bool = False,
) -> configservice.Snapshot:
    """Return the values under ``prefix`` once they may have changed.

    ``count_call`` is called for each call to the platform. Raises
    ``PlatformError``.

    A watch that was waiting when the platform went away is never answered,
    not even when the platform is back, so new bundles would be missed until
    the watch times out. The index is therefore checked meanwhile. If a
    check succeeds after a failed one, or returns an index other than that of
    ``known``, the watch is given up and all values are read.

    A platform that is restored from an older copy gives its indexes out
    again, so a change may have the index that is known already. Checks
    therefore read the values, whatever their size. With ``may_be_late`` they
    do so only as often as ``CONTENT_BYTES_PER_SECOND`` allows, and otherwise
    read the index. Such a change is then noticed after ``WATCH_SECONDS`` at
    the latest, when the watch itself is answered.
    """
    count_call()
    waiting = asyncio.ensure_future(
        client.watch(prefix, known.index, WATCH_SECONDS)
    )
    loop = asyncio.get_running_loop()
    read_at = loop.time()
    read_interval = 0.0
    if may_be_late:
        read_interval = known.size / CONTENT_BYTES_PER_SECOND
    check_failed = False
    try:
        while not waiting.done():
            pause = RECHECK_SECONDS if check_failed else CHECK_SECONDS
            await asyncio.wait((waiting,), timeout=pause)
            if waiting.done():
                break
            read_due = loop.time() - read_at >= read_interval
            count_call()
            try:
                if read_due:
                    snapshot = await client.read_promptly(prefix)
                    read_at = loop.time()
                    current_index = snapshot.index
                else:
                    current_index = await client.read_index(prefix)
            except configservice.PlatformError:
                check_failed = True
                continue
            if waiting.done():
                break
            if read_due and (check_failed or known_of(snapshot) != known):
                return snapshot
            if check_failed or current_index != known.index:
                count_call()
                return await client.read(prefix)
        return waiting.result()
    finally:
        waiting.cancel()
