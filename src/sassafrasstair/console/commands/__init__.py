"""Subcommands of the programs, one per module."""

from __future__ import annotations
