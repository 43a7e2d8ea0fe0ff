"""Admission at the entrance by the load of a request's whole chain."""

from __future__ import annotations

from sassafrasstair.decisions.admission._admissions import Admission
from sassafrasstair.decisions.admission._admissions import admit
from sassafrasstair.decisions.admission._admissions import Gate
from sassafrasstair.decisions.admission._admissions import gate_of
from sassafrasstair.decisions.admission._admissions import observe_load
from sassafrasstair.decisions.admission._admissions import pressure
from sassafrasstair.decisions.admission._admissions import shedding
from sassafrasstair.decisions.admission._allowances import admit as admit_kind
from sassafrasstair.decisions.admission._allowances import Allowances
from sassafrasstair.decisions.admission._allowances import covers
from sassafrasstair.decisions.admission._allowances import cut_kinds
from sassafrasstair.decisions.admission._allowances import greatest_offered
from sassafrasstair.decisions.admission._allowances import LEAST_SHARE
from sassafrasstair.decisions.admission._allowances import observe_costs
from sassafrasstair.decisions.admission._allowances import share_of
from sassafrasstair.decisions.admission._allowances import short_rooms
from sassafrasstair.decisions.admission._callers import Callers
from sassafrasstair.decisions.admission._callers import is_inner
from sassafrasstair.decisions.admission._callers import note_caller
from sassafrasstair.decisions.admission._chains import busiest_callee_load
from sassafrasstair.decisions.admission._chains import called_only_by_upstreams
from sassafrasstair.decisions.admission._chains import CalleeLoads
from sassafrasstair.decisions.admission._chains import mark_called_by_clients
from sassafrasstair.decisions.admission._chains import observe_inner_load
from sassafrasstair.decisions.admission._parents import parent_rank
from sassafrasstair.decisions.admission._parents import Parents
from sassafrasstair.decisions.admission._parents import RunningRequest

__all__ = [
    "Admission",
    "Allowances",
    "Callers",
    "CalleeLoads",
    "Gate",
    "LEAST_SHARE",
    "Parents",
    "RunningRequest",
    "admit",
    "admit_kind",
    "busiest_callee_load",
    "called_only_by_upstreams",
    "covers",
    "cut_kinds",
    "mark_called_by_clients",
    "gate_of",
    "greatest_offered",
    "observe_costs",
    "observe_load",
    "observe_inner_load",
    "is_inner",
    "note_caller",
    "parent_rank",
    "pressure",
    "share_of",
    "shedding",
    "short_rooms",
]
