"""Tests that the log is rate-limited and never blocks."""

from __future__ import annotations

import contextlib
import json
import os
import time

from sassafrasstair.forwarding import _events


def _events_of(lines: list[bytes]) -> list[dict[str, object]]:
    return [json.loads(line) for line in lines]


def test_surge_of_refusals_is_rate_limited_and_summarized() -> None:
    """Ten thousand requests are refused in one second.

    A line for each would cost more than the requests. Without a summary, a
    kind of failure could go unnoticed.
    """
    lines: list[bytes] = []

    def sink(data: bytes) -> int:
        lines.extend(data.splitlines())
        return len(data)

    journal = _events.Journal(sink)
    journal.attach()
    journal.tick(100.0)
    for serial in range(10_000):
        reason = "queue_full" if serial % 100 else "shed_at_entrance"
        journal.request("refused", reason, request=f"r{serial}")
    journal.tick(101.5)
    events = _events_of(lines)
    assert len(events) == 2 * _events.LINES_PER_SECOND + 2
    held = {
        event["reason"]: event["lines"]
        for event in events
        if event["event"] == "held_back"
    }
    assert held == {
        "queue_full": 9_900 - _events.LINES_PER_SECOND,
        "shed_at_entrance": 100 - _events.LINES_PER_SECOND,
    }


def test_stopped_reader_loses_lines_but_blocks_nothing() -> None:
    """The reader of standard output stops reading, and the pipe fills up.

    A daemon that blocked on the pipe would stop answering requests.
    """
    reader, writer = os.pipe()
    try:
        journal = _events.Journal(_events.descriptor_sink(writer))
        journal.attach()
        begun = time.monotonic()
        for serial in range(3_000):
            journal.note("peer_lost", peer=f"{serial}", detail="x" * 200)
            if serial % 50 == 0:
                journal.flush_lines()
        assert time.monotonic() - begun < 5.0
        assert journal.lost_lines > 0
        read = b""
        for second in range(10):
            os.set_blocking(reader, False)
            with contextlib.suppress(BlockingIOError):
                read += os.read(reader, 1 << 20)
            journal.tick(1e9 + second)
        assert b"log_lines_lost" in read
    finally:
        os.close(reader)
        os.close(writer)


def test_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    journal = _events.Journal(_events.descriptor_sink(writer))
    journal.attach()
    journal.note("started")
    journal.tick(1.0)
    os.close(writer)
