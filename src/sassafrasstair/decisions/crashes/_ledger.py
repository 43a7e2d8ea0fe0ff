"""What one daemon knows of crashes, from its own upstream and from peers.

A crash says little of what ran there: many requests were under way, and at
most one of them is to blame. What recurs is told from the rest by three
things: it was under way in one crash after the other, no instance has
completed it since, and the others have been.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing

from sassafrasstair.decisions.crashes import _records

if typing.TYPE_CHECKING:
    from collections import abc

KEPT_SECONDS = 1_800.0
"""Longer than any request is blocked for, so that it is still known when the
request is tried again."""
RUNS_KEPT = 1_200
"""Requests of all records, about 14 KB as reports. One that crashes three
instances with eight others in flight at each takes 27: 44 such requests are
remembered, and one that is evicted may crash three more."""
CRASHES_KEPT = 256
DROPPED_KEPT = 1_000
"""Records that were evicted and are not accepted from peers again."""
SAME_MOMENT_SECONDS = 0.02
"""By so much two daemons may differ on when a crash was."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What speaks against one request.

    ``strikes`` are the crashes that count, ``isolated`` those of them in which
    it was the only suspect. ``familiar`` when an instance had completed it
    before. ``last`` is the instant of the latest one.
    """

    strikes: int
    isolated: int
    familiar: bool
    last_crash_at: float
    crashes: tuple[_records.Crash, ...]


_NOTHING = Evidence(0, 0, False, -math.inf, ())


@dataclasses.dataclass(slots=True)
class Ledger:
    """Records of crashes by their keys, and by the requests under way.

    ``version`` counts changes, ``digest`` is the same in all daemons that
    know the same. ``found`` and ``explained`` were worked out since the last
    change; the latter are the strikes of the proven request that was in a
    crash.
    """

    crashes: dict[_records.CrashKey, _records.Crash] = dataclasses.field(
        default_factory=dict
    )
    runs_by_request: dict[int, list[tuple[_records.Crash, int]]] = (
        dataclasses.field(default_factory=dict)
    )
    evicted_keys: dict[_records.CrashKey, None] = dataclasses.field(
        default_factory=dict
    )
    evidence_cache: dict[int, Evidence] = dataclasses.field(
        default_factory=dict
    )
    explained_crashes: dict[_records.CrashKey, int] | None = None
    run_count: int = 0
    version: int = 0
    digest: int = 0


def new_ledger() -> Ledger:
    """Return a ledger without crashes."""
    return Ledger()


def record_crash(
    ledger: Ledger,
    key: _records.CrashKey,
    runs: abc.Iterable[_records.Run],
    familiar: abc.Container[int],
    now: float,
) -> bool:
    """Note a crash of an instance; False if it is known already."""
    kept = _distinct(ledger, runs)
    bits = sum(
        1 << place
        for place, run in enumerate(kept)
        if run.fingerprint in familiar
    )
    return _add(ledger, _records.Crash(key, now, kept, familiar_bits=bits))


def clear_completed(ledger: Ledger, fingerprint: int) -> bool:
    """Note that an instance ran a request to its end.

    Returns whether that clears it of a crash.
    """
    cleared = False
    for crash, place in ledger.runs_by_request.get(fingerprint, ()):
        bits = crash.cleared_bits | 1 << place
        cleared = (
            _set_bits(ledger, crash, bits, crash.familiar_bits) or cleared
        )
    return cleared


def merge_reports(
    ledger: Ledger, reports: abc.Iterable[_records.Report], now: float
) -> set[int]:
    """Merge a peer's reports; return the requests that they changed."""
    touched: set[int] = set()
    for report in reports:
        if report.age >= KEPT_SECONDS or report.key in ledger.evicted_keys:
            continue
        crash = ledger.crashes.get(report.key)
        if crash is None:
            crash = _records.Crash(
                report.key,
                now - report.age,
                report.runs,
                report.cleared_bits,
                report.familiar_bits,
            )
            changed = _add(ledger, crash)
        elif len(crash.runs) == len(report.runs):
            cleared = crash.cleared_bits | report.cleared_bits
            familiar = crash.familiar_bits | report.familiar_bits
            changed = _set_bits(ledger, crash, cleared, familiar)
        else:
            changed = False
        if changed:
            touched.update(run.fingerprint for run in crash.runs)
    return touched


def mark_familiar(ledger: Ledger, fingerprint: int) -> None:
    """Note that an instance had completed a request before its crashes."""
    for crash, place in ledger.runs_by_request.get(fingerprint, ()):
        bits = crash.familiar_bits | 1 << place
        _set_bits(ledger, crash, crash.cleared_bits, bits)


def reports_since(
    ledger: Ledger, now: float, since: int = 0
) -> list[_records.Report]:
    """Return the records that changed after a version of the ledger."""
    return [
        _records.Report(
            crash.key,
            max(0.0, now - crash.crashed_at),
            crash.runs,
            crash.cleared_bits,
            crash.familiar_bits,
        )
        for crash in ledger.crashes.values()
        if crash.changed_version > since
    ]


def expire(ledger: Ledger, now: float) -> None:
    """Forget crashes that are long past."""
    for crash in list(ledger.crashes.values()):
        if now - crash.crashed_at >= KEPT_SECONDS:
            _drop(ledger, crash)


