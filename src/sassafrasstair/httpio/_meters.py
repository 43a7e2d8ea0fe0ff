"""What received bytes cost, beside what they deliver.

A message may be framed by bytes without end: fields, interim answers, chunk
extensions, zeros of a chunk size, trailers, blank lines. They have a limit,
and connections that send many of them get less of the processor's time.
"""

from __future__ import annotations

import dataclasses

FRAMING_PER_BODY_BYTE = 8
"""Framing bytes that each byte of a body allows: chunks may be as small as
one byte, with five bytes of framing."""
CREDIT_BYTES = 64 * 1024
"""Costly input that a connection may parse before it has to wait."""
PIECE_COST_BYTES = 64
"""Cost of a piece of a body beside its bytes: a chunk may hold only one."""
CREDIT_PER_BODY_BYTE = 0.25


@dataclasses.dataclass(slots=True)
class Meter:
    """Counts for one connection, since it last made progress.

    ``framing_bytes`` are those beyond what the body allows. ``credit`` is
    what may still be parsed at once; below zero the input is costly.
    """

    framing_bytes: int = 0
    credit: float = CREDIT_BYTES
    _body_bytes: int = 0
    _pieces: int = 0
    _progressed: bool = False

    @property
    def is_costly(self) -> bool:
        """Whether further input has to wait for its turn."""
        return self.credit < 0.0

    def note_body(self, size: int) -> None:
        """Count a piece of a body in the input that is being parsed."""
        self._body_bytes += size
        self._pieces += 1

    def note_progress(self) -> None:
        """Note that a head or a message was complete in this input."""
        self._progressed = True

    def account(self, size: int) -> None:
        """Account for ``size`` bytes that were parsed."""
        body, self._body_bytes = self._body_bytes, 0
        pieces, self._pieces = self._pieces, 0
        if self._progressed:
            self._progressed = False
            self.framing_bytes = 0
            self.credit = CREDIT_BYTES
            return
        framing = size - body
        allowed = FRAMING_PER_BODY_BYTE * body
        self.framing_bytes = max(0, self.framing_bytes + framing - allowed)
        self.credit = min(
            CREDIT_BYTES,
            self.credit
            + CREDIT_PER_BODY_BYTE * body
            - framing
            - PIECE_COST_BYTES * pieces,
        )

    def grant(self, size: int) -> None:
        """Allow ``size`` bytes of costly input to be parsed."""
        self.credit = max(self.credit, float(size))
