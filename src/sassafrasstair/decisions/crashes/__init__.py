"""Requests under which instances crashed, named by their content."""

from __future__ import annotations

from sassafrasstair.decisions.crashes._fingerprints import fingerprint
from sassafrasstair.decisions.crashes._fingerprints import shown

__all__ = [
    "fingerprint",
    "shown",
]
