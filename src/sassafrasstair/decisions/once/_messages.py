"""Inputs and decisions of the ticket owner: results, arrivals, refusals.

All instants are float seconds of the owner's monotonic clock; durations
are float seconds.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The upstream's complete answer to the one execution of a ticket."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What is kept of an answer to an executed ticket that was too large.

    ``digest`` is the BLAKE2b-256 of the body and ``length`` its size in
    bytes, so that a caller can tell whether it already holds the answer.
    """

    status: int
    digest: bytes
    length: int
    reason: outcomes.Reason = outcomes.Reason.ANSWER_NOT_KEPT


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The execution never started: the ticket is void from now on.

    A void ticket can never be executed.
    """

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have been executed, in part or as a whole."""

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
    """The request started nothing; ``outcome`` is that of its ticket."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Execute the ticket now: no other arrival is ever told to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The ticket is being executed: wait for the end of that execution.

    The caller then calls ``accept_arrival`` again, which returns ``Replay`` or
    ``Refused`` according to the result of the execution.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The ticket was executed: return its stored answer again.

    ``result`` is a ``Summary`` if the answer was too large to keep.
    """

    result: Done | Summary


Arrival = Run | Join | Replay | Refused
"""The decision on a request that arrived with a ticket."""