def evidence_against(ledger: Ledger, fingerprint: int) -> Evidence:
    """Return what speaks against a request, all crashes counted."""
    entries = ledger.runs_by_request.get(fingerprint)
    if not entries:
        return _NOTHING
    known = ledger.evidence_cache.get(fingerprint)
    if known is None:
        known = ledger.evidence_cache[fingerprint] = _weigh(entries)
    return known


def evidence_without(
    ledger: Ledger,
    fingerprint: int,
    explained: abc.Container[_records.CrashKey],
) -> Evidence:
    """Return the same without crashes that another request explains."""
    entries = ledger.runs_by_request.get(fingerprint, ())
    return _weigh([each for each in entries if each[0].key not in explained])


def recurring(ledger: Ledger, count: int) -> list[Evidence]:
    """Return the evidence of requests that were in so many crashes."""
    found = (
        evidence_against(ledger, fingerprint)
        for fingerprint, entries in ledger.runs_by_request.items()
        if len(entries) >= count
    )
    return [each for each in found if each.strikes >= count]


def _weigh(
    entries: abc.Iterable[tuple[_records.Crash, int]],
) -> Evidence:
    """Count the crashes in which the request was.

    A popular request is under way at many instances that crash at one moment.
    So of a familiar one only crashes count that came one after the other, as
    when it was sent again.
    """
    counted = sorted(
        (
            (crash, crash.runs[place], crash.familiar_bits >> place & 1)
            for crash, place in entries
            if not crash.cleared_bits >> place & 1
        ),
        key=lambda each: each[0].crashed_at,
    )
    familiar = any(bit for _, _, bit in counted)
    strikes, isolated, last = 0, 0, -math.inf
    for crash, run, _ in counted:
        began = crash.crashed_at - run.elapsed_seconds
        if familiar and began < last - SAME_MOMENT_SECONDS:
            continue
        strikes += 1
        isolated += run.isolated
        last = crash.crashed_at
    return Evidence(
        strikes,
        isolated,
        familiar,
        max((crash.crashed_at for crash, _, _ in counted), default=-math.inf),
        tuple(crash for crash, _, _ in counted),
    )


def _distinct(
    ledger: Ledger, runs: abc.Iterable[_records.Run]
) -> tuple[_records.Run, ...]:
    """Return one run of each request, the one that began first."""
    found: dict[int, _records.Run] = {}
    for run in runs:
        other = found.get(run.fingerprint)
        if other is not None:
            seconds = max(run.elapsed_seconds, other.elapsed_seconds)
            run = _records.Run(run.fingerprint, seconds, False)
        found[run.fingerprint] = run
    ordered = sorted(
        found.values(),
        key=lambda run: (
            -evidence_against(ledger, run.fingerprint).strikes,
            run.elapsed_seconds,
        ),
    )
    return tuple(ordered[: _records.RUNS_MAX])


def _add(ledger: Ledger, crash: _records.Crash) -> bool:
    if crash.key in ledger.crashes or crash.key in ledger.evicted_keys:
        return False
    ledger.crashes[crash.key] = crash
    for place, run in enumerate(crash.runs):
        ledger.runs_by_request.setdefault(run.fingerprint, []).append(
            (crash, place)
        )
    ledger.run_count += len(crash.runs)
    _changed(ledger, crash)
    ledger.digest ^= _mark(crash)
    while _is_full(ledger) and len(ledger.crashes) > 1:
        _drop(ledger, _least(ledger))
    return crash.key in ledger.crashes


def _is_full(ledger: Ledger) -> bool:
    return ledger.run_count > RUNS_KEPT or len(ledger.crashes) > CRASHES_KEPT


def _set_bits(
    ledger: Ledger, crash: _records.Crash, cleared: int, familiar: int
) -> bool:
    if (cleared, familiar) == (crash.cleared_bits, crash.familiar_bits):
        return False
    ledger.digest ^= _mark(crash)
    crash.cleared_bits, crash.familiar_bits = cleared, familiar
    ledger.digest ^= _mark(crash)
    _changed(ledger, crash)
    return True


def _changed(ledger: Ledger, crash: _records.Crash) -> None:
    ledger.version += 1
    crash.changed_version = ledger.version
    _forget_found(ledger)


def _drop(ledger: Ledger, crash: _records.Crash) -> None:
    del ledger.crashes[crash.key]
    for run in crash.runs:
        entries = ledger.runs_by_request[run.fingerprint]
        entries[:] = [each for each in entries if each[0] is not crash]
        if not entries:
            del ledger.runs_by_request[run.fingerprint]
    ledger.run_count -= len(crash.runs)
    ledger.digest ^= _mark(crash)
    _forget_found(ledger)
    ledger.evicted_keys[crash.key] = None
    if len(ledger.evicted_keys) > DROPPED_KEPT:
        del ledger.evicted_keys[next(iter(ledger.evicted_keys))]


def _forget_found(ledger: Ledger) -> None:
    ledger.evidence_cache.clear()
    ledger.explained_crashes = None


def _least(ledger: Ledger) -> _records.Crash:
    """Return the record that tells least: no request recurs, then by age."""

    def worth(crash: _records.Crash) -> tuple[bool, float]:
        recurs = any(
            len(ledger.runs_by_request[run.fingerprint]) > 1
            and not crash.cleared_bits >> place & 1
            for place, run in enumerate(crash.runs)
        )
        return recurs, crash.crashed_at

    return min(ledger.crashes.values(), key=worth)


def _mark(crash: _records.Crash) -> int:
    instance, born = crash.key
    text = f"{instance} {born} {crash.cleared_bits:x} {crash.familiar_bits:x}"
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
