"""What a stopping daemon takes, refuses, closes and ends, and when.

``Stop`` holds the state from the signal to stop on. A request that has been
read early may be cut at the end of the grace period, so that it is taken if it
can be expected to end in time. A later one, and any of another daemon, is
taken only if its own time limit ends in time: how long others took is no
bound.
"""

from __future__ import annotations

from sassafrasstair.decisions.stops._longest import current as current_longest
from sassafrasstair.decisions.stops._longest import Longest
from sassafrasstair.decisions.stops._longest import observe as observe_longest
from sassafrasstair.decisions.stops._stops import accepts_connections
from sassafrasstair.decisions.stops._stops import Arrival
from sassafrasstair.decisions.stops._stops import begin
from sassafrasstair.decisions.stops._stops import has_stalled
from sassafrasstair.decisions.stops._stops import idle_seconds
from sassafrasstair.decisions.stops._stops import InFlight
from sassafrasstair.decisions.stops._stops import may_run
from sassafrasstair.decisions.stops._stops import may_start
from sassafrasstair.decisions.stops._stops import may_start_run
from sassafrasstair.decisions.stops._stops import may_take
from sassafrasstair.decisions.stops._stops import note_last_resort
from sassafrasstair.decisions.stops._stops import Phase
from sassafrasstair.decisions.stops._stops import QUIET_SECONDS
from sassafrasstair.decisions.stops._stops import Run
from sassafrasstair.decisions.stops._stops import Stop
from sassafrasstair.decisions.stops._stops import stop_accepting
from sassafrasstair.decisions.stops._stops import tail_seconds
from sassafrasstair.decisions.stops._stops import takes_last_resorts
from sassafrasstair.decisions.stops._stops import update

__all__ = [
    "Arrival",
    "InFlight",
    "Longest",
    "Phase",
    "QUIET_SECONDS",
    "Run",
    "Stop",
    "accepts_connections",
    "begin",
    "current_longest",
    "has_stalled",
    "idle_seconds",
    "may_run",
    "may_start",
    "may_start_run",
    "may_take",
    "note_last_resort",
    "observe_longest",
    "stop_accepting",
    "tail_seconds",
    "takes_last_resorts",
    "update",
]
