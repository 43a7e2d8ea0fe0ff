"""The daemon's log: one JSON line an event, bounded, never waited for.

Of each kind of event a few lines a second are written, and the rest are
counted in a summary line, so that no kind goes silent in a surge. Lines are
kept in memory and written when the reader has room; when it has none for
long, the oldest lines go and are counted.
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
"""Lines a second of one event and reason; a surge refuses hundreds."""
BUFFERED_LINES_MAX = 500
"""Lines kept for a reader that is slow: about 150 KB."""
_PIPE_ATOMIC = 4096
"""A pipe that polls as writable takes as many bytes without waiting
(``PIPE_BUF``, pipe(7))."""
_SUMMARY_SECONDS = 1.0

Field = logs.Field


@dataclasses.dataclass(slots=True)
class _Kind:
    """What was logged of one event and reason since the last summary."""

    written: int = 0
    held_back: int = 0


class Sink(typing.Protocol):
    """Where lines go; says how many bytes it took, 0 for no room."""

    def __call__(self, data: bytes) -> int:
        """Write without waiting."""


class Journal(logging.Handler):
    """A log handler that never makes its caller wait."""

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self.setFormatter(logs.JsonFormatter())
        self.lost = 0
        self._sink = sink
        self._lines: collections.deque[bytes] = collections.deque()
        self._kinds: dict[tuple[str, str], _Kind] = {}
        self._summed = 0.0
        self._logger = logging.getLogger("sassafrasstair.forwarding")

    def attach(self) -> None:
        """Take all of the process's logging."""
        root = logging.getLogger()
        root.handlers[:] = [self]
        root.setLevel(logging.INFO)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the line of a record until ``flush_lines``."""
        line = self.format(record).encode()[: _PIPE_ATOMIC - 1] + b"\n"
        if len(self._lines) >= BUFFERED_LINES_MAX:
            self._lines.popleft()
            self.lost += 1
        self._lines.append(line)

    def note(self, name: str, **fields: Field) -> None:
        """Log what a process believes or does; not bounded, so rare."""
        logs.event(self._logger, logging.INFO, name, **fields)

    def should_log(self, name: str, reason: str) -> bool:
        """Return whether a line would be written; counts it if not.

        For what happens all the time: the fields are then not put
        together in vain.
        """
        kind = self._kinds.get((name, reason))
        if kind is None or kind.written < LINES_PER_SECOND:
            return True
        kind.held_back += 1
        return False

    def request(self, name: str, reason: str, **fields: Field) -> None:
        """Log a decision that touches a request, within the bound."""
        if not self.should_log(name, reason):
            return
        kind = self._kinds.setdefault((name, reason), _Kind())
        kind.written += 1
        logs.event(self._logger, logging.INFO, name, reason=reason, **fields)

    def tick(self, now: float) -> None:
        """Sum up what was held back, and write what there is room for."""
        if now - self._summed >= _SUMMARY_SECONDS:
            self._summed = now
            self._sum_up()
        self.flush_lines()

    def flush_lines(self) -> None:
        """Write lines, as many at once as fit, until there is no room."""
        while self._lines:
            count, size = 0, 0
            for line in self._lines:
                size += len(line)
                if count and size > _PIPE_ATOMIC:
                    break
                count += 1
            chunk = itertools.islice(self._lines, count)
            if not self._sink(b"".join(chunk)):
                return
            for _ in range(count):
                self._lines.popleft()

    def _sum_up(self) -> None:
        for (name, reason), kind in self._kinds.items():
            if kind.held_back:
                logs.event(
                    self._logger,
                    logging.INFO,
                    "held_back",
                    of=name,
                    reason=reason,
                    lines=kind.held_back,
                )
        self._kinds.clear()
        if self.lost:
            lost_lines, self.lost = self.lost, 0
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
            # The reader has gone: lines are of no use to anybody.
            return len(data)

    return write
