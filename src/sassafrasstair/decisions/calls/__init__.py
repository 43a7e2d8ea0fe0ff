"""Call decisions at the entrance: routing, retries and final answers."""

from __future__ import annotations

from sassafrasstair.decisions.calls._crossings import CrossingReason
from sassafrasstair.decisions.calls._crossings import reason_for_crossing
from sassafrasstair.decisions.calls._delays import ScoredTarget
from sassafrasstair.decisions.calls._entrances import abandon_call
from sassafrasstair.decisions.calls._entrances import apply_answer
from sassafrasstair.decisions.calls._entrances import begin_call
from sassafrasstair.decisions.calls._entrances import Entrance
from sassafrasstair.decisions.calls._entrances import floor
from sassafrasstair.decisions.calls._entrances import max_callee_floor
from sassafrasstair.decisions.calls._entrances import new_entrance
from sassafrasstair.decisions.calls._floors import Floors
from sassafrasstair.decisions.calls._floors import observe_floor
from sassafrasstair.decisions.calls._floors import of_service as floor_of
from sassafrasstair.decisions.calls._groups import has_untried
from sassafrasstair.decisions.calls._groups import shortest_service_seconds
from sassafrasstair.decisions.calls._messages import Answer
from sassafrasstair.decisions.calls._messages import Call
from sassafrasstair.decisions.calls._messages import Deliver
from sassafrasstair.decisions.calls._messages import Effect
from sassafrasstair.decisions.calls._messages import LoadReport
from sassafrasstair.decisions.calls._messages import Need
from sassafrasstair.decisions.calls._messages import Refuse
from sassafrasstair.decisions.calls._messages import Send
from sassafrasstair.decisions.calls._messages import Target
from sassafrasstair.decisions.calls._pauses import HEARTBEAT_SECONDS
from sassafrasstair.decisions.calls._pauses import max_message_age
from sassafrasstair.decisions.calls._pauses import note as note_beat
from sassafrasstair.decisions.calls._pauses import Pauses
from sassafrasstair.decisions.calls._pauses import ran_enough
from sassafrasstair.decisions.calls._peers import eject
from sassafrasstair.decisions.calls._peers import eject_leaving
from sassafrasstair.decisions.calls._peers import end_attempt
from sassafrasstair.decisions.calls._peers import end_last_resort
from sassafrasstair.decisions.calls._peers import forget_attempt
from sassafrasstair.decisions.calls._peers import is_leaving
from sassafrasstair.decisions.calls._peers import note_pong
from sassafrasstair.decisions.calls._peers import probe_due
from sassafrasstair.decisions.calls._peers import probe_ended
from sassafrasstair.decisions.calls._peers import record_restart
from sassafrasstair.decisions.calls._peers import Routes
from sassafrasstair.decisions.calls._peers import start_attempt
from sassafrasstair.decisions.calls._routing import choose
from sassafrasstair.decisions.calls._routing import choose_leaving
from sassafrasstair.decisions.calls._routing import choose_stalled
from sassafrasstair.decisions.calls._routing import pick_target
from sassafrasstair.decisions.calls._speeds import observe_route_seconds
from sassafrasstair.decisions.calls._views import choose_target
from sassafrasstair.decisions.calls._views import floors
from sassafrasstair.decisions.calls._views import retry_tokens

__all__ = [
    "Answer",
    "Call",
    "CrossingReason",
    "Deliver",
    "Effect",
    "Entrance",
    "Floors",
    "HEARTBEAT_SECONDS",
    "LoadReport",
    "Need",
    "Pauses",
    "Refuse",
    "Routes",
    "Send",
    "ScoredTarget",
    "Target",
    "abandon_call",
    "apply_answer",
    "begin_call",
    "choose",
    "choose_leaving",
    "choose_stalled",
    "choose_target",
    "eject",
    "eject_leaving",
    "end_attempt",
    "end_last_resort",
    "floor",
    "floor_of",
    "floors",
    "forget_attempt",
    "has_untried",
    "is_leaving",
    "max_callee_floor",
    "max_message_age",
    "new_entrance",
    "note_beat",
    "observe_floor",
    "observe_route_seconds",
    "pick_target",
    "note_pong",
    "probe_due",
    "probe_ended",
    "ran_enough",
    "reason_for_crossing",
    "record_restart",
    "retry_tokens",
    "shortest_service_seconds",
    "start_attempt",
]
