"""What is counted in one run."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Try:
    """One try of a caller's request, and what became of it.

    ``work`` is the stretch of time that the deepest service worked on it.
    """

    arrived: float
    repeat: int
    important: bool
    done_at: float = 0.0
    work: tuple[float, float] = (0.0, 0.0)


@dataclasses.dataclass(slots=True)
class Meter:
    """Tries, and calls for each (try, service)."""

    tries: dict[str, Try] = dataclasses.field(default_factory=dict)
    calls: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    events: int = 0
