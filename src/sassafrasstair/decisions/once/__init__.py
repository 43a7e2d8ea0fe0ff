"""At-most-once decisions: tickets, their owner's records, child tickets.

The design and what was weighed against it stand in docs/design/ONCE.md.
"""

from __future__ import annotations

from sassafrasstair.decisions.once._children import adopt
from sassafrasstair.decisions.once._children import child
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
from sassafrasstair.decisions.once._owners import arrive
from sassafrasstair.decisions.once._owners import Counts
from sassafrasstair.decisions.once._owners import dispatched
from sassafrasstair.decisions.once._owners import expire
from sassafrasstair.decisions.once._owners import finish
from sassafrasstair.decisions.once._owners import issue
from sassafrasstair.decisions.once._owners import new_owner
from sassafrasstair.decisions.once._owners import Owner
from sassafrasstair.decisions.once._owners import refuse
from sassafrasstair.decisions.once._owners import stop_issuing
from sassafrasstair.decisions.once._refusals import entrance_refusal
from sassafrasstair.decisions.once._tickets import parse
from sassafrasstair.decisions.once._tickets import TicketName

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
    "TicketName",
    "Unknown",
    "adopt",
    "arrive",
    "child",
    "dispatched",
    "entrance_refusal",
    "expire",
    "finish",
    "issue",
    "new_owner",
    "parse",
    "refuse",
    "stop_issuing",
]
