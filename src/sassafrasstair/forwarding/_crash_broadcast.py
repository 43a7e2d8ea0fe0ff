"""Sends new crash records to peers as soon as they are known.

They go to the daemon that this one follows, or from a reader of the store to
the readers of other failure domains, and to followers as answers to the polls
that they hold open here.
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
"""For how long changes that affect no decision yet are batched."""
INTERVAL_SECONDS_MIN = 0.02
FAULT_PAUSE_SECONDS = 0.5
EARLIER_READERS_MAX = 3
"""How many daemons that precede it in its failure domain a reader sends
records to, as they may read the store too."""


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
            # An error must not prevent later updates.
            daemon.journal.note("crash_update_failed", error=repr(error))
            await asyncio.sleep(FAULT_PAUSE_SECONDS)
        await asyncio.sleep(INTERVAL_SECONDS_MIN)


def _broadcast(daemon: _state.Daemon) -> None:
    ledger = daemon.crash_ledger
    now = daemon.clock.monotonic()
    since = daemon.crash_sent_version
    reports = crashes.reports_since(ledger, now, since)
    daemon.crash_sent_version = ledger.version
    if not reports:
        return
    value = _crash_wire.encode(ledger.digest, reports)
    _polls.answer_with_crashes(daemon, (_crash_wire.HEADER, value), since)
    for host in _hosts_to_ping(daemon):
        if _crash_updates.is_in_sync(daemon, host):
            continue
        _crash_updates.mark_sent(daemon, host, since)
        _peers.ping(daemon, host, (_crash_wire.HEADER, value))


def _hosts_to_ping(daemon: _state.Daemon) -> list[str]:
    """Return the hosts to ping, as they do not poll this daemon."""
    parent = daemon.feed.parent
    if parent is not None and parent != feeds.STORE:
        return [parent]
    return [
        *daemon.foreign_readers,
        *daemon.feed.earlier_hosts[:EARLIER_READERS_MAX],
    ]
