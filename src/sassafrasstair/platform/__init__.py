"""Adapter to the users' platform: its header names, formats and calls.

It decodes the platform's data into the types of the other packages and makes
no decisions. No other code knows the platform's names.
"""

from __future__ import annotations

from sassafrasstair.platform._dialect import open_dialect

__all__ = ["open_dialect"]
