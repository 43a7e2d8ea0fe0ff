"""Limit on the request bodies that a process holds in memory."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class MemoryBudget:
    """Bytes of message bodies held by the process, and their limit.

    Without the limit, a few hundred slow uploads would grow the process
    past its memory limit. It would be killed, and all of its requests
    would fail.
    """

    limit: int
    held_bytes: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return False if they exceed the limit."""
        if self.held_bytes + size > self.limit:
            return False
        self.held_bytes += size
        return True

    def charge(self, size: int) -> None:
        """Count ``size`` bytes that can't be refused, such as an answer."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.held_bytes -= size
