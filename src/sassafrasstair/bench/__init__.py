"""The measured model: the decisions under load on a virtual clock.

``overload`` runs the scenarios that decide between policies, ``experiment``
what a file describes. The model is
one process with a seeded random source; its upstreams and callers are
small fakes, and the decisions are the very functions that daemons run.
"""

from __future__ import annotations

from sassafrasstair.bench._experiment_plots import draw
from sassafrasstair.bench._experiments import decode
from sassafrasstair.bench._experiments import encode
from sassafrasstair.bench._experiments import ExperimentError
from sassafrasstair.bench._experiments import play
from sassafrasstair.bench._overload import Run
from sassafrasstair.bench._overload import run_all
from sassafrasstair.bench._overload import run_one
from sassafrasstair.bench._overload_mixes import MIXES
from sassafrasstair.bench._overload_policies import POLICIES
from sassafrasstair.bench._overload_reports import as_json
from sassafrasstair.bench._overload_reports import as_table
from sassafrasstair.bench._overload_scenarios import SCENARIOS

__all__ = [
    "ExperimentError",
    "MIXES",
    "POLICIES",
    "Run",
    "SCENARIOS",
    "as_json",
    "as_table",
    "decode",
    "draw",
    "encode",
    "play",
    "run_all",
    "run_one",
]
