"""Limits on the requests of a customer across all daemons."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

TOLERANCE_FRACTION = 0.7
"""The part of the tolerance that is added to a limit, so that a customer
within its limit is not refused because its requests arrive unevenly at the
daemons. The rest allows for overdrafts, and for tokens that are granted twice
while a failure domain is partitioned."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The guarantee that quotas give for any ``window_seconds``.

    The requests of a customer that run do not exceed (rate x window + burst) x
    (1 + ``relative_tolerance``) + ``absolute_tolerance``.
    """

    window_seconds: float = 5.0
    relative_tolerance: float = 0.0
    absolute_tolerance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A bucket that fills with ``rate`` tokens a second up to ``burst``."""

    rate: float
    burst: float


def limit_with_tolerance(
    customer: policies.Customer, rules: Rules
) -> Limit | None:
    """Return the limit to enforce, or None if there is none.

    A customer may send its rate and its burst in every window. The returned
    rate therefore spreads the whole allowance over the window, as far as the
    relative tolerance permits. The burst is the rest of the allowance.
    """
    if customer.rate <= 0.0:
        return None
    window = rules.window_seconds
    allowed = customer.rate * window + customer.burst
    rate = min(
        allowed / window, (1.0 + rules.relative_tolerance) * customer.rate
    )
    most = allowed * (1.0 + TOLERANCE_FRACTION * rules.relative_tolerance)
    most += TOLERANCE_FRACTION * rules.absolute_tolerance
    return Limit(rate, max(1.0, most - rate * window))
