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
_MILLIS = 1000


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """One crash; ages and times in ms, ``isolated`` bits by place."""

    instance: str
    born: int
    age: int
    cleared: bytes
    familiar: bytes
    isolated: bytes
    fingerprints: bytes
    millis: list[int]


def encode(digest: int, reports: abc.Sequence[crashes.Report] = ()) -> bytes:
    """Return the field's value."""
    value = b"%016x" % digest
    if not reports:
        return value
    body = msgspec.msgpack.encode([_record(report) for report in reports])
    return value + b" " + base64.b64encode(body)


def decode(value: bytes) -> tuple[int, list[crashes.Report]]:
    """Return the digest and the records; raises ``WireError``."""
    digest, _, told = value.partition(b" ")
    try:
        if not told:
            return int(digest, 16), []
        body = base64.b64decode(told, validate=True)
        records = msgspec.msgpack.decode(body, type=list[_Record])
        return int(digest, 16), [_report(record) for record in records]
    except (msgspec.MsgspecError, binascii.Error, ValueError) as error:
        raise _wire.WireError(f"crashes: {error}") from error


def _record(report: crashes.Report) -> _Record:
    isolated = sum(
        1 << place for place, run in enumerate(report.runs) if run.isolated
    )
    size = crashes.FINGERPRINT_BYTES
    return _Record(
        report.key[0],
        report.key[1],
        math.ceil(_MILLIS * report.age),
        _bits(report.cleared_bits),
        _bits(report.familiar_bits),
        _bits(isolated),
        b"".join(run.fingerprint.to_bytes(size, "big") for run in report.runs),
        [round(_MILLIS * run.elapsed_seconds) for run in report.runs],
    )


def _report(record: _Record) -> crashes.Report:
    size = crashes.FINGERPRINT_BYTES
    count = len(record.millis)
    if count > crashes.RUNS_MAX or len(record.fingerprints) != size * count:
        raise ValueError(f"{count} runs")
    if record.age < 0 or min(record.millis, default=0) < 0:
        raise ValueError("a time before its start")
    isolated = _number(record.isolated, count)
    runs = tuple(
        crashes.Run(
            int.from_bytes(
                record.fingerprints[size * place : size * (place + 1)], "big"
            ),
            millis / _MILLIS,
            bool(isolated >> place & 1),
        )
        for place, millis in enumerate(record.millis)
    )
    if len({run.fingerprint for run in runs}) != count:
        raise ValueError("a request twice")
    return crashes.Report(
        (record.instance, record.born),
        record.age / _MILLIS,
        runs,
        _number(record.cleared, count),
        _number(record.familiar, count),
    )


def _bits(number: int) -> bytes:
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def _number(bits: bytes, count: int) -> int:
    number = int.from_bytes(bits, "big")
    if number >> count:
        raise ValueError(f"bits beyond {count} runs")
    return number
