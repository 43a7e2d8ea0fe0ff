"""The records of tickets that arrived, and when each may be dropped.

Memory: a record exists only for a ticket that was issued and has not
expired, or that is still being executed, so the count of unexpired tickets
bounds the records. Issued tickets are only counted, by second of expiry.
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

    ``children`` holds the child tickets by service and the child's key.
    """

    dispatched: bool = False
    result: _messages.Result | _messages.Summary | None = None
    children: dict[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class ExpiryBucket:
    """Tickets that expire within the same second."""

    issued_count: int = 0
    serials: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Records:
    """All records by serial, with the buckets that say when to drop them.

    ``overdue`` holds the serials whose tickets expired while they were
    being executed: their records go when the execution ends.
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
    """Count a ticket that was issued, until its expiry."""
    _bucket(records, expiry).issued_count += 1
    records.unexpired_count += 1


def add(records: Records, serial: int, expiry: int) -> Record:
    """Add the record of a ticket that is executed from now on."""
    record = Record()
    records.by_serial[serial] = record
    _bucket(records, expiry).serials.append(serial)
    return record


def store(
    records: Records, serial: int, record: Record, result: _messages.Result
) -> None:
    """Keep how the execution ended, the answer within the bounds."""
    if serial in records.running_expired:
        records.running_expired.discard(serial)
        record.result = result
        del records.by_serial[serial]
        return
    record.result = _shorten(records, result)
    records.stored_bytes += _size(record)


def drop_expired(records: Records, now: float) -> None:
    """Drop what expired by ``now``: each record is touched once."""
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
        # Dropping the record of a running execution would lose its end:
        # joined callers would wait for ever. It stays until that end.
        records.running_expired.add(serial)
        return
    records.stored_bytes -= _size(record)
    del records.by_serial[serial]


def _bucket(records: Records, expiry: int) -> ExpiryBucket:
    # Rounded up: no record goes before its ticket expired.
    second = -(-expiry // _MILLISECONDS)
    bucket = records.buckets_by_second.get(second)
    if bucket is None:
        bucket = ExpiryBucket()
        records.buckets_by_second[second] = bucket
        heapq.heappush(records.expiry_heap, second)
    return bucket


def _shorten(
    records: Records, result: _messages.Result
) -> _messages.Result | _messages.Summary:
    if not isinstance(result, _messages.Done):
        return result
    size = _answer_bytes(result)
    room = records.max_stored_bytes - records.stored_bytes
    if size <= min(MAX_ANSWER_BYTES, room):
        return result
    digest = hashlib.blake2b(result.body, digest_size=32).digest()
    return _messages.Summary(result.status, digest, len(result.body))


def _size(record: Record) -> int:
    if not isinstance(record.result, _messages.Done):
        return 0
    return _answer_bytes(record.result)


def _answer_bytes(done: _messages.Done) -> int:
    headers = sum(len(name) + len(value) for name, value in done.headers)
    return headers + len(done.body)
