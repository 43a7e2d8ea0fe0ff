"""How many requests of a customer may run, over all daemons."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

OVER_USED = 0.6
SLACK_IN_RATE = 0.5
SLACK_IN_BURST = 0.3
"""The parts of the tolerance that are used, so that a customer within its
limit is not refused for where its requests enter. The rest is for overdrafts,
and for tokens that are handed out twice while a failure domain is split."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What must hold in any ``window_seconds``.

    No more requests of a customer run than (rate x window + burst) x
    (1 + ``over``) + ``slack``.
    """

    window_seconds: float = 5.0
    over: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Tokens a second, and as many as may be saved up."""

    rate: float
    burst: float


def limit_of(customer: policies.Customer, rules: Rules) -> Limit | None:
    """Return the limit that is enforced, None if there is none."""
    if customer.rate <= 0.0:
        return None
    factor = 1.0 + OVER_USED * rules.over
    return Limit(
        factor * customer.rate
        + SLACK_IN_RATE * rules.slack / rules.window_seconds,
        max(1.0, factor * customer.burst + SLACK_IN_BURST * rules.slack),
    )
