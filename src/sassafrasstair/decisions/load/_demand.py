"""How much of the offered work was started lately, by groups of attempts.

A group has one request class, and either attempts that are known to be part
of another request or attempts that are not. The latter are clients' requests,
or come from a daemon of an earlier version, which does not report it.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _messages

FADE_SECONDS = 1.0
"""The counts follow changes of the traffic with this time constant."""
MIN_COUNT = 0.01
"""A group with fewer offered attempts is forgotten."""

Group = tuple[str, bool]
"""A request class, and whether its attempts are part of another request."""


@dataclasses.dataclass(slots=True)
class Counts:
    """The attempts of one group, offered and started."""

    offered: float = 0.0
    started: float = 0.0


@dataclasses.dataclass(slots=True)
class Demand:
    """The counts by group, last faded at ``faded_at``."""

    counts: dict[Group, Counts] = dataclasses.field(default_factory=dict)
    faded_at: float = 0.0


def group_of(work: _messages.Work) -> Group:
    """Return the group of an attempt."""
    return work.request_class, work.begun_at is not None


def is_part(group: Group) -> bool:
    """Return whether the group's attempts are part of other requests."""
    return group[1]


def count_offered(demand: Demand, work: _messages.Work) -> None:
    """Count one attempt that arrived."""
    demand.counts.setdefault(group_of(work), Counts()).offered += 1.0


def count_started(demand: Demand, work: _messages.Work) -> None:
    """Count one attempt that was started."""
    demand.counts.setdefault(group_of(work), Counts()).started += 1.0


def fade(demand: Demand, now: float) -> None:
    """Reduce all counts by their age."""
    factor = math.exp(-max(0.0, now - demand.faded_at) / FADE_SECONDS)
    demand.faded_at = now
    for group, counts in list(demand.counts.items()):
        counts.offered *= factor
        counts.started *= factor
        if counts.offered < MIN_COUNT:
            del demand.counts[group]


def started_share(demand: Demand, group: Group) -> float:
    """Return the share of the group's offered attempts that were started."""
    counts = demand.counts.get(group)
    if counts is None or counts.offered <= 0.0:
        return 0.0
    return counts.started / counts.offered
