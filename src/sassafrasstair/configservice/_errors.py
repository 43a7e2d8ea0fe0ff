"""Errors of the platform client."""

from __future__ import annotations

import enum


class Reason(enum.Enum):
    """Why the platform gave no usable answer."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CUT_SHORT = "cut_short"
    BAD_STATUS = "bad_status"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class PlatformError(Exception):
    """The platform gave no complete answer, or one that must be refused."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail
