"""Received data of one connection, parsed in pieces."""

from __future__ import annotations

import typing

from sassafrasstair.httpio import _meters
from sassafrasstair.httpio import _turns

if typing.TYPE_CHECKING:
    from collections import abc

PARSED_BYTES_MAX = 16 * 1024
"""Bytes parsed between two checks of a connection."""


class Input:
    """Data that was received; ``unparsed`` is what waits to be parsed.

    ``parse`` parses one piece. ``is_done`` tells that nothing more is parsed,
    and ``must_wait`` that the rest waits until ``proceed`` is called. Costly
    input waits for its turn: ``waits_for_turn`` is set meanwhile, and
    ``on_change`` is called whenever it changes. ``has_rest`` tells that
    data was dropped as nothing more is parsed.
    """

    __slots__ = (
        "_is_done",
        "_must_wait",
        "_on_change",
        "_parse",
        "has_rest",
        "meter",
        "unparsed",
        "waits_for_turn",
    )

    def __init__(
        self,
        parse: abc.Callable[[bytes], None],
        is_done: abc.Callable[[], bool],
        must_wait: abc.Callable[[], bool],
        on_change: abc.Callable[[], None],
    ) -> None:
        self._parse = parse
        self._is_done = is_done
        self._must_wait = must_wait
        self._on_change = on_change
        self.meter = _meters.Meter()
        self.unparsed = b""
        self.waits_for_turn = False
        self.has_rest = False

    def begin(self) -> None:
        """Begin to read a response, on a connection used before."""
        self.meter = _meters.Meter()
        self.has_rest = False

    def receive(self, data: bytes) -> None:
        """Parse data, as much of it as may be parsed now."""
        if self.unparsed or self.waits_for_turn:
            self.unparsed += data
            return
        if len(data) <= PARSED_BYTES_MAX and not self.meter.is_costly:
            self._parse(data)
            if self.meter.is_costly:
                self.wait_for_turn()
            return
        self._parse_pieces(data)

    def proceed(self) -> None:
        """Parse what waits, as much of it as may be parsed now."""
        if not self.waits_for_turn:
            data, self.unparsed = self.unparsed, b""
            self._parse_pieces(data)

    def wait_for_turn(self) -> None:
        """Let the connection read no more until its turn."""
        if self.waits_for_turn:
            return
        self.waits_for_turn = True
        _turns.wait_for_turn(self._begin_turn)
        self._on_change()

    def drop(self) -> None:
        """Drop what waits."""
        self.unparsed = b""

    def _parse_pieces(self, data: bytes) -> None:
        for start in range(0, len(data), PARSED_BYTES_MAX):
            if self._is_done():
                self.has_rest = True
                return
            if self.meter.is_costly:
                self.wait_for_turn()
            if self.waits_for_turn or self._must_wait():
                self.unparsed = data[start:]
                return
            self._parse(data[start : start + PARSED_BYTES_MAX])

    def _begin_turn(self) -> None:
        self.waits_for_turn = False
        self.meter.grant(_turns.TURN_BYTES)
        if not self._is_done():
            self.proceed()
        self._on_change()
