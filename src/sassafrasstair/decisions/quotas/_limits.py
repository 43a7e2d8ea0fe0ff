"""How many requests of a customer may run, over all daemons."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

TOLERANCE_USED = 0.7
"""The part of the tolerance that is used, so that a customer within its limit
is not refused for where its requests enter. The rest is for overdrafts, and
for tokens that are handed out twice while a failure domain is split."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What must hold in any ``window_seconds``.

    No more requests of a customer run than (rate x window + burst) x
    (1 + ``over``) + ``slack``.
    """

    window_seconds: float = 5.0
    relative_tolerance: float = 0.0
    absolute_tolerance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Tokens a second, and as many as may be saved up."""

    rate: float
    burst: float


def limit_with_tolerance(
    customer: policies.Customer, rules: Rules
) -> Limit | None:
    """Return the limit that is enforced, None if there is none.

    A customer may send its rate and its burst in each window, so the rate is
    that of a whole window, within the tolerance. The burst is what is left.
    """
    if customer.rate <= 0.0:
        return None
    window = rules.window_seconds
    allowed = customer.rate * window + customer.burst
    rate = min(
        allowed / window, (1.0 + rules.relative_tolerance) * customer.rate
    )
    most = allowed * (1.0 + TOLERANCE_USED * rules.relative_tolerance)
    most += TOLERANCE_USED * rules.absolute_tolerance
    return Limit(rate, max(1.0, most - rate * window))
