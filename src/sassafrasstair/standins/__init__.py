"""Stand-ins for the platform, upstreams and callers."""

from __future__ import annotations

from sassafrasstair.standins._model import Rules
from sassafrasstair.standins._platform import run_platform
from sassafrasstair.standins._upstream_app import new_upstream
from sassafrasstair.standins._upstream_app import run_upstream

__all__ = ["Rules", "new_upstream", "run_platform", "run_upstream"]
