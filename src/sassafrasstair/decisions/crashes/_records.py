"""Records of crashes, and reports of them between daemons."""

from __future__ import annotations

import dataclasses

RUNS_MAX = 256
"""Requests of one record; an instance has fewer slots."""

CrashKey = tuple[str, int]
"""The instance that crashed, and when its run started (0 if not known)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that was under way when an instance crashed.

    ``seconds`` is for how long it had run. ``isolated`` when it was the only
    one there that had been in two crashes before.
    """

    fingerprint: int
    elapsed_seconds: float
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash; ``at`` is an instant of this daemon's clock.

    ``cleared`` and ``familiar`` are bits by the place in ``runs``: of
    requests that an instance has completed since, and of those that one had
    completed before. Bits are only ever set, so records of one crash can be
    merged in any order. ``stamp`` is the ledger's version at the last change.
    """

    key: CrashKey
    crashed_at: float
    runs: tuple[Run, ...]
    cleared_bits: int = 0
    familiar_bits: int = 0
    changed_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A record of a crash on its way to a peer; ``age`` in seconds."""

    key: CrashKey
    age: float
    runs: tuple[Run, ...]
    cleared_bits: int
    familiar_bits: int
