"""For how long a server's field lets a connection be idle."""

from __future__ import annotations

import pytest

from sassafrasstair import keepalive


@pytest.mark.parametrize(
    ("field", "seconds"),
    [
        (b"timeout=5", 4.0),
        (b"timeout=0", 0.0),
        (b"max=9, Timeout=2", 1.0),
        (b"timeout=x", 3.0),
        (b"", 3.0),
    ],
)
def test_time_out_is_read_less_a_margin(field: bytes, seconds: float) -> None:
    assert keepalive.idle_seconds(field, 3.0) == seconds


@pytest.mark.parametrize("digits", [401, 5_000])
def test_keep_alive_of_many_digits_is_the_greatest_time_out(
    digits: int,
) -> None:
    """An instance's field must not leave its request without an answer."""
    field = b"timeout=" + digits * b"9"
    seconds = keepalive.SECONDS_MAX - keepalive.MARGIN_SECONDS
    assert keepalive.idle_seconds(field, 4.0) == seconds
