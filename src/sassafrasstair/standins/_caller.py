"""One caller's request: tickets, attempts, retries, one final result."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import time
import typing
import zlib

import msgspec

from sassafrasstair.standins import _answers
from sassafrasstair.standins import _http

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.standins import _plan

PATIENCE_SECONDS = 1.0
"""A caller waits this much longer than the deadline that it asked for."""

OK = 200
CREATED = 201
TICKET_SECONDS = 2.0

SOON_SECONDS = (0.05, 0.15)
"""A caller that is told no time comes back within these bounds."""

FATAL_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422})
"""The request itself is bad: a repeat would not help."""


class Final(enum.Enum):
    """What a caller knows at the end."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """How one attempt ended; ``retry_after`` in seconds, -1 if not told."""

    final: Final
    reason: str = ""
    retry_after: float = -1.0
    fatal: bool = False
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The end of a request; ``seconds`` is since its arrival.

    ``last_seconds`` is the length of the last attempt alone.
    """

    want: _plan.Want
    final: Final
    attempts: int
    seconds: float
    last_seconds: float
    reasons: tuple[str, ...]


class _Refusal(msgspec.Struct, frozen=True):
    outcome: str = "unknown"
    reason: str = ""
    retry_after_ms: int = -1


class _Ticket(msgspec.Struct, frozen=True):
    ticket: str


_REFUSAL = msgspec.json.Decoder(_Refusal)
_TICKET = msgspec.json.Decoder(_Ticket)


@dataclasses.dataclass(slots=True)
class Session:
    """What all callers of a run share.

    ``doors`` are base URLs of the daemons; in direct mode ``direct`` maps
    each service to those of its upstreams and there are no tickets.
    No attempt lasts past ``give_up`` on the monotonic clock.
    """

    http: _http.Http
    doors: tuple[str, ...]
    direct: dict[str, tuple[str, ...]]
    repeats: int
    hasty_share: float
    give_up: float
    rng: random.Random


@dataclasses.dataclass(slots=True)
class _Held:
    """The ticket that a caller holds, and how often it was used."""

    ticket: str = ""
    uses: int = 0


async def serve(session: Session, want: _plan.Want) -> Result:
    """Run one request to its end."""
    began = time.monotonic()
    known = Final.NOT_RUN
    held = _Held()
    reasons: list[str] = []
    repeat = 0
    while True:
        attempt = await _attempt(session, want, held, repeat)
        reasons.append(attempt.reason)
        known = _learn(known, attempt, held)
        ended = known in (Final.WHOLE, Final.WRONG) or attempt.fatal
        pause = _pause(session, want, attempt)
        too_late = time.monotonic() + pause >= session.give_up
        if ended or too_late or repeat >= session.repeats:
            break
        await asyncio.sleep(pause)
        repeat += 1
    return Result(
        want,
        known,
        repeat + 1,
        time.monotonic() - began,
        attempt.seconds,
        tuple(reasons),
    )


def _learn(known: Final, attempt: Attempt, held: _Held) -> Final:
    """Return what is known of the whole request after an attempt.

    A ticket whose use was ``not run`` is void, so that a new one is taken.
    Work that may have run keeps its ticket: a new one could run it twice.
    """
    if attempt.final in (Final.WHOLE, Final.WRONG):
        return attempt.final
    if Final.UNKNOWN in (known, attempt.final):
        return Final.UNKNOWN
    held.ticket = ""
    held.uses = 0
    return Final.NOT_RUN


async def _attempt(
    session: Session, want: _plan.Want, held: _Held, repeat: int
) -> Attempt:
    """Make one attempt, with a ticket first where the class needs one.

    The repeat that is told counts uses of the ticket, where there is one.
    """
    if not want.once or session.direct:
        return await _call(session, want, "", repeat, repeat)
    if not held.ticket:
        taken = await _take_ticket(session, want, repeat)
        if isinstance(taken, Attempt):
            return taken
        held.ticket = taken
    uses = held.uses
    held.uses += 1
    return await _call(session, want, held.ticket, repeat, uses)


async def _take_ticket(
    session: Session, want: _plan.Want, repeat: int
) -> str | Attempt:
    door = _door(session, want, repeat)
    path = f"/v1/ticket/{want.service}"
    headers = _who(want, repeat)
    try:
        answer = await session.http.post(
            door + path, headers, b"", TICKET_SECONDS
        )
    except (_http.NotSent, _http.Lost) as error:
        # Without a ticket nothing can have run.
        return Attempt(Final.NOT_RUN, f"no_ticket: {error}")
    if answer.status == CREATED:
        return _TICKET.decode(answer.body).ticket
    refused = _refused(answer, 0.0)
    return dataclasses.replace(refused, final=Final.NOT_RUN)


async def _call(
    session: Session, want: _plan.Want, ticket: str, repeat: int, told: int
) -> Attempt:
    door = _door(session, want, repeat)
    path = "/work" if session.direct else f"/v1/call/{want.service}/work"
    headers = _who(want, told)
    headers["Sassafras-Timeout-Ms"] = str(round(want.deadline * 1000))
    if ticket:
        headers["Sassafras-Ticket"] = ticket
    body = _answers.new_body(want.nonce, want.body_bytes)
    began = time.monotonic()
    patience = min(want.deadline + PATIENCE_SECONDS, session.give_up - began)
    try:
        answer = await session.http.post(
            door + path, headers, body, max(0.0, patience)
        )
    except _http.NotSent:
        return Attempt(Final.NOT_RUN, "not_sent")
    except _http.Lost as error:
        return Attempt(Final.UNKNOWN, f"lost: {error}")
    seconds = time.monotonic() - began
    if answer.status != OK:
        return _refused(answer, seconds)
    done = _answers.decode(answer.body, want.nonce, body)
    if done is None or done.service != want.service:
        return Attempt(Final.WRONG, "wrong_answer", seconds=seconds)
    return Attempt(Final.WHOLE, seconds=seconds)


def _who(want: _plan.Want, repeat: int) -> dict[str, str]:
    return {
        "Sassafras-Class": want.request_class,
        "Sassafras-Tenant": want.tenant,
        "Sassafras-Caller": want.caller,
        "Sassafras-Repeat": str(repeat),
    }


def _door(session: Session, want: _plan.Want, repeat: int) -> str:
    """Return the base URL for an attempt: another daemon at each repeat."""
    doors = session.direct.get(want.service, session.doors)
    home = zlib.crc32(want.caller.encode())
    return doors[(home + repeat) % len(doors)]


def _refused(answer: _http.Answer, seconds: float) -> Attempt:
    try:
        told = _REFUSAL.decode(answer.body)
    except msgspec.DecodeError:
        told = _Refusal()
    outcome = answer.headers.get("sassafras-outcome", told.outcome)
    not_run = outcome in ("not run", "not-run")
    return Attempt(
        Final.NOT_RUN if not_run else Final.UNKNOWN,
        told.reason or str(answer.status),
        _retry_after(answer, told),
        answer.status in FATAL_STATUSES,
        seconds,
    )


def _retry_after(answer: _http.Answer, told: _Refusal) -> float:
    if told.retry_after_ms > 0:
        return told.retry_after_ms / 1000
    header = answer.headers.get("retry-after", "")
    return float(header) if header.isdigit() else -1.0


def _pause(session: Session, want: _plan.Want, attempt: Attempt) -> float:
    hasty = zlib.adler32(want.caller.encode()) % 1000
    if attempt.retry_after > 0 and hasty >= session.hasty_share * 1000:
        return attempt.retry_after
    return session.rng.uniform(*SOON_SECONDS)
