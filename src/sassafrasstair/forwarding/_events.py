"""The daemon's log: a JSON line per event, rate-limited and non-blocking.

Only a few lines a second of each kind of event are written. The others are
counted in a summary line, so that every kind shows up even in a surge. Lines
are buffered in memory and written when the reader can take them. When the
buffer is full, the oldest lines are dropped and counted.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import logging
import os
import select
import typing

from sassafrasstair import logs

LINES_PER_SECOND = 5
"""Maximum lines per second of one event and reason; a surge can refuse
hundreds of requests per second."""
BUFFERED_LINES_MAX = 500
"""Maximum lines buffered for a slow reader: about 150 KB."""
_PIPE_ATOMIC_BYTES = 4096
"""Bytes that can be written without blocking to a pipe that polls as
writable (``PIPE_BUF``, pipe(7))."""
_SUMMARY_SECONDS = 1.0

Field = logs.Field


@dataclasses.dataclass(slots=True)
class _EventCounts:
    """Lines written and held back of one event and reason in this period."""

    written: int = 0
    held_back: int = 0


class Sink(typing.Protocol):
    """Output for lines; returns the bytes written, 0 if it has no room."""

    def __call__(self, data: bytes) -> int:
        """Write without blocking."""


class Journal(logging.Handler):
    """A log handler that never blocks its caller.

    ``lost_lines`` counts the lines dropped since the last summary.
    """

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self.setFormatter(logs.JsonFormatter())
        self.lost_lines = 0
        self._sink = sink
        self._lines: collections.deque[bytes] = collections.deque()
        self._counts_by_event: dict[tuple[str, str], _EventCounts] = {}
        self._summed_at = 0.0
        self._logger = logging.getLogger("sassafrasstair.forwarding")

    def attach(self) -> None:
        """Handle all log records of the process."""
        root = logging.getLogger()
        root.handlers[:] = [self]
        root.setLevel(logging.INFO)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of a record until ``flush_lines``."""
        line = self.format(record).encode()[: _PIPE_ATOMIC_BYTES - 1] + b"\n"
        if len(self._lines) >= BUFFERED_LINES_MAX:
            self._lines.popleft()
            self.lost_lines += 1
        self._lines.append(line)

    def note(self, name: str, **fields: Field) -> None:
        """Log a rare event of the process, without a rate limit."""
        logs.event(self._logger, logging.INFO, name, **fields)

    def should_log(self, name: str, reason: str) -> bool:
        """Return whether a line would be written, and count it if not.

        Callers that log frequently can skip building the fields.
        """
        counts = self._counts_by_event.get((name, reason))
        if counts is None or counts.written < LINES_PER_SECOND:
            return True
        counts.held_back += 1
        return False

    def request(self, name: str, reason: str, **fields: Field) -> None:
        """Log a decision about a request, within the rate limit."""
        if not self.should_log(name, reason):
            return
        counts = self._counts_by_event.setdefault(
            (name, reason), _EventCounts()
        )
        counts.written += 1
        logs.event(self._logger, logging.INFO, name, reason=reason, **fields)

    def tick(self, now: float) -> None:
        """Log a summary once a second, and write buffered lines."""
        if now - self._summed_at >= _SUMMARY_SECONDS:
            self._summed_at = now
            self._log_summary()
        self.flush_lines()

    def flush_lines(self) -> None:
        """Write buffered lines in chunks until the sink has no room."""
        while self._lines:
            count, size = 0, 0
            for line in self._lines:
                size += len(line)
                if count and size > _PIPE_ATOMIC_BYTES:
                    break
                count += 1
            chunk = itertools.islice(self._lines, count)
            if not self._sink(b"".join(chunk)):
                return
            for _ in range(count):
                self._lines.popleft()

    def _log_summary(self) -> None:
        for (name, reason), counts in self._counts_by_event.items():
            if counts.held_back:
                logs.event(
                    self._logger,
                    logging.INFO,
                    "held_back",
                    of=name,
                    reason=reason,
                    lines=counts.held_back,
                )
        self._counts_by_event.clear()
        if self.lost_lines:
            lost_lines, self.lost_lines = self.lost_lines, 0
            self.note("log_lines_lost", lines=lost_lines)


def descriptor_sink(descriptor: int) -> Sink:
    """Return a sink that writes to a pipe, file or terminal."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)

    def write(data: bytes) -> int:
        if not poll.poll(0):
            return 0
        try:
            return os.write(descriptor, data)
        except OSError:
            # The reader has closed the pipe, so the lines are discarded.
            return len(data)

    return write
