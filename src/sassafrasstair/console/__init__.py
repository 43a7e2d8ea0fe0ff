"""Command-line interfaces of the programs in this package."""

from __future__ import annotations
