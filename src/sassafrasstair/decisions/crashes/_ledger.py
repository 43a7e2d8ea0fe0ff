"""Records of crashes of the own upstream and of those that peers report.

One crash alone does not identify its cause: many requests were under way, and
at most one of them caused it. Three signs distinguish a request that causes
crashes: it was under way in several crashes in sequence, no instance has
completed it since, and the other requests have been completed.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing

from sassafrasstair.decisions.crashes import _records

if typing.TYPE_CHECKING:
    from collections import abc

RETENTION_SECONDS = 1_800.0
"""A crash is kept for longer than any request is blocked, so that it is still
known when the request is tried again."""
MAX_KEPT_RUNS = 1_200
"""The most requests in all records together. As reports they take about 14 KB
besides the keys of the crashes. A daemon sends all reports in one header, so
they must stay below the size of a head that other daemons accept. A request
that crashes three instances with eight others in flight at each adds 27. So 44
such requests are remembered, and an evicted one may crash three more
instances."""
MAX_KEPT_CRASHES = 256
MAX_EVICTED_KEYS = 1_000
"""The most keys of removed records; peers' reports of these are ignored."""
CLOCK_TOLERANCE_SECONDS = 0.02
"""How far the times of one crash may differ between two daemons."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The evidence that one request causes crashes.

    ``strikes`` is the number of crashes that count against it: it was in
    flight at each of them and no instance has completed it since. For a
    familiar request only some of these count, see ``_summarize``. ``isolated``
    is the number of strikes in which it was the only suspect. ``familiar`` is
    set if an instance had completed it before one of the crashes. ``crashes``
    are all crashes that it is not cleared of, the latest of them at
    ``last_crash_at``.
    """

    strikes: int
    isolated: int
    familiar: bool
    last_crash_at: float
    crashes: tuple[_records.Crash, ...]


_NO_EVIDENCE = Evidence(0, 0, False, -math.inf, ())


