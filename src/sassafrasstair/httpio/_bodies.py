"""How much body memory a process may hold at once."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class MemoryBudget:
    """Bytes of request bodies held, against a bound of the process.

    Without the bound a few hundred slow uploads would grow the process
    past its memory limit, and all of its requests would end with it.
    """

    limit: int
    held_bytes: int = 0

    def reserve(self, size: int) -> bool:
        """Count ``size`` bytes more; False when they do not fit."""
        if self.held_bytes + size > self.limit:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count ``size`` bytes less."""
        self.held_bytes -= size
