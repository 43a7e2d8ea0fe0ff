"""What follows from the evidence: a request is run, run isolated, or blocked.

From the second crash on it runs at an instance as the only such suspect, so
that the next crash tells them apart. From the third on it is blocked, and
tried again after a time that grows: a later release may be able to run it.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import math

from sassafrasstair.decisions.crashes import _ledger
from sassafrasstair.decisions.crashes import _records

ISOLATED_FROM = 2
BLOCKED_FROM = 3
FAMILIAR_ISOLATED_MIN = 2
"""What an instance had completed before is blocked only after so many crashes
in which it ran as the only suspect."""
BLOCKED_SECONDS = 60.0
BLOCKED_SECONDS_MAX = 600.0
BLOCKED_GROWTH = 4.0
"""With each crash beyond the third a request is blocked for longer."""


class Standing(enum.Enum):
    """How a request may be run."""

    FREE = "free"
    ISOLATED = "isolated"
    BLOCKED = "blocked"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request may be run, and why.

    ``until`` is when it may be tried again, on this daemon's clock.
    """

    standing: Standing
    evidence: _ledger.Evidence
    blocked_until: float = -math.inf


def decide_standing(
    ledger: _ledger.Ledger, fingerprint: int, own: str, now: float
) -> Verdict:
    """Return how a request may be run now, by the daemon at ``own``."""
    found = _ledger.evidence_against(ledger, fingerprint)
    if found.strikes >= ISOLATED_FROM:
        by_others = {
            key
            for key, strikes in _explained(ledger).items()
            if strikes > found.strikes
        }
        if any(crash.key in by_others for crash in found.crashes):
            found = _ledger.evidence_without(ledger, fingerprint, by_others)
    if found.strikes < ISOLATED_FROM:
        return Verdict(Standing.FREE, found)
    if not _is_proven(found):
        return Verdict(Standing.ISOLATED, found)
    until = found.last_crash_at + _blocked_seconds(found, fingerprint, own)
    standing = Standing.BLOCKED if now < until else Standing.ISOLATED
    return Verdict(standing, found, until)


def _is_proven(found: _ledger.Evidence) -> bool:
    if found.strikes < BLOCKED_FROM:
        return False
    return not found.familiar or found.isolated >= FAMILIAR_ISOLATED_MIN


def _explained(ledger: _ledger.Ledger) -> dict[_records.CrashKey, int]:
    """Return the crashes that a request which is proven to cause them was in.

    By its strikes: what ran beside it with fewer is not to blame for them.
    """
    if ledger.explained_crashes is None:
        ledger.explained_crashes = {}
        for found in _ledger.recurring(ledger, BLOCKED_FROM):
            if not _is_proven(found):
                continue
            for crash in found.crashes:
                strikes = ledger.explained_crashes.get(crash.key, 0)
                ledger.explained_crashes[crash.key] = max(
                    strikes, found.strikes
                )
    return ledger.explained_crashes


def _blocked_seconds(
    found: _ledger.Evidence, fingerprint: int, own: str
) -> float:
    """Return for how long a request is blocked after its last crash.

    Up to twice as long at one daemon as at another: the first one that tries
    it again tells the others what came of it.
    """
    seconds = BLOCKED_SECONDS * BLOCKED_GROWTH ** min(
        found.strikes - BLOCKED_FROM, 10
    )
    key = f"{fingerprint} {own}".encode()
    digest = hashlib.blake2b(key, digest_size=4).digest()
    spread = int.from_bytes(digest, "big") / 2**32
    return min(BLOCKED_SECONDS_MAX, seconds) * (1.0 + spread)
