"""Commands of the binaries, one a module."""

from __future__ import annotations
