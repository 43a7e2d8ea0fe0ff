"""Tests of the optional report of spent work between daemons."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import costs
from sassafrasstair.forwarding import _work_wire

PRICES = costs.ServiceCost("prices", 0.104, 1.2, 0.03)
LEDGER = costs.ServiceCost("ledger-2", 0.02, 0.7, 0.0)


@pytest.mark.parametrize(
    "report",
    [
        _work_wire.NO_WORK,
        _work_wire.WorkReport(0.0312),
        _work_wire.WorkReport(calls_below=2),
        _work_wire.WorkReport(calls_below=2, calls_of_run=64),
        _work_wire.WorkReport(0.03, 0, (PRICES,)),
        _work_wire.WorkReport(costs=(PRICES, LEDGER)),
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
        (b"c=-1", _work_wire.NO_WORK),
        (b"d=1 c=" + b"9" * 5000, _work_wire.WorkReport(calls_below=1)),
        (b"t=-0.1 d=3", _work_wire.WorkReport(calls_below=3)),
        (b"new=1 t=0.02 9", _work_wire.WorkReport(0.02)),
        (b"s=,a:1,a:1:x:2,a:1:2:3:4", _work_wire.NO_WORK),
        (
            b"s=a:-1:1:1,prices:0.104:1.2:0.03",
            _work_wire.WorkReport(costs=(PRICES,)),
        ),
    ],
)
def test_unknown_or_invalid_parts_are_ignored(
    value: bytes, expected: _work_wire.WorkReport
) -> None:
    """Guards against a request that fails for a field of another version."""
    headers = {_work_wire.WORK_HEADER_LOWER: value}
    assert _work_wire.decode_work(headers) == expected


def test_service_with_an_unusual_name_is_not_reported() -> None:
    """Guards against a name that would end its part of the field."""
    report = _work_wire.WorkReport(
        costs=(costs.ServiceCost("a b:c,d", 0.1, 1.0, 0.0),)
    )
    assert _work_wire.work_fields(report) == []
