"""How much body memory a process may hold at once."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Memory:
    """Bytes of request bodies held, against a bound of the process.

    Without the bound a few hundred slow uploads would grow the process
    past its memory limit, and all of its requests would end with it.
    """

    most: int
    held: int = 0

    def take(self, size: int) -> bool:
        """Count ``size`` bytes more; False when they do not fit."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        """Count ``size`` bytes less."""
        self.held -= size
