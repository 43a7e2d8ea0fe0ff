"""Tests of the header with crash records between daemons."""

from __future__ import annotations

import base64

import msgspec
import pytest

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _wire

RUNS = (crashes.Run(2**63 + 5, 0.25, True), crashes.Run(7, 0.0))
REPORT = crashes.Report(("i-1", 1_700_000_000_000), 1.5, RUNS, 2, 1)


@pytest.mark.parametrize(
    "reports",
    [
        [],
        [REPORT],
        [REPORT, crashes.Report(("i-2", 0), 0.0, (), 0, 0)],
        [
            crashes.Report(
                ("i-3", 0),
                9.0,
                tuple(
                    crashes.Run(fingerprint, 0.5) for fingerprint in range(256)
                ),
                1 << 255,
                1,
            )
        ],
    ],
)
def test_decoded_header_equals_what_was_encoded(
    reports: list[crashes.Report],
) -> None:
    value = _crash_wire.encode(2**64 - 1, reports)
    assert _crash_wire.decode(value) == (2**64 - 1, reports)


def _header_value(*record: object) -> bytes:
    body = msgspec.msgpack.encode([record])
    return b"1 " + base64.b64encode(body)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"x",
        b"1 !",
        b"1 " + base64.b64encode(b"\xc1"),
        _header_value("i", 0, -1, b"", b"", b"", b"", []),
        _header_value("i", 0, 1, b"", b"", b"", bytes(8), [-1]),
        _header_value("i", 0, 1, b"", b"", b"", bytes(7), [1]),
        _header_value("i", 0, 1, b"", b"", b"", bytes(16), [1, 1]),
        _header_value("i", 0, 1, b"\x02", b"", b"", bytes(8), [1]),
        _header_value("i", 0, 1, b"", b"", b"", bytes(8 * 257), [1] * 257),
        _header_value("i", "0", 1, b"", b"", b"", b"", []),
    ],
)
def test_malformed_header_is_an_error(value: bytes) -> None:
    with pytest.raises(_wire.WireError):
        _crash_wire.decode(value)
