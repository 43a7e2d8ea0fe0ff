"""Limits on the requests and responses that a process holds in memory."""

from __future__ import annotations

import dataclasses
import typing


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


class Holder(typing.Protocol):
    """A connection that holds a part of a response."""

    def give_up(self) -> None:
        """End the response."""

    def update_reading(self) -> None:
        """Pause or resume reading, as ``should_wait`` says."""


SCARCE_RATIO = 0.5
"""Beyond this fraction of the limit some responses have to wait."""
SMALL_BYTES = 64 * 1024
"""A response of which less is held does not wait: it frees nothing."""


@dataclasses.dataclass(slots=True)
class _Part:
    """What is held of a response, and how much of it is still to come.

    That is as much again if its length is not known.
    """

    size: int
    missing: int
    waits: bool = False


class ResponseMemory:
    """Bytes of unfinished responses, and the limit for all connections.

    When it is scarce, connections read on in the order of their responses, as
    far as the rest of these fits, and the others wait. Beyond the limit the
    connection that holds most gives up, so that a response without an end
    costs no other response.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held_bytes = 0
        self._parts: dict[Holder, _Part] = {}
        """By connection, the oldest response first."""

    def hold(self, holder: Holder, size: int, length: int | None) -> None:
        """Record that a connection holds ``size`` bytes of a response.

        It has ``length`` bytes, None if it does not say.
        """
        missing = size if length is None else max(0, length - size)
        was_scarce = self._is_scarce
        part = self._parts.setdefault(holder, _Part(0, 0))
        self.held_bytes += size - part.size
        part.size, part.missing = size, missing
        while self.held_bytes > self.limit and self._parts:
            greatest = max(
                self._parts, key=lambda each: self._parts[each].size
            )
            self.release(greatest)
            greatest.give_up()
        if was_scarce or self._is_scarce:
            self._share()

    def should_wait(self, holder: Holder) -> bool:
        """Return whether a connection may read no more of its response."""
        part = self._parts.get(holder)
        return part is not None and part.waits

    def release(self, holder: Holder) -> None:
        """Record that a connection holds nothing any more."""
        part = self._parts.pop(holder, None)
        if part is None:
            return
        was_scarce = self._is_scarce
        self.held_bytes -= part.size
        if was_scarce:
            self._share()

    @property
    def _is_scarce(self) -> bool:
        return self.held_bytes > SCARCE_RATIO * self.limit

    def _share(self) -> None:
        """Let those responses go on whose rest fits, the oldest at least."""
        free = self.limit - self.held_bytes
        for number, (holder, part) in enumerate(list(self._parts.items())):
            fits = part.missing <= free or part.size < SMALL_BYTES
            waits = self._is_scarce and number > 0 and not fits
            if not waits:
                free -= part.missing
            if waits != part.waits:
                part.waits = waits
                holder.update_reading()
