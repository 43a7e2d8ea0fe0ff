"""The memory that this process holds, as its system counts it."""

from __future__ import annotations

import pathlib
import resource

_FIGURES = pathlib.Path("/proc/self/statm")


def resident_bytes() -> int:
    """Return the resident memory, 0 where the system does not tell."""
    try:
        pages = int(_FIGURES.read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()
