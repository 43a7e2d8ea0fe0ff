"""Requests at their entrance: attempts, retry budgets and final outcomes."""

from __future__ import annotations

from sassafrasstair.decisions.requests._budgets import allow_repeat
from sassafrasstair.decisions.requests._budgets import BudgetRules
from sassafrasstair.decisions.requests._budgets import new_window
from sassafrasstair.decisions.requests._budgets import note_request
from sassafrasstair.decisions.requests._budgets import slack_part
from sassafrasstair.decisions.requests._budgets import Window
from sassafrasstair.decisions.requests._progress import attempt_ended
from sassafrasstair.decisions.requests._progress import attempt_sent
from sassafrasstair.decisions.requests._progress import Ending
from sassafrasstair.decisions.requests._progress import is_too_late
from sassafrasstair.decisions.requests._progress import new_progress
from sassafrasstair.decisions.requests._progress import outcome
from sassafrasstair.decisions.requests._progress import Progress
from sassafrasstair.decisions.requests._progress import retry_after
from sassafrasstair.decisions.requests._progress import Step

__all__ = [
    "BudgetRules",
    "Ending",
    "Progress",
    "Step",
    "Window",
    "allow_repeat",
    "attempt_ended",
    "attempt_sent",
    "is_too_late",
    "new_progress",
    "new_window",
    "note_request",
    "outcome",
    "retry_after",
    "slack_part",
]
