"""Crashes of the upstream on this VM, and what ran there."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _counters

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

HOST_KEY = b"host"
SHOWN_MAX = 24
"""Requests named in one log line, those seen in most crashes first."""
COUNTED_MAX = 4_000
"""Requests whose crashes are counted, the latest."""


def fingerprint(order: _records.Order) -> int:
    """Return the fingerprint of a request that came for the upstream."""
    host = b""
    for name, value in order.fields:
        if name.lower() == HOST_KEY:
            host = value
    return crashes.fingerprint(order.method, host, order.target, order.body)


def note(daemon: _state.Daemon, runs: list[_records.Run], now: float) -> None:
    """Note that the upstream crashed while these requests ran there."""
    ran = {
        fingerprint(run.order): now - run.guard.running.get(run.key, now)
        for run in runs
    }
    for each in ran:
        daemon.crash_counts[each] = daemon.crash_counts.pop(each, 0) + 1
    while len(daemon.crash_counts) > COUNTED_MAX:
        del daemon.crash_counts[next(iter(daemon.crash_counts))]
    counts = daemon.crash_counts
    first = sorted(ran, key=lambda each: (-counts[each], ran[each]))
    _counters.believed(daemon.counters, "instance_crashed")
    daemon.journal.note(
        "instance_crashed",
        instance=runs[-1].order.ask.instance if runs else "",
        runs=len(runs),
        requests=",".join(
            f"{crashes.shown(each)}:{counts[each]}:{ran[each]:.3f}"
            for each in first[:SHOWN_MAX]
        ),
    )
