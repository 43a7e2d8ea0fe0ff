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


class NoticeError(Exception):
    """A header field of an upstream's answer that can't be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an answer says of its upstream.

    ``rate_limit`` is in requests per second, infinite if none is named.
    """

    rate_limit: float = math.inf
    leaving: bool = False


NO_NOTICE = Notice()


def decode(rate_limit: bytes | None, leaving: bytes | None) -> Notice:
    """Return what two header fields say, each None if it is absent.

    Raises ``NoticeError``.
    """
    if rate_limit is None and leaving is None:
        return NO_NOTICE
    limit = math.inf if rate_limit is None else _decode_rate(rate_limit)
    return Notice(limit, leaving == LEAVING_VALUE)


def _decode_rate(value: bytes) -> float:
    try:
        rate = float(value)
    except ValueError:
        rate = math.nan
    if not 0.0 <= rate < math.inf:
        raise NoticeError(f"invalid rate limit: {value[:SHOWN_BYTES_MAX]!r}")
    return rate
