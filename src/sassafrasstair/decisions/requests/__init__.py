"""Requests at their entrance: attempts, retry budgets and final outcomes."""

from __future__ import annotations

from sassafrasstair.decisions.requests._budgets import allow_repeat
from sassafrasstair.decisions.requests._budgets import BudgetRules
from sassafrasstair.decisions.requests._budgets import new_window
from sassafrasstair.decisions.requests._budgets import note_request
from sassafrasstair.decisions.requests._budgets import slack_part
from sassafrasstair.decisions.requests._budgets import Window
from sassafrasstair.decisions.requests._depths import calls_below
from sassafrasstair.decisions.requests._depths import CallsBelow
from sassafrasstair.decisions.requests._depths import depth_of
from sassafrasstair.decisions.requests._depths import Depths
from sassafrasstair.decisions.requests._depths import find_hop
from sassafrasstair.decisions.requests._depths import Hop
from sassafrasstair.decisions.requests._depths import new_depths
from sassafrasstair.decisions.requests._depths import note_call
from sassafrasstair.decisions.requests._depths import note_inbound
from sassafrasstair.decisions.requests._depths import note_report
from sassafrasstair.decisions.requests._depths import note_run
from sassafrasstair.decisions.requests._depths import own_calls
from sassafrasstair.decisions.requests._depths import own_depth
from sassafrasstair.decisions.requests._depths import ratio_share
from sassafrasstair.decisions.requests._depths import shares_by_depth
from sassafrasstair.decisions.requests._depths import slack_share
from sassafrasstair.decisions.requests._depths import UNKNOWN_HOP
from sassafrasstair.decisions.requests._progress import attempt_ended
from sassafrasstair.decisions.requests._progress import attempt_sent
from sassafrasstair.decisions.requests._progress import begin_beside
from sassafrasstair.decisions.requests._progress import Beside
from sassafrasstair.decisions.requests._progress import Ending
from sassafrasstair.decisions.requests._progress import expires_at
from sassafrasstair.decisions.requests._progress import is_too_late
from sassafrasstair.decisions.requests._progress import new_progress
from sassafrasstair.decisions.requests._progress import outcome
from sassafrasstair.decisions.requests._progress import Progress
from sassafrasstair.decisions.requests._progress import retry_after
from sassafrasstair.decisions.requests._progress import silent_ended
from sassafrasstair.decisions.requests._progress import Step

__all__ = [
    "Beside",
    "BudgetRules",
    "CallsBelow",
    "Depths",
    "Ending",
    "Hop",
    "Progress",
    "Step",
    "UNKNOWN_HOP",
    "Window",
    "allow_repeat",
    "attempt_ended",
    "attempt_sent",
    "begin_beside",
    "calls_below",
    "depth_of",
    "expires_at",
    "find_hop",
    "is_too_late",
    "new_depths",
    "new_progress",
    "new_window",
    "note_call",
    "note_inbound",
    "note_report",
    "note_request",
    "note_run",
    "outcome",
    "own_calls",
    "own_depth",
    "ratio_share",
    "retry_after",
    "shares_by_depth",
    "silent_ended",
    "slack_part",
    "slack_share",
]
