"""The measured model: the decisions under load on a virtual clock.

``overload`` runs the scenarios that decide between policies. The model is
one process with a seeded random source; its upstreams and callers are
small fakes, and the decisions are the very functions that daemons run.
"""

from __future__ import annotations

from sassafrasstair.bench._overload import Run
from sassafrasstair.bench._overload import run_all
from sassafrasstair.bench._overload import run_one
from sassafrasstair.bench._overload_mixes import MIXES
from sassafrasstair.bench._overload_policies import POLICIES
from sassafrasstair.bench._overload_reports import as_json
from sassafrasstair.bench._overload_reports import as_table
from sassafrasstair.bench._overload_scenarios import SCENARIOS

__all__ = [
    "MIXES",
    "POLICIES",
    "Run",
    "SCENARIOS",
    "as_json",
    "as_table",
    "run_all",
    "run_one",
]
