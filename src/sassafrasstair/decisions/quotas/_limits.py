"""How many requests of a customer may run, over all daemons."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

USED_SHARE = 0.4
USED_SLACK = 0.7
"""The parts of the tolerance that are used, so that a customer within its
limit is not refused for where its requests enter. The rest is for tokens that
are handed out twice while a failure domain is split."""


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
    factor = 1.0 + USED_SHARE * rules.over
    return Limit(
        factor * customer.rate,
        max(1.0, factor * customer.burst + USED_SLACK * rules.slack),
    )
