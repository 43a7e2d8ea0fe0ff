"""Keeps work from an upstream that says that it is leaving.

The daemon stays, and serves again once another upstream listens in its place.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import logs
from sassafrasstair import outcomes
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams

ACCEPT_SECONDS = 2.0
"""Work is still taken for so long: an entrance that has not yet heard that
the upstream leaves may send a call that its class allows no retry of."""
PROBE_SECONDS = 0.5
RESUME_SECONDS = 30.0
"""Work is taken again after this time at the latest. The upstream may have
been replaced between two probes; if it was not, its next answer says so."""

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Departure:
    """An upstream that said at ``said_at`` that it is leaving.

    ``has_ended`` is set once it accepts no connections. ``probe`` is the last
    attempt to connect, made at ``probed_at``.
    """

    said_at: float
    has_ended: bool = False
    probed_at: float = 0.0
    probe: asyncio.Task[bool] | None = None


def begin(callee: _slots.Callee, now: float) -> None:
    """Stop issuing tickets, and take work only for a little longer."""
    if callee.departure is not None or callee.stopping:
        return
    logs.event(_LOG, logging.INFO, "upstream_says_leaving")
    callee.departure = Departure(now)
    once.stop_issuing(callee.owner)


def tick(callee: _slots.Callee, now: float) -> None:
    """Refuse work in time, and take it again from the next upstream."""
    departure = callee.departure
    if departure is None:
        return
    if callee.stopping:
        callee.departure = None
        return
    is_late = now - departure.said_at >= ACCEPT_SECONDS
    if is_late and not callee.guard.leaving:
        # What waits may run elsewhere; here it may meet the upstream's end.
        effects = load.retire(callee.guard, outcomes.Reason.LEAVING)
        _slots.apply_effects(callee, effects)
    if _is_replaced(departure) or now - departure.said_at >= RESUME_SECONDS:
        logs.event(_LOG, logging.INFO, "upstream_back")
        callee.departure = None
        callee.guard.leaving = False
        once.resume_issuing(callee.owner)
    elif now - departure.probed_at >= PROBE_SECONDS:
        departure.probed_at = now
        departure.probe = asyncio.ensure_future(
            upstreams.accepts_connections(callee.upstream)
        )


def _is_replaced(departure: Departure) -> bool:
    """Return whether another upstream listens where this one has ended."""
    probe = departure.probe
    if probe is None or not probe.done():
        return False
    if not probe.result():
        departure.has_ended = True
        return False
    return departure.has_ended
