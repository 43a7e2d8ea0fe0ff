"""Inputs and effects of the guard of one upstream instance.

The guard is part of the daemon on the instance's VM, and every request for
the upstream passes it. Work is an attempt as the guard sees it; an entrance
makes one or more attempts for each call (see ``calls._entrances``). Instants
and durations are float seconds of the local monotonic clock.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import outcomes


OVERDUE_SECONDS = 0.01
"""Work is aborted so long after its deadline, at which its caller gives up:
the clocks of their two machines may differ in their rates."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One attempt that arrived for the upstream.

    ``rank`` orders attempts by importance and then by caller (see
    ``load.rank``); a higher rank is shed later. ``max_wait_seconds`` is how
    long the attempt may wait in the queue. ``tenant_share`` is the tenant's
    weight in the bundle.
    """

    attempt_id: str
    request_class: str
    tenant: str
    rank: float
    deadline: float
    max_wait_seconds: float
    tenant_share: float = 1.0

    @property
    def overdue_at(self) -> float:
        """From when it is aborted if it still runs."""
        return self.deadline + OVERDUE_SECONDS


class End(enum.Enum):
    """How a started attempt ended at the upstream.

    ``REFUSED`` means that the upstream did not take the attempt although the
    guard had started it; refusals of the guard itself are ``TurnAway``. Only
    ``DONE`` counts for the service time, and only ``REFUSED`` cuts the
    concurrency limit.
    """

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Effect: hand the attempt to the upstream now."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnAway:
    """Effect: refuse the attempt, which the guard has not started.

    ``retry_after`` is in seconds.
    """

    attempt_id: str
    reason: outcomes.Reason
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Effect: cancel the attempt at the upstream, as its caller has gone."""

    attempt_id: str


Effect = Start | TurnAway | Abort
