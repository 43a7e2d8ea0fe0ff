"""Errors that say why a bundle or a key was refused."""

from __future__ import annotations

import enum


class Defect(enum.Enum):
    """Kind of fault for which a bundle was refused; logged and counted."""

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
    """A bundle was refused. ``details`` has one line for each fault."""

    def __init__(self, reason: Defect, *details: str) -> None:
        super().__init__(f"{reason.value}: {'; '.join(details)}")
        self.reason = reason
        self.details = details

    @property
    def detail(self) -> str:
        """All faults, joined on one line."""
        return "; ".join(self.details)


class InvalidKeyError(Exception):
    """The bytes are not an Ed25519 key."""
