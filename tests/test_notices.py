"""Tests of what an upstream says of itself in its answers."""

from __future__ import annotations

import math

import pytest

from sassafrasstair import notices


@pytest.mark.parametrize(
    ("rate_limit", "leaving", "expected"),
    [
        (None, None, notices.NO_NOTICE),
        (b"37.7", None, notices.Notice(37.7)),
        (b"0", None, notices.Notice(0.0)),
        (None, b"1", notices.Notice(math.inf, True)),
        (None, b"0", notices.Notice()),
        (b"3", b"1", notices.Notice(3.0, True)),
    ],
)
def test_notice_is_decoded(
    rate_limit: bytes | None, leaving: bytes | None, expected: notices.Notice
) -> None:
    assert notices.decode(rate_limit, leaving) == expected


@pytest.mark.parametrize(
    "value", [b"", b"many", b"-1", b"inf", b"nan", b"9" * 10_000, b"\xff"]
)
def test_malformed_rate_limit_is_refused(value: bytes) -> None:
    with pytest.raises(notices.NoticeError) as caught:
        notices.decode(value, None)
    assert len(str(caught.value)) < 100
