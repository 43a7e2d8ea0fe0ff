"""Tests of the optional report of spent work between daemons."""

from __future__ import annotations

import pytest

from sassafrasstair.forwarding import _work_wire


@pytest.mark.parametrize(
    "report",
    [
        _work_wire.NO_WORK,
        _work_wire.WorkReport(0.0312),
        _work_wire.WorkReport(bottleneck_seconds=0.104, calls_below=2),
        _work_wire.WorkReport(0.03, 0.2, 0),
    ],
)
def test_decoding_reverses_encoding(report: _work_wire.WorkReport) -> None:
    fields = dict(_work_wire.work_fields(report))
    headers = {name.lower(): value for name, value in fields.items()}
    assert _work_wire.decode_work(headers) == report


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"", _work_wire.NO_WORK),
        (b"t=nan b=inf d=-1", _work_wire.NO_WORK),
        (b"t= b=x d=y", _work_wire.NO_WORK),
        (b"t=-0.1 d=3", _work_wire.WorkReport(calls_below=3)),
        (b"new=1 t=0.02 9", _work_wire.WorkReport(0.02)),
    ],
)
def test_unknown_or_invalid_parts_are_ignored(
    value: bytes, expected: _work_wire.WorkReport
) -> None:
    """Guards against a request that fails for a field of another version."""
    headers = {_work_wire.WORK_HEADER_LOWER: value}
    assert _work_wire.decode_work(headers) == expected
