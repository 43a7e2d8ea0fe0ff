"""Why a bundle was refused."""

from __future__ import annotations

import enum


class Defect(enum.Enum):
    """What was wrong with a bundle; a sentinel, logged and counted."""

    TOO_LARGE = "too_large"
    NOT_JSON = "not_json"
    UNKNOWN_KEY = "unknown_key"
    BAD_VALUE = "bad_value"
    UNSIGNED = "unsigned"
    UNKNOWN_SIGNER = "unknown_signer"
    BAD_SIGNATURE = "bad_signature"
    INCONSISTENT = "inconsistent"
    DOWNGRADED = "downgraded"


class BundleError(Exception):
    """A bundle that is refused whole. ``details`` has one line a fault."""

    def __init__(self, reason: Defect, *details: str) -> None:
        super().__init__(f"{reason.value}: {'; '.join(details)}")
        self.reason = reason
        self.details = details

    @property
    def detail(self) -> str:
        """All faults on one line."""
        return "; ".join(self.details)


class InvalidKeyError(Exception):
    """Bytes that are no Ed25519 key."""
