"""Records of crashes, and reports of them between daemons."""

from __future__ import annotations

import dataclasses

RUNS_MAX = 256
"""The most requests in one record; an instance has fewer slots."""

CrashKey = tuple[str, int]
"""The instance that crashed, and when it started (0 if not known)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that was in flight at an instance when the instance crashed.

    ``fingerprint`` identifies the request. ``elapsed_seconds`` is for how long
    it had run. ``isolated`` is set if it was the only suspect there, the only
    request that had been in two crashes before.
    """

    fingerprint: int
    elapsed_seconds: float
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash; ``crashed_at`` is an instant of this daemon's clock.

    ``cleared_bits`` and ``familiar_bits`` hold one bit for each index in
    ``runs``. The former marks requests that an instance has completed since
    the crash, the latter those that one had completed before it. Bits are only
    ever set, so records of one crash can be merged in any order.
    ``changed_version`` is the version of the ledger at the last change.
    """

    key: CrashKey
    crashed_at: float
    runs: tuple[Run, ...]
    cleared_bits: int = 0
    familiar_bits: int = 0
    changed_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A record of a crash as sent to a peer.

    ``age`` is in seconds since the crash; the bits are as in ``Crash``.
    """

    key: CrashKey
    age: float
    runs: tuple[Run, ...]
    cleared_bits: int
    familiar_bits: int
