"""Limits on the requests and responses that a process holds in memory."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair import clocks
from sassafrasstair.decisions import memory

if typing.TYPE_CHECKING:
    from collections import abc


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

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.held_bytes -= size


class Holder(typing.Protocol):
    """A connection that holds a response, or a part of it."""

    @property
    def peer_host(self) -> str:
        """The IP address of the peer, '' after it has disconnected."""

    def give_up(self) -> None:
        """End the response, and free what is held of it."""

    def update_reading(self) -> None:
        """Pause or resume reading, as ``should_wait`` says."""


def _ignore_given_up(kind: memory.Kind, size: int, peer: str) -> None:
    pass


class ResponseMemory:
    """Bytes of responses that the connections of a process hold.

    ``note_given_up`` is called with what a connection held that is given up,
    and its peer. The rules are those of ``decisions.memory``.
    """

    def __init__(
        self,
        limit: int,
        clock: clocks.Clock | None = None,
        note_given_up: abc.Callable[
            [memory.Kind, int, str], None
        ] = _ignore_given_up,
    ) -> None:
        self._account: memory.Account[Holder] = memory.new_account(limit)
        self._clock = clock or clocks.SystemClock()
        self._note_given_up = note_given_up

    @property
    def limit(self) -> int:
        """The bytes that may be held."""
        return self._account.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._account.limit = limit

    @property
    def held_bytes(self) -> int:
        """The bytes that are held."""
        return self._account.held_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether some responses have to wait."""
        return memory.is_scarce(self._account)

    def held_by_kind(self) -> dict[memory.Kind, int]:
        """Return the bytes that are held of each kind."""
        return memory.held_by_kind(self._account)

    def hold(self, holder: Holder, size: int, length: int | None) -> None:
        """Record that a connection holds ``size`` bytes of a response.

        It has ``length`` bytes, None if it does not say.
        """
        kind, missing = memory.Kind.UNSTATED, size
        if length is not None:
            kind, missing = memory.Kind.STATED, max(0, length - size)
        self._record(holder, memory.Part(kind, size, missing))

    def hold_unread(self, holder: Holder, size: int, taken_at: float) -> None:
        """Record that a peer has not taken ``size`` bytes yet.

        It last took some at ``taken_at``, by the clock.
        """
        if not size:
            self.release(holder)
            return
        kind = memory.Kind.UNREAD
        self._record(holder, memory.Part(kind, size, taken_at=taken_at))

    def should_wait(self, holder: Holder) -> bool:
        """Return whether a connection may read no more of its response."""
        part = self._account.parts.get(holder)
        return part is not None and part.waits

    def release(self, holder: Holder) -> None:
        """Record that a connection holds nothing any more."""
        was_scarce = self.is_scarce
        if memory.release(self._account, holder) and was_scarce:
            self._arrange()

    def sweep(self) -> None:
        """Give up clients that don't read; called a few times per second."""
        if self.is_scarce:
            self._give_up()
            self._arrange()

    def _record(self, holder: Holder, part: memory.Part) -> None:
        was_scarce = self.is_scarce
        memory.hold(self._account, holder, part)
        if was_scarce or self.is_scarce:
            self._give_up()
            self._arrange()

    def _give_up(self) -> None:
        now = self._clock.monotonic()
        while (victim := memory.victim(self._account, now)) is not None:
            part = self._account.parts[victim]
            memory.release(self._account, victim)
            self._note_given_up(part.kind, part.size, victim.peer_host)
            victim.give_up()

    def _arrange(self) -> None:
        for holder in memory.arrange(self._account):
            holder.update_reading()
