"""Which status codes an HTTP response may have (RFC 9110, 15)."""

from __future__ import annotations

_FIRST = 100
_LAST = 599


def is_valid(status: int) -> bool:
    """Return whether a status code is of a class that HTTP knows."""
    return _FIRST <= status <= _LAST
