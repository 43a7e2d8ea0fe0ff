"""Subcommands of ``sassafras-bench``."""

from __future__ import annotations
