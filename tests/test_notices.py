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
        (b"3, 2.5,", b"0, 1", notices.Notice(2.5, True)),
        (None, b"0, 0", notices.Notice()),
    ],
)
def test_notice_is_decoded(
    rate_limit: bytes | None, leaving: bytes | None, expected: notices.Notice
) -> None:
    assert notices.decode(rate_limit, leaving) == expected


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b",",
        b"many",
        b"3, many",
        b"-1",
        b"inf",
        b"nan",
        b"9" * 10_000,
        b"\xff",
    ],
)
def test_malformed_rate_limit_is_refused(value: bytes) -> None:
    with pytest.raises(notices.NoticeError) as caught:
        notices.decode(value, None)
    assert len(str(caught.value)) < 100


@pytest.mark.parametrize(
    ("rate_limit", "leaving", "readable"),
    [
        (b"many", b"1", notices.Notice(leaving=True, has_invalid_limit=True)),
        (b"many", b"0", notices.Notice(has_invalid_limit=True)),
        (b"3", b"yes", notices.Notice(3.0)),
        (None, b"", notices.Notice()),
    ],
)
def test_malformed_field_does_not_hide_the_other(
    rate_limit: bytes | None, leaving: bytes, readable: notices.Notice
) -> None:
    """A limit that can't be read hid that the instance leaves."""
    with pytest.raises(notices.NoticeError) as caught:
        notices.decode(rate_limit, leaving)
    assert caught.value.notice == readable
