"""What the owner of tickets decides with: results, arrivals, refusals.

All instants are float seconds of the owner's monotonic clock; durations
are float seconds.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The upstream's whole answer to the one execution of a ticket."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What is kept of a done execution whose answer was too large.

    ``digest`` is the BLAKE2b-256 of the body and ``length`` its bytes, so
    that a caller can tell whether it already holds the whole answer.
    """

    status: int
    digest: bytes
    length: int
    reason: outcomes.Reason = outcomes.Reason.ANSWER_NOT_KEPT


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The execution never began: the ticket is void from now on."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The execution may have happened, in part or whole."""

    reason: outcomes.Reason


Result = Done | Summary | NotRun | Unknown
"""How the one execution of a ticket ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """A ticket and the seconds until it expires."""

    ticket: str
    expires_in: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was started by this request; ``outcome`` is the ticket's."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Execute the ticket now: no other arrival ever does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The ticket is being executed: wait for that execution's end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The ticket was executed: this is its answer, or what is kept."""

    result: Done | Summary


Arrival = Run | Join | Replay | Refused
"""What becomes of a request that arrived with a ticket."""
