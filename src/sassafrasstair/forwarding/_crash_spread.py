"""Telling other daemons at once of crashes that are new here.

To the daemon that is followed, or from a reader to those of other failure
domains, and with the answers to all that poll here: so along the ways of the
feed, in milliseconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.forwarding import _crash_news
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state

LAZY_SECONDS = 0.25
"""For how long what changes no decision yet waits for more of its kind."""
PACE_SECONDS = 0.02
FAULT_SECONDS = 0.5
EARLIER_TOLD = 3
"""Daemons of the own failure domain that a reader tells: one that comes
before it may read the store, too."""


async def tell_forever(daemon: _state.Daemon) -> None:
    """Tell what is new until cancelled."""
    while True:
        await daemon.crash_changed.wait()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(daemon.crash_urgent.wait(), LAZY_SECONDS)
        daemon.crash_changed.clear()
        daemon.crash_urgent.clear()
        try:
            _tell(daemon)
        except Exception as error:
            # One fault here must not keep all later crashes untold.
            daemon.journal.note("crash_news_failed", error=repr(error))
            await asyncio.sleep(FAULT_SECONDS)
        await asyncio.sleep(PACE_SECONDS)


def _tell(daemon: _state.Daemon) -> None:
    ledger = daemon.ledger
    now = daemon.clock.monotonic()
    reports = crashes.reports(ledger, now, daemon.crash_told)
    daemon.crash_told = ledger.version
    if not reports:
        return
    value = _crash_wire.encode(ledger.digest, reports)
    _polls.answer_crashes(daemon, (_crash_wire.FIELD, value))
    for host in _upwards(daemon):
        if _crash_news.knows(daemon, host):
            continue
        _peers.ping(daemon, host, (_crash_wire.FIELD, value))


def _upwards(daemon: _state.Daemon) -> list[str]:
    """Return the daemons that don't poll here and tell others."""
    parent = daemon.feed.parent
    if parent is not None and parent != feeds.STORE:
        return [parent]
    return [*daemon.foreign_readers, *daemon.feed.before[:EARLIER_TOLD]]
