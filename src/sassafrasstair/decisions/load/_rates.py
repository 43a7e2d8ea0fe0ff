"""The rate of requests that an upstream instance in need names itself.

A token bucket with a small burst. Each start of work takes a token.
"""

from __future__ import annotations

import dataclasses
import math

BURST_SECONDS = 0.1
"""Tokens of this time may accumulate: the guard looks for new ones every
50 ms."""
PROBES_PER_SECOND = 0.8
"""The least rate: without requests, no answer would ever end the limit."""
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class RateLimit:
    """State of a rate limit; ``per_second`` is infinite without one.

    ``tokens`` are those left at ``refilled_at``. ``named_at`` is when an
    answer last named a limit. ``observed`` is set once the instance has
    answered; until then, the limit is what a peer has suggested.
    """

    per_second: float = math.inf
    tokens: float = 0.0
    refilled_at: float = 0.0
    named_at: float = -math.inf
    observed: bool = False

    @property
    def active(self) -> bool:
        """Whether there is a limit."""
        return self.per_second < math.inf


def observe(
    rate: RateLimit, per_second: float, started_at: float, now: float
) -> None:
    """Apply what an answer of the instance names, infinity for no limit.

    Answers may arrive out of order. A limit is therefore raised or ended only
    by the answer to a request that was started, at ``started_at``, after the
    lower limit was last named.
    """
    per_second = max(per_second, PROBES_PER_SECOND)
    first = not rate.observed
    rate.observed = True
    if first or per_second <= rate.per_second or started_at >= rate.named_at:
        _change(rate, per_second, now)
    if per_second <= rate.per_second < math.inf:
        rate.named_at = now


def suggest(rate: RateLimit, per_second: float, now: float) -> None:
    """Apply what a peer knows of an instance that has not answered here."""
    if not rate.observed:
        per_second = max(per_second, PROBES_PER_SECOND)
        _change(rate, min(per_second, rate.per_second), now)


def has_token(rate: RateLimit, now: float) -> bool:
    """Return whether work may start now."""
    if not rate.active:
        return True
    _refill(rate, now)
    return rate.tokens >= 1.0 - _ROUNDING


def take_token(rate: RateLimit) -> None:
    """Record the start of work."""
    if rate.active:
        rate.tokens -= 1.0


def seconds_until(rate: RateLimit, tokens: int, now: float) -> float:
    """Return the time until there will be so many tokens, 0 if there are."""
    if not rate.active:
        return 0.0
    _refill(rate, now)
    return max(0.0, tokens - rate.tokens) / rate.per_second


def _change(rate: RateLimit, per_second: float, now: float) -> None:
    if per_second == rate.per_second:
        return
    if rate.active:
        _refill(rate, now)
    else:
        rate.tokens = 0.0
    rate.refilled_at = now
    rate.per_second = per_second
    rate.tokens = min(rate.tokens, _capacity(rate))


def _refill(rate: RateLimit, now: float) -> None:
    elapsed = max(0.0, now - rate.refilled_at)
    rate.refilled_at = now
    rate.tokens = min(_capacity(rate), rate.tokens + elapsed * rate.per_second)


def _capacity(rate: RateLimit) -> float:
    if not rate.active:
        return 0.0
    return max(1.0, BURST_SECONDS * rate.per_second)
