"""How long an attempt may wait for a slot at an instance.

A refusal is useful to a caller only if there is still time to act on it. A
client of a route comes back after the Retry-After time, on which it must
still be served inside the route's objective. An upstream's call does not come
back: if it fails, its whole request fails, and the work of all hops before
it was in vain. Such a call waits for as long as it can still be answered, and
keeps enough time for a second instance if the first one refuses it.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.requests import _progress

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies

OBJECTIVE_SHARE = 0.5
"""The greatest share of a route's objective, or of the remaining time if that
is shorter, that a client's request may wait at one instance. The wait must
end before the timeout: at the timeout an entrance can't know that the request
has not run, so it could not tell the client to retry."""
SERVICE_TIMES = 2.0
"""Time is kept for this many usual service times after a wait. Service times
vary, and a call that is cut at its deadline has used a slot in vain."""
UNKNOWN_SERVICE_SHARE = 0.25
"""The share of the remaining time that is kept for the service while its
usual service time is not known."""
FIRST_ATTEMPT_SHARE = 0.5
"""The share of the available time that an upstream's call may wait at the
first of two instances. It waits as long at the second, which is in general no
less busy than the first."""
REQUEST_SHARE = 0.5
"""The share of the time left for a whole request that one of its calls may
wait. The request may have further calls to make, which need time as well."""
OBJECTIVE_SHARE_MIN = 0.125
"""The least share of the objective that a client's request may wait at its
first instance, so that short bursts are absorbed rather than refused."""
DEADLINE_SLACK_SECONDS = 0.001
"""Clients send their deadline in whole milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitInputs:
    """The facts on which the wait of one attempt depends.

    The request came ``elapsed`` seconds ago and has ``remaining`` seconds
    until its deadline. ``internal`` is set if only upstreams call the route,
    and ``last`` if no other instance is asked after this one.
    ``service_seconds`` is the usual service time, 0 if it is not known. The
    request that a call is part of has ``request_remaining`` seconds until its
    deadline, infinity if it is not known.
    """

    route: policies.Route
    elapsed: float
    remaining: float
    internal: bool
    last: bool
    service_seconds: float
    request_remaining: float = math.inf


def max_wait(attempt: WaitInputs) -> float:
    """Return how long the attempt may wait for a slot, in seconds."""
    if attempt.internal:
        wait = _wait_of_call(attempt)
    else:
        wait = _wait_of_client(attempt)
    return max(0.0, wait)


def _wait_of_call(attempt: WaitInputs) -> float:
    """Return the wait of an upstream's call.

    Its caller's deadline counts and not the objective of its route: the
    objective of the whole request is usually several times as long.
    """
    kept = SERVICE_TIMES * attempt.service_seconds
    if attempt.service_seconds <= 0.0:
        kept = UNKNOWN_SERVICE_SHARE * attempt.remaining
    available = min(
        attempt.remaining - kept, REQUEST_SHARE * attempt.request_remaining
    )
    return available if attempt.last else FIRST_ATTEMPT_SHARE * available


def _wait_of_client(attempt: WaitInputs) -> float:
    """Return the wait of a client's request.

    The waits at all instances together leave time for the client's retry, as
    long as the retry can be served inside the objective at all. If it can't,
    an early refusal gains nothing, and the request waits for as long as it
    can itself be served inside the objective.
    """
    objective = attempt.route.objective
    service = attempt.service_seconds
    longest = OBJECTIVE_SHARE * min(objective, attempt.remaining)
    if service <= 0.0:
        return longest
    shortest = max(service, OBJECTIVE_SHARE_MIN * objective)
    for_all_attempts = objective - SERVICE_TIMES * service - _pause(attempt)
    if for_all_attempts <= 0.0:
        for_all_attempts = objective - service
    wait = min(longest, max(for_all_attempts, shortest) - attempt.elapsed)
    if attempt.route.timeout < objective:
        wait = min(wait, attempt.remaining - service)
    return wait


def _pause(attempt: WaitInputs) -> float:
    """Return the least time after which a refused client comes back.

    Clients honour Retry-After up to a share of the time that they have left.
    That time is known only if the client's deadline comes before the route's
    timeout.
    """
    least = _progress.least_retry_after(attempt.route)
    ends_after = attempt.elapsed + attempt.remaining
    if ends_after > attempt.route.timeout - DEADLINE_SLACK_SECONDS:
        return least
    return min(least, _progress.RETRY_AFTER_MAX_SHARE * attempt.remaining)
