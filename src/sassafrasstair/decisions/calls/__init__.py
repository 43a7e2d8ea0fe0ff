"""Call decisions at the entrance: routing, retries and final answers."""

from __future__ import annotations

from sassafrasstair.decisions.calls._entrances import abandon
from sassafrasstair.decisions.calls._entrances import answered
from sassafrasstair.decisions.calls._entrances import begin
from sassafrasstair.decisions.calls._entrances import Entrance
from sassafrasstair.decisions.calls._entrances import floor
from sassafrasstair.decisions.calls._entrances import floor_below
from sassafrasstair.decisions.calls._entrances import new_entrance
from sassafrasstair.decisions.calls._floors import Floors
from sassafrasstair.decisions.calls._floors import hear
from sassafrasstair.decisions.calls._floors import of_service as floor_of
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
from sassafrasstair.decisions.calls._peers import eject
from sassafrasstair.decisions.calls._peers import ended
from sassafrasstair.decisions.calls._peers import forget
from sassafrasstair.decisions.calls._peers import probe_due
from sassafrasstair.decisions.calls._peers import probed
from sassafrasstair.decisions.calls._peers import restarted
from sassafrasstair.decisions.calls._peers import Routes
from sassafrasstair.decisions.calls._peers import sent
from sassafrasstair.decisions.calls._routing import Leaving
from sassafrasstair.decisions.calls._routing import pick
from sassafrasstair.decisions.calls._routing import why_left
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
    "Floors",
    "Leaving",
    "Load",
    "Pauses",
    "Refuse",
    "Routes",
    "Send",
    "Target",
    "abandon",
    "answered",
    "begin",
    "choose",
    "eject",
    "ended",
    "floor",
    "floor_below",
    "floor_of",
    "floors",
    "forget",
    "lateness",
    "hear",
    "new_entrance",
    "note_beat",
    "pick",
    "probe_due",
    "probed",
    "restarted",
    "retry_tokens",
    "sent",
    "why_left",
]