@dataclasses.dataclass(slots=True)
class Ledger:
    """Records of crashes by key, and by the fingerprint of each request.

    ``runs_by_request`` holds each crash of a request with the index of the
    request in the runs of that crash. ``evicted_keys`` are those of removed
    records, oldest first; reports of them are ignored. ``run_count`` is the
    number of requests in all records. ``version`` counts changes. ``digest``
    is the same in all daemons that have the same records.

    ``evidence_cache`` and ``explained_crashes`` are cleared at each change.
    The latter is None until ``decide_standing`` next needs it. It holds each
    crash that a proven request was in, with the most strikes of such a
    request. A request is proven to cause crashes when the evidence against it
    suffices to block it.
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
    """Record a crash of an instance; return False if it is not new."""
    kept = _select_runs(ledger, runs)
    bits = sum(
        1 << index
        for index, run in enumerate(kept)
        if run.fingerprint in familiar
    )
    return _add(ledger, _records.Crash(key, now, kept, familiar_bits=bits))


def clear_completed(ledger: Ledger, fingerprint: int) -> bool:
    """Clear a request of all its crashes: an instance has completed it.

    Return whether it was not cleared of one of them before.
    """
    cleared = False
    for crash, index in ledger.runs_by_request.get(fingerprint, ()):
        bits = crash.cleared_bits | 1 << index
        cleared = (
            _set_bits(ledger, crash, bits, crash.familiar_bits) or cleared
        )
    return cleared


def merge_reports(
    ledger: Ledger, reports: abc.Iterable[_records.Report], now: float
) -> set[int]:
    """Merge a peer's reports; return the requests in changed records.

    The bits of a record refer to its requests by index. A report that lists
    another number of requests for a known crash is ignored, because its
    indices may stand for other requests.
    """
    changed_requests: set[int] = set()
    for report in reports:
        if (
            report.age >= RETENTION_SECONDS
            or report.key in ledger.evicted_keys
        ):
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
            changed_requests.update(run.fingerprint for run in crash.runs)
    return changed_requests


def mark_familiar(ledger: Ledger, fingerprint: int) -> None:
    """Record that an instance completed a request before its crashes."""
    for crash, index in ledger.runs_by_request.get(fingerprint, ()):
        bits = crash.familiar_bits | 1 << index
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
    """Remove the crashes that are older than ``RETENTION_SECONDS``."""
    for crash in list(ledger.crashes.values()):
        if now - crash.crashed_at >= RETENTION_SECONDS:
            _evict(ledger, crash)


def evidence_against(ledger: Ledger, fingerprint: int) -> Evidence:
    """Return the evidence against a request from all crashes."""
    entries = ledger.runs_by_request.get(fingerprint)
    if not entries:
        return _NO_EVIDENCE
    known = ledger.evidence_cache.get(fingerprint)
    if known is None:
        known = ledger.evidence_cache[fingerprint] = _summarize(entries)
    return known


def evidence_excluding(
    ledger: Ledger,
    fingerprint: int,
    excluded: abc.Container[_records.CrashKey],
) -> Evidence:
    """Return the evidence against a request without ``excluded`` crashes."""
    entries = ledger.runs_by_request.get(fingerprint, ())
    return _summarize(
        [each for each in entries if each[0].key not in excluded]
    )


def recurring_evidence(ledger: Ledger, count: int) -> list[Evidence]:
    """Return the evidence against requests with ``count`` strikes or more."""
    found = (
        evidence_against(ledger, fingerprint)
        for fingerprint, entries in ledger.runs_by_request.items()
        if len(entries) >= count
    )
    return [each for each in found if each.strikes >= count]


def _summarize(
    entries: abc.Iterable[tuple[_records.Crash, int]],
) -> Evidence:
    """Return the evidence from the crashes that a request was in.

    A popular request is under way at many instances that crash at the same
    time. For a familiar request a crash therefore counts only if the request
    started after the crash counted before, as when it is sent again.
    """
    counted = sorted(
        (
            (crash, crash.runs[index], crash.familiar_bits >> index & 1)
            for crash, index in entries
            if not crash.cleared_bits >> index & 1
        ),
        key=lambda each: each[0].crashed_at,
    )
    familiar = any(bit for _, _, bit in counted)
    strikes, isolated, last = 0, 0, -math.inf
    for crash, run, _ in counted:
        began = crash.crashed_at - run.elapsed_seconds
        if familiar and began < last - CLOCK_TOLERANCE_SECONDS:
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


def _select_runs(
    ledger: Ledger, runs: abc.Iterable[_records.Run]
) -> tuple[_records.Run, ...]:
    """Return the runs to record, one of each request, at most ``RUNS_MAX``.

    Of several runs of a request the one that started first is kept, and not
    as isolated. Requests with the most strikes come first; of requests with
    equal strikes, those that started last come first.
    """
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
    for index, run in enumerate(crash.runs):
        ledger.runs_by_request.setdefault(run.fingerprint, []).append(
            (crash, index)
        )
    ledger.run_count += len(crash.runs)
    _mark_changed(ledger, crash)
    ledger.digest ^= _crash_digest(crash)
    while _is_full(ledger) and len(ledger.crashes) > 1:
        _evict(ledger, _next_to_evict(ledger))
    return crash.key in ledger.crashes


def _is_full(ledger: Ledger) -> bool:
    return (
        ledger.run_count > MAX_KEPT_RUNS
        or len(ledger.crashes) > MAX_KEPT_CRASHES
    )


def _set_bits(
    ledger: Ledger, crash: _records.Crash, cleared: int, familiar: int
) -> bool:
    if (cleared, familiar) == (crash.cleared_bits, crash.familiar_bits):
        return False
    ledger.digest ^= _crash_digest(crash)
    crash.cleared_bits, crash.familiar_bits = cleared, familiar
    ledger.digest ^= _crash_digest(crash)
    _mark_changed(ledger, crash)
    return True


def _mark_changed(ledger: Ledger, crash: _records.Crash) -> None:
    ledger.version += 1
    crash.changed_version = ledger.version
    _clear_cache(ledger)


def _evict(ledger: Ledger, crash: _records.Crash) -> None:
    del ledger.crashes[crash.key]
    for run in crash.runs:
        entries = ledger.runs_by_request[run.fingerprint]
        entries[:] = [each for each in entries if each[0] is not crash]
        if not entries:
            del ledger.runs_by_request[run.fingerprint]
    ledger.run_count -= len(crash.runs)
    ledger.digest ^= _crash_digest(crash)
    _clear_cache(ledger)
    ledger.evicted_keys[crash.key] = None
    if len(ledger.evicted_keys) > MAX_EVICTED_KEYS:
        del ledger.evicted_keys[next(iter(ledger.evicted_keys))]


def _clear_cache(ledger: Ledger) -> None:
    ledger.evidence_cache.clear()
    ledger.explained_crashes = None


def _next_to_evict(ledger: Ledger) -> _records.Crash:
    """Return the record to evict first.

    Records come first in which no request, except those cleared of the crash,
    is in any other record; of these the oldest comes first.
    """

    def eviction_order(crash: _records.Crash) -> tuple[bool, float]:
        recurs = any(
            len(ledger.runs_by_request[run.fingerprint]) > 1
            and not crash.cleared_bits >> index & 1
            for index, run in enumerate(crash.runs)
        )
        return recurs, crash.crashed_at

    return min(ledger.crashes.values(), key=eviction_order)


def _crash_digest(crash: _records.Crash) -> int:
    instance, born = crash.key
    text = f"{instance} {born} {crash.cleared_bits:x} {crash.familiar_bits:x}"
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
