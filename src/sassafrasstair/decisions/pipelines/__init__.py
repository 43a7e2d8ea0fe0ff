"""The order of requests and answers on one connection from a client.

A client may send requests before earlier ones are answered (HTTP/1.1
pipelining). This module decides which of them may start, which answers may be
written, and when reading pauses. ``Pipeline`` holds the state.
"""

from __future__ import annotations

from sassafrasstair.decisions.pipelines._pipelines import add
from sassafrasstair.decisions.pipelines._pipelines import add_refusal
from sassafrasstair.decisions.pipelines._pipelines import answer
from sassafrasstair.decisions.pipelines._pipelines import clear
from sassafrasstair.decisions.pipelines._pipelines import close_soon
from sassafrasstair.decisions.pipelines._pipelines import Entry
from sassafrasstair.decisions.pipelines._pipelines import Fate
from sassafrasstair.decisions.pipelines._pipelines import is_full
from sassafrasstair.decisions.pipelines._pipelines import Limits
from sassafrasstair.decisions.pipelines._pipelines import new_pipeline
from sassafrasstair.decisions.pipelines._pipelines import Phase
from sassafrasstair.decisions.pipelines._pipelines import Pipeline
from sassafrasstair.decisions.pipelines._pipelines import pop_answered
from sassafrasstair.decisions.pipelines._pipelines import Removed
from sassafrasstair.decisions.pipelines._pipelines import should_pause_reading
from sassafrasstair.decisions.pipelines._pipelines import start_next

__all__ = [
    "Entry",
    "Fate",
    "Limits",
    "Phase",
    "Pipeline",
    "Removed",
    "add",
    "add_refusal",
    "answer",
    "clear",
    "close_soon",
    "is_full",
    "new_pipeline",
    "pop_answered",
    "should_pause_reading",
    "start_next",
]
