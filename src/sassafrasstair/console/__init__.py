"""Console: the command lines of the binaries."""

from __future__ import annotations
