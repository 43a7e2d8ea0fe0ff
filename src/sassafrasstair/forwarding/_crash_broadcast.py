"""Sends new crash records to peers at once, along the feed.

To the daemon that is followed, or from a reader to those of other failure
domains, and as the answers to held polls.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state

BATCH_SECONDS = 0.25
"""Changes that affect no decision yet are sent in batches."""
INTERVAL_SECONDS_MIN = 0.02
FAULT_SECONDS = 0.5
EARLIER_READERS_MAX = 3
"""A daemon of the own failure domain that comes before a reader may read the
store, too."""


async def broadcast_forever(daemon: _state.Daemon) -> None:
    """Send new records until cancelled."""
    while True:
        await daemon.crash_changed.wait()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(daemon.crash_urgent.wait(), BATCH_SECONDS)
        daemon.crash_changed.clear()
        daemon.crash_urgent.clear()
        try:
            _broadcast(daemon)
        except Exception as error:
            # One fault must not end all later updates.
            daemon.journal.note("crash_update_failed", error=repr(error))
            await asyncio.sleep(FAULT_SECONDS)
        await asyncio.sleep(INTERVAL_SECONDS_MIN)


def _broadcast(daemon: _state.Daemon) -> None:
    ledger = daemon.crash_ledger
    now = daemon.clock.monotonic()
    reports = crashes.reports_since(ledger, now, daemon.crash_sent_version)
    daemon.crash_sent_version = ledger.version
    if not reports:
        return
    value = _crash_wire.encode(ledger.digest, reports)
    _polls.answer_with_crashes(daemon, (_crash_wire.HEADER, value))
    for host in _receivers(daemon):
        if _crash_updates.is_in_sync(daemon, host):
            continue
        _peers.ping(daemon, host, (_crash_wire.HEADER, value))


def _receivers(daemon: _state.Daemon) -> list[str]:
    """Return the peers that get no answers to polls here."""
    parent = daemon.feed.parent
    if parent is not None and parent != feeds.STORE:
        return [parent]
    return [
        *daemon.foreign_readers,
        *daemon.feed.earlier_hosts[:EARLIER_READERS_MAX],
    ]
