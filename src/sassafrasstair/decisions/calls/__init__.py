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
from sassafrasstair.decisions.calls._pauses import BEAT_SECONDS
from sassafrasstair.decisions.calls._pauses import lateness
from sassafrasstair.decisions.calls._pauses import note as note_beat
from sassafrasstair.decisions.calls._pauses import Pauses
from sassafrasstair.decisions.calls._routing import probe_due
from sassafrasstair.decisions.calls._routing import probed
from sassafrasstair.decisions.calls._views import choose
from sassafrasstair.decisions.calls._views import floors
from sassafrasstair.decisions.calls._views import retry_tokens

__all__ = [
    "BEAT_SECONDS",
    "Answer",
    "Call",
    "Deliver",
    "Effect",
    "Entrance",
    "Load",
    "Pauses",
    "Refuse",
    "Send",
    "Target",
    "abandon",
    "answered",
    "begin",
    "choose",
    "floor",
    "floor_below",
    "floors",
    "lateness",
    "new_entrance",
    "note_beat",
    "probe_due",
    "probed",
    "retry_tokens",
]
