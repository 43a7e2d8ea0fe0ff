"""At-most-once decisions: tickets, their owner's records, child tickets.

docs/design/ONCE.md describes the design and its alternatives.
"""

from __future__ import annotations

from sassafrasstair.decisions.once._children import adopt_child
from sassafrasstair.decisions.once._children import find_child
from sassafrasstair.decisions.once._messages import Arrival
from sassafrasstair.decisions.once._messages import Done
from sassafrasstair.decisions.once._messages import Issued
from sassafrasstair.decisions.once._messages import Join
from sassafrasstair.decisions.once._messages import NotRun
from sassafrasstair.decisions.once._messages import Refused
from sassafrasstair.decisions.once._messages import Replay
from sassafrasstair.decisions.once._messages import Result
from sassafrasstair.decisions.once._messages import Run
from sassafrasstair.decisions.once._messages import Summary
from sassafrasstair.decisions.once._messages import Unknown
from sassafrasstair.decisions.once._owners import accept_arrival
from sassafrasstair.decisions.once._owners import Counts
from sassafrasstair.decisions.once._owners import dispatched
from sassafrasstair.decisions.once._owners import expire
from sassafrasstair.decisions.once._owners import finish_execution
from sassafrasstair.decisions.once._owners import issue_ticket
from sassafrasstair.decisions.once._owners import new_owner
from sassafrasstair.decisions.once._owners import Owner
from sassafrasstair.decisions.once._owners import refuse_arrival
from sassafrasstair.decisions.once._owners import resume_issuing
from sassafrasstair.decisions.once._owners import stop_issuing
from sassafrasstair.decisions.once._refusals import entrance_refusal
from sassafrasstair.decisions.once._tickets import parse_ticket
from sassafrasstair.decisions.once._tickets import TicketTarget

__all__ = [
    "Arrival",
    "Counts",
    "Done",
    "Issued",
    "Join",
    "NotRun",
    "Owner",
    "Refused",
    "Replay",
    "Result",
    "Run",
    "Summary",
    "TicketTarget",
    "Unknown",
    "adopt_child",
    "accept_arrival",
    "find_child",
    "dispatched",
    "entrance_refusal",
    "expire",
    "finish_execution",
    "issue_ticket",
    "new_owner",
    "parse_ticket",
    "refuse_arrival",
    "resume_issuing",
    "stop_issuing",
]
