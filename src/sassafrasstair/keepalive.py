"""For how long a server keeps an idle connection open, as it says itself."""

from __future__ import annotations

MARGIN_SECONDS = 1.0
"""A connection is no longer used from this many seconds before the server's
keep-alive time-out: a request must arrive before the server closes it."""
DIGITS_MAX = 9
"""Digits read of a time-out; a longer one is greater than the maximum."""
SECONDS_MAX = 86_400.0
"""Greatest time for which an idle connection is kept."""


def idle_seconds(field: bytes, default: float) -> float:
    """Return how long a connection may be idle, less the margin.

    ``field`` is the value of the response's ``Keep-Alive`` header; ``default``
    is returned if it states no time-out.
    """
    for part in field.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() != b"timeout" or not value.isdigit():
            continue
        # int() raises for numbers of thousands of digits.
        seconds = int(value[:DIGITS_MAX])
        return max(0.0, min(seconds, SECONDS_MAX) - MARGIN_SECONDS)
    return default
