"""Adapter to the users' platform: its names, formats and calls.

It decodes what the platform says into the product's own types and decides
nothing; no other code knows the platform's names.
"""

from __future__ import annotations

from sassafrasstair.platform._dialect import open_dialect

__all__ = ["open_dialect"]
