"""Which pipelined requests run, and in which order they are answered.

Requests start and are answered in the order in which they were received
(RFC 9112, 9.3.2), so the started ones are always the first of ``entries``.
Idempotent requests run side by side. Any other request runs alone: it starts
once all requests before it are answered, and none starts before its answer.

A connection that is to close reads no further, and closes with the answer
behind which no request waits. So all that was read is answered, and behind
that answer nothing has run: the client may send it again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc


class Phase(enum.Enum):
    """How far a request is.

    ``REMOVED``: its answer is written, or it never gets one.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    REMOVED = "removed"


class Fate(enum.Enum):
    """What became of a request that was sent before earlier answers.

    ``BESIDE``: it was started beside the requests before it. ``WAITED``: it
    was started after their answers. ``DROPPED``: it was not started, since
    the client left.
    """

    BESIDE = "beside"
    WAITED = "waited"
    DROPPED = "dropped"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on one connection.

    ``started_max`` bounds the requests that are started and whose answers
    are not written, and ``waiting_max`` those read but not started. No
    request is started beside others while more than ``held_bytes_max`` bytes
    of answers wait for their turn.
    """

    started_max: int
    waiting_max: int
    held_bytes_max: int


@dataclasses.dataclass(eq=False, slots=True)
class Entry:
    """A request, from its arrival until its answer is written.

    ``pipelined`` is set if it arrived behind an unanswered request, and
    ``idempotent`` once it is known. ``held_bytes`` is the size of its answer
    if the answer waits for its turn. ``closes`` is set if its answer closes
    the connection.
    """

    keep_alive: bool = True
    phase: Phase = Phase.WAITING
    pipelined: bool = False
    idempotent: bool | None = None
    held_bytes: int = 0
    closes: bool = False


EntryT = typing.TypeVar("EntryT", bound=Entry)


@dataclasses.dataclass(slots=True)
class Pipeline(typing.Generic[EntryT]):
    """The requests of one connection whose answers are not written.

    The first ``started`` of the ``entries`` were started. ``unread`` is set
    while the client does not read its answers, ``closing`` once the
    connection is to close as soon as possible, and ``ended`` once no further
    request is taken.
    """

    limits: Limits
    entries: collections.deque[EntryT] = dataclasses.field(
        default_factory=collections.deque
    )
    started: int = 0
    held_bytes: int = 0
    unread: bool = False
    closing: bool = False
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Removed(typing.Generic[EntryT]):
    """The requests that were removed without an answer, by their phase."""

    running: tuple[EntryT, ...]
    waiting: tuple[EntryT, ...]
    answered: tuple[EntryT, ...]


def new_pipeline(limits: Limits) -> Pipeline[EntryT]:
    """Return the state of a new connection."""
    return Pipeline(limits)


def add(pipeline: Pipeline[EntryT], entry: EntryT) -> bool:
    """Add a request that was read completely.

    Returns False if it is ignored: a request before it has no ``keep_alive``,
    so that the answer to that one closes the connection.
    """
    if pipeline.ended:
        return False
    entry.pipelined = bool(pipeline.entries)
    pipeline.entries.append(entry)
    pipeline.ended = not entry.keep_alive
    return True


def add_refusal(pipeline: Pipeline[EntryT], entry: EntryT) -> bool:
    """Add a refusal of what could not be read as a request.

    It is written in its turn and closes the connection. Returns False if it
    is ignored, as in ``add``.
    """
    entry.phase = Phase.ANSWERED
    entry.keep_alive = False
    return add(pipeline, entry)


def start_next(
    pipeline: Pipeline[EntryT], is_idempotent: abc.Callable[[EntryT], bool]
) -> EntryT | None:
    """Start the first waiting request if it may start now, and return it.

    ``is_idempotent`` is called only if another request is before it.
    """
    position = pipeline.started
    if position >= len(pipeline.entries) or pipeline.unread:
        return None
    entry = pipeline.entries[position]
    if entry.phase is not Phase.WAITING:
        return None
    if position and not _may_run_beside(pipeline, entry, is_idempotent):
        return None
    entry.phase = Phase.RUNNING
    pipeline.started += 1
    return entry


def answer(pipeline: Pipeline[EntryT], entry: EntryT, size: int) -> bool:
    """Record that a running request has an answer of ``size`` bytes.

    Returns False if the request is not running, so that the answer is to be
    dropped.
    """
    if entry.phase is not Phase.RUNNING:
        return False
    entry.phase = Phase.ANSWERED
    if entry is not pipeline.entries[0]:
        entry.held_bytes = size
        pipeline.held_bytes += size
    return True


def pop_answered(pipeline: Pipeline[EntryT]) -> EntryT | None:
    """Remove and return the first request if its answer may be written.

    Its ``closes`` tells whether the answer closes the connection. No request
    is left then.
    """
    entries = pipeline.entries
    if not entries or entries[0].phase is not Phase.ANSWERED:
        return None
    entry = entries.popleft()
    entry.phase = Phase.REMOVED
    pipeline.held_bytes -= entry.held_bytes
    if pipeline.started:
        pipeline.started -= 1
    entry.closes = not entry.keep_alive or (pipeline.closing and not entries)
    pipeline.ended = pipeline.ended or entry.closes
    return entry


def close_soon(pipeline: Pipeline[EntryT]) -> None:
    """Close with the answer behind which no request waits."""
    pipeline.closing = True


def clear(pipeline: Pipeline[EntryT]) -> Removed[EntryT]:
    """Remove all requests, since the connection is closed."""
    by_phase: dict[Phase, list[EntryT]] = {phase: [] for phase in Phase}
    for entry in pipeline.entries:
        by_phase[entry.phase].append(entry)
        entry.phase = Phase.REMOVED
    pipeline.entries.clear()
    pipeline.started = 0
    pipeline.held_bytes = 0
    pipeline.ended = True
    return Removed(
        tuple(by_phase[Phase.RUNNING]),
        tuple(by_phase[Phase.WAITING]),
        tuple(by_phase[Phase.ANSWERED]),
    )


def is_full(pipeline: Pipeline[EntryT]) -> bool:
    """Return whether so many requests wait that no more is parsed.

    Nothing is taken from a connection that has ended, so there is no reason
    to wait: what follows is read and dropped.
    """
    waiting = len(pipeline.entries) - pipeline.started
    return waiting >= pipeline.limits.waiting_max and not pipeline.ended


def should_pause_reading(pipeline: Pipeline[EntryT]) -> bool:
    """Return whether nothing more is read for now.

    A connection that is to close would not, if its client sent on.
    """
    if pipeline.closing and pipeline.entries:
        return not pipeline.ended
    return is_full(pipeline)


def _may_run_beside(
    pipeline: Pipeline[EntryT],
    entry: EntryT,
    is_idempotent: abc.Callable[[EntryT], bool],
) -> bool:
    """Return whether a request may start beside those before it.

    The answer for a waiting request is not kept, since the policy may change
    before it starts.
    """
    limits = pipeline.limits
    if (
        pipeline.started >= limits.started_max
        or pipeline.held_bytes > limits.held_bytes_max
    ):
        return False
    previous = pipeline.entries[pipeline.started - 1]
    if previous.idempotent is None:
        previous.idempotent = is_idempotent(previous)
    if not previous.idempotent or not is_idempotent(entry):
        return False
    entry.idempotent = True
    return True
