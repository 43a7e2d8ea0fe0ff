"""Call decisions at the entrance: routing, retries and final answers."""

from __future__ import annotations

from sassafrasstair.decisions.calls._entrances import abandon
from sassafrasstair.decisions.calls._entrances import answered
from sassafrasstair.decisions.calls._entrances import begin
from sassafrasstair.decisions.calls._entrances import Entrance
from sassafrasstair.decisions.calls._entrances import floor
from sassafrasstair.decisions.calls._entrances import floor_below
from sassafrasstair.decisions.calls._entrances import new_entrance
from sassafrasstair.decisions.calls._messages import Answer
from sassafrasstair.decisions.calls._messages import Call
from sassafrasstair.decisions.calls._messages import Deliver
from sassafrasstair.decisions.calls._messages import Effect
from sassafrasstair.decisions.calls._messages import Load
from sassafrasstair.decisions.calls._messages import Refuse
from sassafrasstair.decisions.calls._messages import Send
from sassafrasstair.decisions.calls._messages import Target
from sassafrasstair.decisions.calls._routing import probe_due
from sassafrasstair.decisions.calls._routing import probed

__all__ = [
    "Answer",
    "Call",
    "Deliver",
    "Effect",
    "Entrance",
    "Load",
    "Refuse",
    "Send",
    "Target",
    "abandon",
    "answered",
    "begin",
    "floor",
    "floor_below",
    "new_entrance",
    "probe_due",
    "probed",
]
