"""Shares memory between responses, and chooses whom to give up.

A response without an end must cost no other one, and neither must a client
that reads nothing. So those give way that are the least likely to be sound: a
client that has taken nothing for a while, and a response that does not state
its length, the greatest first.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

SCARCE_RATIO = 0.5
"""Beyond this fraction of the limit some responses have to wait."""
SMALL_BYTES = 64 * 1024
"""A response of which less is held does not wait: it frees nothing."""
STALLED_SECONDS = 1.0
"""A client that has taken nothing for so long does not read its response."""


class Kind(enum.Enum):
    """What is held of a response.

    ``STATED`` and ``UNSTATED`` are unfinished ones, by whether their length
    is known. ``UNREAD`` is what the peer has not taken of whole ones.
    """

    STATED = "stated"
    UNSTATED = "unstated"
    UNREAD = "unread"


@dataclasses.dataclass(slots=True)
class Part:
    """What one holder has, in bytes.

    ``missing`` is still to come of an unfinished response: as much again if
    its length is not known. ``taken_at`` is when the peer last took a part
    of what is unread. An unfinished response that ``waits`` is not read on.
    """

    kind: Kind
    size: int
    missing: int = 0
    taken_at: float = 0.0
    waits: bool = False


KeyT = typing.TypeVar("KeyT")


@dataclasses.dataclass(slots=True)
class Account(typing.Generic[KeyT]):
    """All parts, by their holders; ``held_bytes`` is their sum."""

    limit: int
    held_bytes: int = 0
    parts: dict[KeyT, Part] = dataclasses.field(default_factory=dict)


def new_account(limit: int) -> Account[KeyT]:
    """Return an account of nothing, with a limit in bytes."""
    return Account(limit)


def hold(account: Account[KeyT], holder: KeyT, part: Part) -> None:
    """Record what a holder has now."""
    before = account.parts.get(holder)
    if before is not None:
        account.held_bytes -= before.size
        part.waits = before.waits
    account.held_bytes += part.size
    account.parts[holder] = part


def release(account: Account[KeyT], holder: KeyT) -> bool:
    """Record that a holder has nothing; return whether it had any."""
    part = account.parts.pop(holder, None)
    if part is None:
        return False
    account.held_bytes -= part.size
    return True


def is_scarce(account: Account[KeyT]) -> bool:
    """Return whether some responses have to wait."""
    return account.held_bytes > SCARCE_RATIO * account.limit


def victim(account: Account[KeyT], now: float) -> KeyT | None:
    """Return who is to be given up now, None if nobody has to be.

    Beyond the limit somebody has to be: clients that read nothing or
    responses without a stated length, whichever hold more, and anybody else
    only without these. Below it, clients that hold more make room for
    responses that wait.
    """
    parts = account.parts
    stalled = {
        holder: part
        for holder, part in parts.items()
        if part.kind is Kind.UNREAD and now - part.taken_at >= STALLED_SECONDS
    }
    unstated = {
        holder: part
        for holder, part in parts.items()
        if part.kind is Kind.UNSTATED
    }
    is_full = account.held_bytes > account.limit
    if stalled and _size(stalled) >= _size(unstated):
        if is_full or any(part.waits for part in parts.values()):
            return min(stalled, key=lambda each: stalled[each].taken_at)
    return _greatest(unstated or stalled or parts) if is_full else None


def arrange(account: Account[KeyT]) -> list[KeyT]:
    """Decide which unfinished responses wait; return those that change.

    Those that fit go on, beginning with what is soonest whole. If none fits
    and no client has to take anything, the first one goes on.
    """
    unfinished = [
        (holder, part)
        for holder, part in account.parts.items()
        if part.kind is not Kind.UNREAD
    ]
    unfinished.sort(key=lambda each: _order(each[1]))
    has_unread = len(unfinished) < len(account.parts)
    is_short = is_scarce(account)
    free = account.limit - account.held_bytes
    changed = []
    for number, (holder, part) in enumerate(unfinished):
        fits = part.missing <= free or part.size < SMALL_BYTES
        is_next = number == 0 and not has_unread
        waits = is_short and not fits and not is_next
        if not waits:
            free -= part.missing
        if waits != part.waits:
            part.waits = waits
            changed.append(holder)
    return changed


def held_by_kind(account: Account[KeyT]) -> dict[Kind, int]:
    """Return the bytes that are held of each kind."""
    held = dict.fromkeys(Kind, 0)
    for part in account.parts.values():
        held[part.kind] += part.size
    return held


def _order(part: Part) -> tuple[bool, int]:
    """Order by what is missing; a length that is not stated comes last."""
    return part.kind is Kind.UNSTATED, part.missing


def _size(parts: dict[KeyT, Part]) -> int:
    return sum(part.size for part in parts.values())


def _greatest(parts: dict[KeyT, Part]) -> KeyT | None:
    if not parts:
        return None
    return max(parts, key=lambda each: parts[each].size)
