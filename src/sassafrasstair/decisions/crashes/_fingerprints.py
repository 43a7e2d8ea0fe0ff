"""Fingerprints that identify requests by content, not by client."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 8


def fingerprint(method: bytes, host: bytes, target: bytes, body: bytes) -> int:
    """Return the fingerprint of a request.

    It covers what an upstream works on. It leaves out what differs between
    two attempts: the request's id, its deadline, the VM that it came from.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host.lower(), target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as shown in logs and to operators."""
    return f"{fingerprint:016x}"
