"""What is counted in one run."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Stretch:
    """A time of steady progress through a ``part`` of some work."""

    start: float
    end: float
    part: float


@dataclasses.dataclass(slots=True)
class Try:
    """One try of a caller's request, and what became of it.

    ``first`` is the time of the request's first try, ``deadline`` that of
    this one's end; ``done_at`` is 0 until a whole answer came, and
    ``work`` is when the deepest service worked on it, and on what part.
    """

    arrived: float
    first: float
    deadline: float
    important: bool
    done_at: float = 0.0
    work: tuple[Stretch, ...] = ()

    @property
    def repeated(self) -> bool:
        """Whether an earlier try of the request failed."""
        return self.arrived > self.first


@dataclasses.dataclass(slots=True)
class Meter:
    """Tries, and calls for each (try, service)."""

    tries: dict[str, Try] = dataclasses.field(default_factory=dict)
    calls: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
