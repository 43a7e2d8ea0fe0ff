"""What requests cost at the services of their chains, and the room there."""

from __future__ import annotations

from sassafrasstair.decisions.costs._chains import call_answered
from sassafrasstair.decisions.costs._chains import call_started
from sassafrasstair.decisions.costs._chains import CallChains
from sassafrasstair.decisions.costs._chains import calls_per_run
from sassafrasstair.decisions.costs._chains import run_ended
from sassafrasstair.decisions.costs._chains import run_started
from sassafrasstair.decisions.costs._demands import Demand
from sassafrasstair.decisions.costs._demands import offered_share
from sassafrasstair.decisions.costs._demands import record_offer
from sassafrasstair.decisions.costs._demands import withdraw_offer
from sassafrasstair.decisions.costs._ledgers import costs_of_route
from sassafrasstair.decisions.costs._ledgers import Ledger
from sassafrasstair.decisions.costs._ledgers import MIN_OFFERED
from sassafrasstair.decisions.costs._ledgers import observe_costs
from sassafrasstair.decisions.costs._messages import ServiceCost
from sassafrasstair.decisions.costs._rooms import RoomAverage
from sassafrasstair.decisions.costs._rooms import update_room

__all__ = [
    "CallChains",
    "Demand",
    "Ledger",
    "MIN_OFFERED",
    "RoomAverage",
    "ServiceCost",
    "call_answered",
    "call_started",
    "calls_per_run",
    "costs_of_route",
    "observe_costs",
    "offered_share",
    "record_offer",
    "run_ended",
    "run_started",
    "update_room",
    "withdraw_offer",
]
