"""One file for each command."""

from __future__ import annotations
