"""What an upstream says of itself in its answers.

An upstream in need names the rate of requests that it takes from all VMs
together, for as long as its answers name it. One that is about to stop says so
in all its answers.
"""

from __future__ import annotations

import dataclasses
import math

LEAVING_VALUE = b"1"
STAYING_VALUE = b"0"
SHOWN_BYTES_MAX = 40
"""Bytes of an invalid value that the error repeats."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an answer says of its upstream.

    ``rate_limit`` is in requests per second, infinite if none is named. It is
    without meaning if ``has_invalid_limit`` is set.
    """

    rate_limit: float = math.inf
    leaving: bool = False
    has_invalid_limit: bool = False


NO_NOTICE = Notice()


class NoticeError(Exception):
    """A header field of an upstream's answer that can't be decoded.

    ``notice`` is what the other field says.
    """

    def __init__(self, message: str, notice: Notice) -> None:
        """Store the message and the notice."""
        super().__init__(message)
        self.notice = notice


def decode(rate_limit: bytes | None, leaving: bytes | None) -> Notice:
    """Return what two header fields say, each None if it is absent.

    A value may be a list, as several fields of one name are. Of several
    limits the lowest counts, and one member is enough to say that the
    upstream is leaving. Raises ``NoticeError``.
    """
    if rate_limit is None and leaving is None:
        return NO_NOTICE
    says_leaving = leaving is not None and LEAVING_VALUE in _members(leaving)
    limit = math.inf if rate_limit is None else _lowest_rate(rate_limit)
    if limit is None:
        raise NoticeError(
            f"invalid rate limit: {(rate_limit or b'')[:SHOWN_BYTES_MAX]!r}",
            Notice(leaving=says_leaving, has_invalid_limit=True),
        )
    notice = Notice(limit, says_leaving)
    if leaving is not None and not says_leaving and not _says_staying(leaving):
        raise NoticeError(
            f"invalid leaving: {leaving[:SHOWN_BYTES_MAX]!r}", notice
        )
    return notice


def _members(value: bytes) -> list[bytes]:
    members = [member.strip(b" \t") for member in value.split(b",")]
    return [member for member in members if member]


def _says_staying(value: bytes) -> bool:
    members = _members(value)
    return bool(members) and all(each == STAYING_VALUE for each in members)


def _lowest_rate(value: bytes) -> float | None:
    """Return the lowest rate of a list, None if any can't be decoded."""
    try:
        rates = [float(member) for member in _members(value)]
    except ValueError:
        return None
    if not rates or not all(0.0 <= rate < math.inf for rate in rates):
        return None
    return min(rates)
