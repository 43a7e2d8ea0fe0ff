"""Overload control for service call graphs."""

from __future__ import annotations

__version__ = "0.1.0"
