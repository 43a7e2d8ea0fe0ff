"""Stand-ins for the platform, upstreams and callers."""

from __future__ import annotations

from sassafrasstair.standins._load import Options
from sassafrasstair.standins._load import run_load
from sassafrasstair.standins._model import Rules
from sassafrasstair.standins._plan import Callers
from sassafrasstair.standins._plan import Plan
from sassafrasstair.standins._platform import run_platform
from sassafrasstair.standins._tally import Summary
from sassafrasstair.standins._tally import table
from sassafrasstair.standins._upstream_app import new_upstream
from sassafrasstair.standins._upstream_app import run_upstream

__all__ = [
    "Callers",
    "Options",
    "Plan",
    "Rules",
    "Summary",
    "new_upstream",
    "run_load",
    "run_platform",
    "run_upstream",
    "table",
]
