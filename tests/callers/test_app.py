"""Tests of how a caller's request is read."""

from __future__ import annotations

import typing

import pytest

from sassafrasstair.callers import _app
from sassafrasstair.callers import _request

if typing.TYPE_CHECKING:
    from litestar import types


@pytest.mark.parametrize("behind", [b"", b" ", b"\t ", b"  "])
def test_white_space_behind_a_value_is_no_part_of_it(behind: bytes) -> None:
    """Such a timeout was refused, and such a tenant was another one."""
    headers = [
        (b"sassafras-class", b"lookup" + behind),
        (b"sassafras-tenant", b"shop" + behind),
        (b"sassafras-timeout-ms", b"500" + behind),
    ]
    scope = typing.cast("types.HTTPScope", {"headers": headers})
    fields = _request.read_fields(_app._headers(scope))
    assert (fields.request_class, fields.tenant, fields.timeout) == (
        "lookup",
        "shop",
        0.5,
    )
