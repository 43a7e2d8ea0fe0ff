"""An oracle of what instances say in their answers and daemons must heed.

An instance in need names the rate of requests that it takes from all VMs
together. An instance that is about to stop says that it is leaving. Both bind
an entrance from when it has passed on such an answer.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import httpio

STABLE_SECONDS = 3.0
"""A rate limit binds from this long after the instance first named one."""
WINDOW_SECONDS = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5.0
PASSED_ON_SECONDS = 0.5
"""A request counts if its entrance had passed on a limit this long before."""
DRAIN_SECONDS = 2.0

_TOLERANCE = 1e-6


def leaving_fields(name: bytes) -> dict[str, httpio.Fields]:
    """Return header fields that all say the same, as servers may write it.

    A field's value excludes the white space around it, and several fields of
    one name are one list (RFC 9110, 5.3, 5.5 and 5.6.1).
    """
    return {
        "plain": [(name, b"1")],
        "lower_case": [(name.lower(), b"1")],
        "space_behind": [(name, b"1 ")],
        "upper_case_and_tabs": [(name.upper(), b"\t1 \t")],
        "two_fields": [(name, b"1"), (name, b"1")],
        "second_field": [(name, b"0"), (name.lower(), b"1")],
        "list": [(name, b"1, 1")],
        "list_with_empty_members": [(name, b", 1,")],
    }


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an instance, from the entrance at which it began."""

    time: float
    entrance: str
    sent_at: float


@dataclasses.dataclass
class Run:
    """One run of an instance, and who has passed on its answers.

    ``limits`` are the limits that it named, with the time of each, infinite
    from when it named none any more. ``limit_passed_on`` and
    ``leaving_passed_on`` hold when each entrance first passed on an answer
    that named a limit, or said that the instance is leaving.
    """

    limits: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    limit_passed_on: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving_passed_on: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)

    def limit_during(self, since: float, until: float) -> float:
        """Return the greatest limit that was named during a time."""
        times = [time for time, _ in self.limits]
        first = max(0, bisect.bisect_right(times, since) - 1)
        last = bisect.bisect_right(times, until)
        return max(
            (limit for _, limit in self.limits[first:last]), default=math.inf
        )


@dataclasses.dataclass
class Oracle:
    """All runs of all instances, by a name of the run."""

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    late: list[str] = dataclasses.field(default_factory=list)
    """Requests that reached an instance after it was known to leave."""

    def run_of(self, run: str) -> Run:
        """Return the record of a run."""
        return self.runs.setdefault(run, Run())

    def names_limit(self, run: str, limit: float, now: float) -> None:
        """Record the limit that the instance names from now on."""
        self.run_of(run).limits.append((now, limit))

    def passed_on(
        self, run: str, entrance: str, limited: bool, leaving: bool, now: float
    ) -> None:
        """Record that an entrance passed an answer on to its client."""
        record = self.run_of(run)
        if limited:
            record.limit_passed_on.setdefault(entrance, now)
        if leaving:
            record.leaving_passed_on.setdefault(entrance, now)

    def arrived(
        self, run: str, entrance: str, sent_at: float, now: float
    ) -> None:
        """Record a request that reached the instance."""
        record = self.run_of(run)
        record.arrivals.append(Arrival(now, entrance, sent_at))
        known = record.leaving_passed_on.get(entrance, math.inf)
        if sent_at - known > DRAIN_SECONDS + _TOLERANCE:
            self.late.append(
                f"DRAIN {run} from {entrance}: {sent_at - known:.3f} s later"
            )

    def excuse(self, entrance: str) -> None:
        """Forget what an entrance passed on, since it restarts or freezes."""
        for record in self.runs.values():
            record.limit_passed_on.pop(entrance, None)
            record.leaving_passed_on.pop(entrance, None)

    def broken(self) -> list[str]:
        """Return each rule that was broken, and how."""
        found = list(self.late)
        for name, record in self.runs.items():
            excess = _excess(record)
            if excess:
                found.append(f"LIMIT {name}: {excess}")
        return found


def _excess(record: Run) -> str:
    """Return by how much the worst window is over its limit, '' if none."""
    named = [time for time, limit in record.limits if limit < math.inf]
    if not named:
        return ""
    bound_from = named[0] + STABLE_SECONDS
    bound = [
        arrival.time
        for arrival in record.arrivals
        if arrival.time
        >= record.limit_passed_on.get(arrival.entrance, math.inf)
        + PASSED_ON_SECONDS
    ]
    worst, text = 0.0, ""
    for index, since in enumerate(bound):
        if since < bound_from:
            continue
        until = bisect.bisect_left(bound, since + WINDOW_SECONDS)
        allowed = _allowed(record, since)
        if until - index - allowed > worst:
            worst = until - index - allowed
            text = f"{until - index} from {since:.3f} s, {allowed:.1f} allowed"
    return text


def _allowed(record: Run, since: float) -> float:
    """Return how many requests may arrive in the window from ``since``.

    A limit that is lowered must be known half a second later.
    """
    until = since + WINDOW_SECONDS
    steps = [since]
    for time, _ in record.limits:
        steps += [time, time + PASSED_ON_SECONDS]
    edges = sorted({step for step in steps if since <= step < until} | {until})
    total = 0.0
    for begin, end in itertools.pairwise(edges):
        limit = record.limit_during(begin - PASSED_ON_SECONDS, begin)
        total += limit * (end - begin)
    return EXCESS_RATIO * total + EXCESS_REQUESTS
