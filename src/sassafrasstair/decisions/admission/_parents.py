"""Whose part an upstream's call is, told by when it expires.

Load pattern: a surge at a service deep in a chain that is asked several times
for one request. Without knowing whose part a call is, its queue serves calls
of requests that matter little before those of important ones, and an
important request with eight calls fails although the service had room for
all of its kind.

An upstream's calls expire with the request that they are part of, or sooner
where their route has a deadline of its own, and the daemon beside it knows
when each request that runs there expires. So a call gets the rank of the
request that expires next after it. Where several expire at nearly the same
time this may be another one: then the call has the rank of a request that
runs there too, which is no worse than one of its own.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

SLACK_SECONDS = 0.0003
"""By so much a call may seem to expire after its request. It mostly seems to
expire 1 ms sooner, as times are handed on in whole milliseconds, rounded
down; of 1,000 calls one in a hundred was read so late that it seemed later."""

Running = tuple[float, float]
"""When a request at the own upstream expires, and its rank."""


def parent_rank(
    expires: float, running: abc.Iterable[Running]
) -> float | None:
    """Return the rank of the request that a call is part of.

    ``expires`` is the instant at which the call does. None if nothing runs.
    """
    after: Running | None = None
    before: Running | None = None
    for request in running:
        if request[0] >= expires - SLACK_SECONDS:
            if after is None or request[0] < after[0]:
                after = request
        elif before is None or request[0] > before[0]:
            before = request
    found = after or before
    return None if found is None else found[1]
