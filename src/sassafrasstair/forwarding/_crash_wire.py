"""Format of crash records between daemons: one field of polls and pings.

The value is the digest of the sender's records and, where the receiver may
lack some, records in base64.
"""

from __future__ import annotations

import base64
import binascii
import math
import typing

import msgspec

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from collections import abc

HEADER = b"Sassafras-Crashes"
HEADER_LOWER = HEADER.lower()
_MS_PER_SECOND = 1000


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """One crash; ages and times in ms, ``isolated`` bits by place."""

    instance: str
    born: int
    age_ms: int
    cleared_bits: bytes
    familiar_bits: bytes
    isolated_bits: bytes
    fingerprints: bytes
    elapsed_ms: list[int]


def encode(digest: int, reports: abc.Sequence[crashes.Report] = ()) -> bytes:
    """Return the field's value."""
    value = b"%016x" % digest
    if not reports:
        return value
    body = msgspec.msgpack.encode(
        [_report_to_record(report) for report in reports]
    )
    return value + b" " + base64.b64encode(body)


def decode(value: bytes) -> tuple[int, list[crashes.Report]]:
    """Return the digest and the records; raises ``WireError``."""
    digest, _, encoded = value.partition(b" ")
    try:
        if not encoded:
            return int(digest, 16), []
        body = base64.b64decode(encoded, validate=True)
        records = msgspec.msgpack.decode(body, type=list[_Record])
        return int(digest, 16), [
            _record_to_report(record) for record in records
        ]
    except (msgspec.MsgspecError, binascii.Error, ValueError) as error:
        raise _wire.WireError(f"crashes: {error}") from error


def _report_to_record(report: crashes.Report) -> _Record:
    isolated = sum(
        1 << place for place, run in enumerate(report.runs) if run.isolated
    )
    size = crashes.FINGERPRINT_BYTES
    return _Record(
        report.key[0],
        report.key[1],
        math.ceil(_MS_PER_SECOND * report.age),
        _encode_bits(report.cleared_bits),
        _encode_bits(report.familiar_bits),
        _encode_bits(isolated),
        b"".join(run.fingerprint.to_bytes(size, "big") for run in report.runs),
        [round(_MS_PER_SECOND * run.elapsed_seconds) for run in report.runs],
    )


def _record_to_report(record: _Record) -> crashes.Report:
    size = crashes.FINGERPRINT_BYTES
    count = len(record.elapsed_ms)
    if count > crashes.RUNS_MAX or len(record.fingerprints) != size * count:
        raise ValueError(f"{count} runs")
    if record.age_ms < 0 or min(record.elapsed_ms, default=0) < 0:
        raise ValueError("a time before its start")
    isolated = _decode_bits(record.isolated_bits, count)
    runs = tuple(
        crashes.Run(
            int.from_bytes(
                record.fingerprints[size * place : size * (place + 1)], "big"
            ),
            millis / _MS_PER_SECOND,
            bool(isolated >> place & 1),
        )
        for place, millis in enumerate(record.elapsed_ms)
    )
    if len({run.fingerprint for run in runs}) != count:
        raise ValueError("a request twice")
    return crashes.Report(
        (record.instance, record.born),
        record.age_ms / _MS_PER_SECOND,
        runs,
        _decode_bits(record.cleared_bits, count),
        _decode_bits(record.familiar_bits, count),
    )


def _encode_bits(number: int) -> bytes:
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def _decode_bits(bits: bytes, count: int) -> int:
    number = int.from_bytes(bits, "big")
    if number >> count:
        raise ValueError(f"bits beyond {count} runs")
    return number
