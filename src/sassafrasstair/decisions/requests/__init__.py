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
from sassafrasstair.decisions.requests._progress import is_last_instance
from sassafrasstair.decisions.requests._progress import new_progress
from sassafrasstair.decisions.requests._progress import outcome
from sassafrasstair.decisions.requests._progress import Progress
from sassafrasstair.decisions.requests._progress import retry_after
from sassafrasstair.decisions.requests._progress import Step
from sassafrasstair.decisions.requests._waits import max_wait
from sassafrasstair.decisions.requests._waits import WaitInputs

__all__ = [
    "BudgetRules",
    "Ending",
    "Progress",
    "Step",
    "WaitInputs",
    "Window",
    "allow_repeat",
    "attempt_ended",
    "attempt_sent",
    "is_last_instance",
    "max_wait",
    "new_progress",
    "new_window",
    "note_request",
    "outcome",
    "retry_after",
    "slack_part",
]
