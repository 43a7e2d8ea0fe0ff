"""Decisions without I/O: state plus functions of (state, message, now).

The daemon, the fuzz tests and the bench drive the same functions.
"""

from __future__ import annotations
