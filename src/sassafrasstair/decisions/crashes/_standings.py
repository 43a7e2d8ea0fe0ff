"""Decisions on whether a suspected request runs, runs isolated or is blocked.

From the second crash on a request runs only at an instance that runs no other
suspect, so that the next crash shows which suspect causes it. From the third
crash on the request is blocked. It is tried again after a time that grows with
each crash, because a later release may be able to run it.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import math

from sassafrasstair.decisions.crashes import _ledger
from sassafrasstair.decisions.crashes import _records

ISOLATE_FROM_STRIKES = 2
BLOCK_FROM_STRIKES = 3
FAMILIAR_MIN_ISOLATED = 2
"""A request that an instance had completed before is blocked only after this
many crashes in which it was the only suspect."""
BLOCKED_SECONDS = 60.0
BLOCKED_SECONDS_MAX = 600.0
BLOCKED_GROWTH = 4.0
"""The factor by which each crash beyond the third lengthens the block."""


class Standing(enum.Enum):
    """How a request may be run."""

    FREE = "free"
    ISOLATED = "isolated"
    BLOCKED = "blocked"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request may be run, and why.

    ``blocked_until`` is when it may be tried again, on this daemon's clock.
    """

    standing: Standing
    evidence: _ledger.Evidence
    blocked_until: float = -math.inf


def decide_standing(
    ledger: _ledger.Ledger, fingerprint: int, own_host: str, now: float
) -> Verdict:
    """Return how a request may be run now by the daemon at ``own_host``."""
    found = _ledger.evidence_against(ledger, fingerprint)
    if found.strikes >= ISOLATE_FROM_STRIKES:
        excluded = {
            key
            for key, strikes in _explained_crashes(ledger).items()
            if strikes > found.strikes
        }
        if any(crash.key in excluded for crash in found.crashes):
            found = _ledger.evidence_excluding(ledger, fingerprint, excluded)
    if found.strikes < ISOLATE_FROM_STRIKES:
        return Verdict(Standing.FREE, found)
    if not _is_proven(found):
        return Verdict(Standing.ISOLATED, found)
    until = found.last_crash_at + _blocked_seconds(
        found, fingerprint, own_host
    )
    standing = Standing.BLOCKED if now < until else Standing.ISOLATED
    return Verdict(standing, found, until)


def _is_proven(found: _ledger.Evidence) -> bool:
    if found.strikes < BLOCK_FROM_STRIKES:
        return False
    return not found.familiar or found.isolated >= FAMILIAR_MIN_ISOLATED


def _explained_crashes(ledger: _ledger.Ledger) -> dict[_records.CrashKey, int]:
    """Return the crashes that involved a request proven to cause crashes.

    The value is the number of its strikes. Requests with fewer strikes that
    ran at the same time are not held responsible for these crashes.
    """
    if ledger.explained_crashes is None:
        ledger.explained_crashes = {}
        for found in _ledger.recurring_evidence(ledger, BLOCK_FROM_STRIKES):
            if not _is_proven(found):
                continue
            for crash in found.crashes:
                strikes = ledger.explained_crashes.get(crash.key, 0)
                ledger.explained_crashes[crash.key] = max(
                    strikes, found.strikes
                )
    return ledger.explained_crashes


def _blocked_seconds(
    found: _ledger.Evidence, fingerprint: int, own_host: str
) -> float:
    """Return for how long a request is blocked after its last crash.

    The time varies between daemons by up to a factor of two. The daemon that
    tries the request first reports the result to the others.
    """
    seconds = BLOCKED_SECONDS * BLOCKED_GROWTH ** min(
        found.strikes - BLOCK_FROM_STRIKES, 10
    )
    key = f"{fingerprint} {own_host}".encode()
    digest = hashlib.blake2b(key, digest_size=4).digest()
    spread = int.from_bytes(digest, "big") / 2**32
    return min(BLOCKED_SECONDS_MAX, seconds) * (1.0 + spread)
