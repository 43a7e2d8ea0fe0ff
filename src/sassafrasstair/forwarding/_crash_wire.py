"""Encodes crash records as a header of polls and pings between daemons.

The value is the digest of the sender's records, followed by records in base64
if the receiver may lack some.
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
DURATION_MS_MAX = 86_400_000
"""Greatest age and duration; no request runs for a day."""


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """One crash of an instance, ``age_ms`` ago.

    ``born`` is when the crashed run of the instance started, in Unix
    milliseconds. ``fingerprints`` are those of the requests under way at the
    crash, concatenated, and ``elapsed_ms`` is for how long each had run. The
    bit fields have one bit per request, by its index: whether it has been
    completed since, had been completed before, or was isolated.
    """

    instance: str
    born: int
    age_ms: int
    cleared_bits: bytes
    familiar_bits: bytes
    isolated_bits: bytes
    fingerprints: bytes
    elapsed_ms: list[int]


def encode(digest: int, reports: abc.Sequence[crashes.Report] = ()) -> bytes:
    """Return the value of the header."""
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
    except (
        msgspec.MsgspecError,
        binascii.Error,
        ValueError,
        RecursionError,
    ) as error:
        raise _wire.WireError(f"crashes: {error}") from error


def _report_to_record(report: crashes.Report) -> _Record:
    isolated = sum(
        1 << index for index, run in enumerate(report.runs) if run.isolated
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
        raise ValueError(f"invalid number of runs: {count}")
    durations = [record.age_ms, *record.elapsed_ms]
    if min(durations) < 0 or max(durations) > DURATION_MS_MAX:
        raise ValueError("age or duration out of range")
    isolated = _decode_bits(record.isolated_bits, count)
    runs = tuple(
        crashes.Run(
            int.from_bytes(
                record.fingerprints[size * index : size * (index + 1)], "big"
            ),
            millis / _MS_PER_SECOND,
            bool(isolated >> index & 1),
        )
        for index, millis in enumerate(record.elapsed_ms)
    )
    if len({run.fingerprint for run in runs}) != count:
        raise ValueError("duplicate fingerprint")
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
