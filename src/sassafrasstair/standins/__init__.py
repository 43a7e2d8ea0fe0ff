"""Stand-ins for the platform, upstreams and callers."""

from __future__ import annotations

from sassafrasstair.standins._platform import run_platform

__all__ = ["run_platform"]
