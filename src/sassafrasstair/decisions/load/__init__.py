"""Load control at an upstream instance: limits, queue and load shedding."""

from __future__ import annotations

from sassafrasstair.decisions.load._guards import cancel
from sassafrasstair.decisions.load._guards import finish
from sassafrasstair.decisions.load._guards import floor
from sassafrasstair.decisions.load._guards import Guard
from sassafrasstair.decisions.load._guards import new_guard
from sassafrasstair.decisions.load._guards import note_said_to_leave
from sassafrasstair.decisions.load._guards import observe_rate
from sassafrasstair.decisions.load._guards import offer
from sassafrasstair.decisions.load._guards import retire
from sassafrasstair.decisions.load._guards import suggest_rate
from sassafrasstair.decisions.load._guards import tick
from sassafrasstair.decisions.load._messages import Abort
from sassafrasstair.decisions.load._messages import Effect
from sassafrasstair.decisions.load._messages import End
from sassafrasstair.decisions.load._messages import Start
from sassafrasstair.decisions.load._messages import TurnAway
from sassafrasstair.decisions.load._messages import Work
from sassafrasstair.decisions.load._rank import rank
from sassafrasstair.decisions.load._views import busy
from sassafrasstair.decisions.load._views import busy_at_or_above
from sassafrasstair.decisions.load._views import knows_route
from sassafrasstair.decisions.load._views import learned_limit
from sassafrasstair.decisions.load._views import limit
from sassafrasstair.decisions.load._views import longest_seconds
from sassafrasstair.decisions.load._views import rate_limit
from sassafrasstair.decisions.load._views import resize
from sassafrasstair.decisions.load._views import route_seconds
from sassafrasstair.decisions.load._views import service_seconds
from sassafrasstair.decisions.load._views import usual_seconds
from sassafrasstair.decisions.load._views import wait_seconds

__all__ = [
    "Abort",
    "Effect",
    "End",
    "Guard",
    "Start",
    "TurnAway",
    "Work",
    "busy",
    "busy_at_or_above",
    "cancel",
    "finish",
    "floor",
    "knows_route",
    "learned_limit",
    "limit",
    "longest_seconds",
    "new_guard",
    "note_said_to_leave",
    "observe_rate",
    "offer",
    "rank",
    "rate_limit",
    "resize",
    "retire",
    "route_seconds",
    "service_seconds",
    "wait_seconds",
    "suggest_rate",
    "tick",
    "usual_seconds",
]
