"""Tests of which status codes are valid."""

from __future__ import annotations

import pytest

from sassafrasstair import statuses


@pytest.mark.parametrize(
    ("status", "valid"),
    [
        pytest.param(status, valid, id=f"{status}")
        for valid, codes in {
            True: (100, 199, 200, 404, 599),
            False: (-1, 0, 20, 99, 600, 999, 2000),
        }.items()
        for status in codes
    ],
)
def test_status_is_valid_in_the_classes_of_http(
    status: int, valid: bool
) -> None:
    assert statuses.is_valid(status) == valid
