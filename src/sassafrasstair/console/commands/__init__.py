"""Commands, one a module."""

from __future__ import annotations
