"""What two daemons tell each other with a request and its answer.

Both travel as HTTP/1.1 requests between daemons with one field of our own
each: positional, since it is written and read for each call.
"""

from __future__ import annotations

import dataclasses
import math

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests
from sassafrasstair import httpio
from sassafrasstair import outcomes

METADATA_HEADER = b"Sassafras-Ask"
STATE_HEADER = b"Sassafras-State"
METADATA_HEADER_LOWER = METADATA_HEADER.lower()
STATE_HEADER_LOWER = STATE_HEADER.lower()
TRIAL_HEADER = b"Sassafras-Trial"
"""After how many strikes a request is tried that was blocked."""
TRIAL_HEADER_LOWER = TRIAL_HEADER.lower()
KEY_DIGEST_HEADER = b"Sassafras-Key"
"""The digest of a request's API key, in hexadecimal."""
KEY_DIGEST_HEADER_LOWER = KEY_DIGEST_HEADER.lower()
INTERNAL_HEADERS = httpio.non_forwarded_names(
    {
        METADATA_HEADER_LOWER,
        STATE_HEADER_LOWER,
        TRIAL_HEADER_LOWER,
        KEY_DIGEST_HEADER_LOWER,
    }
)
PING_PATH = b"/-sassafras/ping"

_ANSWERED = "answered"


class WireError(Exception):
    """A field between daemons that is not in their format."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the entrance tells: see ``load.Work`` for rank and wait.

    ``content`` is that of the sender's view; ``remaining`` and ``wait``
    are seconds from now.
    """

    content: int
    instance: str
    route: str
    rank: float
    remaining: float
    max_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class CalleeState:
    """What a callee's daemon tells with each answer.

    ``ahead`` is what a request of the asked rank must yield to at the
    instance, as a share of its limit, and ``below`` the load of the busiest
    service further down the chain, as such requests meet it; ``inner`` says
    that only upstreams call the route. ``ending`` is None when the answer is
    the instance's own.
    """

    content: int
    leaving: bool
    load: calls.LoadReport
    load_at_rank: float
    downstream_load: float
    internal_route: bool
    ending: requests.Ending | None
    reason: outcomes.Reason


def encode_metadata(ask: RequestMetadata) -> bytes:
    """Return the field's value."""
    return b"%d %s %s %.4f %.4f %.4f" % (
        ask.content,
        ask.instance.encode(),
        ask.route.encode(),
        ask.rank,
        max(0.0, ask.remaining),
        max(0.0, ask.max_wait),
    )


def decode_metadata(value: bytes) -> RequestMetadata:
    """Return what the field says; raises ``WireError``."""
    try:
        content, instance, route, rank, remaining, wait = value.split(b" ")
        return RequestMetadata(
            int(content),
            instance.decode(),
            route.decode(),
            _amount(rank),
            _amount(remaining),
            _amount(wait),
        )
    except ValueError as error:
        raise WireError(f"ask: {error}") from error


def decode_trial(value: bytes | None) -> int:
    """Return the strikes that the field tells, 0 without it."""
    return int(value) if value is not None and value.isdigit() else 0


def encode_state(state: CalleeState) -> bytes:
    """Return the field's value."""
    ending = _ANSWERED if state.ending is None else state.ending.value
    load = state.load
    return b"%d %d %.3f %.4f %.1f %.4f %.3f %d %s %s" % (
        state.content,
        state.leaving,
        load.busy,
        state.load_at_rank,
        load.limit,
        load.service_seconds,
        state.downstream_load,
        state.internal_route,
        ending.encode(),
        state.reason.value.encode(),
    )


def decode_state(value: bytes) -> CalleeState:
    """Return what the field says; raises ``WireError``."""
    try:
        parts = value.decode().split(" ")
        content, leaving, busy, ahead, limit, service = parts[:6]
        below, inner, ending, reason = parts[6:]
        return CalleeState(
            int(content),
            leaving == "1",
            calls.LoadReport(
                _amount(busy), 0.0, _amount(limit), _amount(service)
            ),
            _amount(ahead),
            _amount(below),
            inner == "1",
            None if ending == _ANSWERED else requests.Ending(ending),
            outcomes.Reason(reason),
        )
    except ValueError as error:
        raise WireError(f"state: {error}") from error


def _amount(value: bytes | str) -> float:
    """Return a number that can be counted with; raises ``ValueError``.

    An infinite or negative load would spoil averages for good.
    """
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"not an amount: {value!r}")
    return amount
