"""The records of tickets that arrived, and when each may be dropped.

A record exists only for a ticket that was issued and has not expired, or
that is still being executed. The number of such tickets bounds the memory of
the records. Issued tickets are only counted, by the second in which they
expire.
"""

from __future__ import annotations

import dataclasses
import hashlib
import heapq

from sassafrasstair.decisions.once import _messages

MAX_ANSWER_BYTES = 16 * 1024
_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class Record:
    """One ticket that arrived; ``result`` is None while it is executed.

    ``dispatched`` is set once the request is sent to the upstream.
    ``children`` holds the child tickets by service and the child's key.
    """

    dispatched: bool = False
    result: _messages.Result | _messages.Summary | None = None
    children: dict[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class ExpiryBucket:
    """The number of tickets and the records that expire in one second."""

    issued_count: int = 0
    serials: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Records:
    """All records by serial, and buckets by the second of their expiry.

    ``running_expired`` holds the serials whose tickets expired while they
    were being executed: their records are dropped when the execution ends.
    ``unexpired_count`` is the number of issued tickets that have not expired,
    and ``stored_bytes`` the size of all answers kept. ``expiry_heap`` holds
    the keys of ``buckets_by_second``.
    """

    max_records: int
    max_stored_bytes: int
    by_serial: dict[int, Record] = dataclasses.field(default_factory=dict)
    running_expired: set[int] = dataclasses.field(default_factory=set)
    unexpired_count: int = 0
    stored_bytes: int = 0
    buckets_by_second: dict[int, ExpiryBucket] = dataclasses.field(
        default_factory=dict
    )
    expiry_heap: list[int] = dataclasses.field(default_factory=list)


def has_room(records: Records) -> bool:
    """Return whether one more ticket may become a record."""
    return (
        records.unexpired_count + len(records.running_expired)
        < records.max_records
    )


def count_issued(records: Records, expiry: int) -> None:
    """Count an issued ticket until it expires."""
    _bucket(records, expiry).issued_count += 1
    records.unexpired_count += 1


def add_record(records: Records, serial: int, expiry: int) -> Record:
    """Add the record of a ticket that is executed from now on."""
    record = Record()
    records.by_serial[serial] = record
    _bucket(records, expiry).serials.append(serial)
    return record


def store_result(
    records: Records, serial: int, record: Record, result: _messages.Result
) -> None:
    """Store the result of the execution, within the limits on answers."""
    if serial in records.running_expired:
        records.running_expired.discard(serial)
        record.result = result
        del records.by_serial[serial]
        return
    record.result = _limit_size(records, result)
    records.stored_bytes += _stored_size(record)


def drop_expired(records: Records, now: float) -> None:
    """Drop the records that expired by ``now``, each handled once."""
    while records.expiry_heap and records.expiry_heap[0] <= now:
        bucket = records.buckets_by_second.pop(
            heapq.heappop(records.expiry_heap)
        )
        records.unexpired_count -= bucket.issued_count
        for serial in bucket.serials:
            _drop(records, serial)


def _drop(records: Records, serial: int) -> None:
    record = records.by_serial[serial]
    if record.result is None:
        # Without the record, the result of a running execution would be
        # lost and joined callers would wait forever. The record stays until
        # the execution ends.
        records.running_expired.add(serial)
        return
    records.stored_bytes -= _stored_size(record)
    del records.by_serial[serial]


def _bucket(records: Records, expiry: int) -> ExpiryBucket:
    # Rounded up, so that no record is dropped before its ticket expires.
    second = -(-expiry // _MILLISECONDS)
    bucket = records.buckets_by_second.get(second)
    if bucket is None:
        bucket = ExpiryBucket()
        records.buckets_by_second[second] = bucket
        heapq.heappush(records.expiry_heap, second)
    return bucket


def _limit_size(
    records: Records, result: _messages.Result
) -> _messages.Result | _messages.Summary:
    if not isinstance(result, _messages.Done):
        return result
    size = _answer_bytes(result)
    available_bytes = records.max_stored_bytes - records.stored_bytes
    if size <= min(MAX_ANSWER_BYTES, available_bytes):
        return result
    digest = hashlib.blake2b(result.body, digest_size=32).digest()
    return _messages.Summary(result.status, digest, len(result.body))


def _stored_size(record: Record) -> int:
    if not isinstance(record.result, _messages.Done):
        return 0
    return _answer_bytes(record.result)


def _answer_bytes(done: _messages.Done) -> int:
    headers = sum(len(name) + len(value) for name, value in done.headers)
    return headers + len(done.body)
