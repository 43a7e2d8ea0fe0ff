"""Counts of a load run, its table and its JSON summary."""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

import msgspec

from sassafrasstair.standins import _caller

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.standins import _plan
    from sassafrasstair.standins import _ran

RECOVERED_SHARE = 0.95
"""A second is good if this share of its arrivals is whole at once."""


class Row(msgspec.Struct, frozen=True):
    """One class; ``p50_ms`` and ``p99_ms`` are of answered attempts.

    ``all_p99_ms`` runs from the arrival, retries and waits included.
    """

    offered: int
    whole: int
    not_run: int
    unknown: int
    wrong: int
    attempts: int
    p50_ms: float
    p99_ms: float
    all_p99_ms: float


class Verdict(msgspec.Struct, frozen=True):
    """What the upstreams' own counts say against the callers' results."""

    ran_twice: int = 0
    refused_ran: int = 0
    upstreams_read: int = 0


class Summary(msgspec.Struct, frozen=True):
    """The last line of a load run.

    ``goodput`` is whole answers in each second of the plan.
    ``recovery_s`` runs from the end of the surge, -1 if not recovered.
    """

    seconds: float
    offered: int
    whole: int
    not_run: int
    unknown: int
    wrong: int
    ran_twice: int
    refused_ran: int
    upstreams_read: int
    goodput: float
    recovery_s: float
    behind_ms: float
    classes: dict[str, Row]
    reasons: dict[str, int]


@dataclasses.dataclass(slots=True)
class Tally:
    """Results so far; ``behind`` is how late the tool itself was."""

    offered: int = 0
    behind: float = 0.0
    results: list[_caller.Result] = dataclasses.field(default_factory=list)


def percentile(values: abc.Sequence[float], share: float) -> float:
    """Return the value that ``share`` of the values do not pass."""
    if not values:
        return 0.0
    position = math.ceil(share * len(values)) - 1
    return sorted(values)[max(0, position)]


def row(results: abc.Sequence[_caller.Result]) -> Row:
    """Return the counts of one class."""
    finals = collections.Counter(result.final for result in results)
    whole = [
        result for result in results if result.final is _caller.Final.WHOLE
    ]
    last = [result.last_seconds * 1000 for result in whole]
    full = [result.seconds * 1000 for result in whole]
    return Row(
        offered=len(results),
        whole=len(whole),
        not_run=finals[_caller.Final.NOT_RUN],
        unknown=finals[_caller.Final.UNKNOWN],
        wrong=finals[_caller.Final.WRONG],
        attempts=sum(result.attempts for result in results),
        p50_ms=round(percentile(last, 0.5), 1),
        p99_ms=round(percentile(last, 0.99), 1),
        all_p99_ms=round(percentile(full, 0.99), 1),
    )


def judge(
    results: abc.Iterable[_caller.Result], rans: abc.Sequence[_ran.Ran]
) -> Verdict:
    """Compare results with what the upstreams ran.

    Once-only work counts as run twice if instances of one service ran its
    nonce more than once together. A request whose every attempt was
    refused as not run must stand at no upstream at all.
    """
    counts: dict[str, collections.Counter[str]] = {}
    for ran in rans:
        counts.setdefault(ran.service, collections.Counter()).update(
            ran.nonces
        )
    twice = 0
    refused = 0
    for result in results:
        nonce = result.want.nonce
        most = max((each[nonce] for each in counts.values()), default=0)
        twice += result.want.once and most > 1
        refused += result.final is _caller.Final.NOT_RUN and most > 0
    return Verdict(twice, refused, len(rans))


def recovery(plan: _plan.Plan, results: abc.Iterable[_caller.Result]) -> float:
    """Return seconds after the surge until every second is good."""
    good: collections.Counter[int] = collections.Counter()
    offered: collections.Counter[int] = collections.Counter()
    for result in results:
        after = int(result.want.arrival - plan.surge_end)
        if result.want.arrival < plan.surge_end:
            continue
        offered[after] += 1
        whole = result.final is _caller.Final.WHOLE
        good[after] += whole and result.attempts == 1
    bad = [
        second
        for second, count in offered.items()
        if good[second] < RECOVERED_SHARE * count
    ]
    if not bad:
        return 0.0
    if max(bad) == max(offered):
        return -1.0
    return float(max(bad) + 1)


def summary(plan: _plan.Plan, tally: Tally, verdict: Verdict) -> Summary:
    """Return the summary of a run that ended."""
    classes: dict[str, list[_caller.Result]] = {}
    reasons: collections.Counter[str] = collections.Counter()
    for result in tally.results:
        classes.setdefault(result.want.request_class, []).append(result)
        reasons.update(reason for reason in result.reasons if reason)
    total = row(tally.results)
    return Summary(
        seconds=plan.seconds,
        offered=total.offered,
        whole=total.whole,
        not_run=total.not_run,
        unknown=total.unknown,
        wrong=total.wrong,
        ran_twice=verdict.ran_twice,
        refused_ran=verdict.refused_ran,
        upstreams_read=verdict.upstreams_read,
        goodput=round(total.whole / plan.seconds, 1),
        recovery_s=recovery(plan, tally.results),
        behind_ms=round(tally.behind * 1000, 1),
        classes={name: row(each) for name, each in sorted(classes.items())},
        reasons=dict(reasons.most_common()),
    )


def table(done: Summary) -> str:
    """Return the counts as a table for people."""
    heads = ("offered", "whole", "not run", "unknown", "wrong", "calls")
    tails = ("p50 ms", "p99 ms", "all p99")
    lines = [
        f"{'class':<24}"
        + "".join(f"{head:>9}" for head in heads)
        + "".join(f"{tail:>10}" for tail in tails)
    ]
    for name, each in done.classes.items():
        counts = (
            each.offered,
            each.whole,
            each.not_run,
            each.unknown,
            each.wrong,
            each.attempts,
        )
        times = (each.p50_ms, each.p99_ms, each.all_p99_ms)
        lines.append(
            f"{name:<24}"
            + "".join(f"{count:>9}" for count in counts)
            + "".join(f"{milliseconds:>10.1f}" for milliseconds in times)
        )
    return "\n".join(lines)
