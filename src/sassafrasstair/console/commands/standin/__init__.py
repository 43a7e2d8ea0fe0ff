"""Subcommands of ``sassafras-standin``."""

from __future__ import annotations
