"""How many calls one run of this VM's upstream makes, service by service.

A repeated request makes its calls again. Unlike repeats that a ratio of the
requests allows, those of the slack grow in number with each such call, so the
hops above the last one divide their part of the slack by it.

Calls of one run have the rank of the request that it serves. Two requests
rarely have the same one, so calls of the same rank are taken for those of one
run. The greatest number is used: the requests that make many calls may be the
ones that are repeated. It is never less than the mean, even if the ranks of
calls are those of other runs.
"""

from __future__ import annotations

import dataclasses

PAUSE_SECONDS = 2.0
"""A run whose calls are further apart than this may count as two."""


@dataclasses.dataclass(slots=True)
class Fanout:
    """The calls of one service, by run.

    ``counts`` holds the calls of runs by rank, ``previous`` those of runs
    that made no call since ``started_at``. ``greatest`` holds the time at
    which a run last made a certain number of calls.
    """

    counts: dict[float, int] = dataclasses.field(default_factory=dict)
    previous: dict[float, int] = dataclasses.field(default_factory=dict)
    started_at: float = 0.0
    greatest: dict[int, float] = dataclasses.field(default_factory=dict)


def count_call(fanout: Fanout, rank: float, now: float) -> None:
    """Count one call of the run that serves a request of this rank."""
    if now - fanout.started_at > PAUSE_SECONDS:
        fanout.previous = fanout.counts
        fanout.counts = {}
        fanout.started_at = now
    counts = fanout.counts
    count = counts.get(rank)
    if count is None:
        count = fanout.previous.get(rank, 0)
    counts[rank] = count + 1
    fanout.greatest[count + 1] = now


def greatest_since(times: dict[int, float], since: float) -> int | None:
    """Return the greatest number recorded since then, None if none was.

    Older ones are dropped.
    """
    for number in [each for each, at in times.items() if at < since]:
        del times[number]
    return max(times, default=None)
