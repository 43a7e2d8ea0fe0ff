"""Polls of other daemons for what is new, kept until there is news.

Nothing is held for a daemon but its poll: what it is told is what
changed after its own content when it is answered, so changes of one entry
coalesce and a daemon that reads slowly costs no memory.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

KEPT_MAX = 300
"""Polls kept at once; a daemon is followed by six, and by all of its
failure domain, 222, if these know no other. More are refused,
and whoever is refused turns to another daemon."""
ENCODED_KEPT = 16
"""Answers kept encoded: followers mostly ask from the same content."""


@dataclasses.dataclass(eq=False, slots=True)
class HeldPoll:
    """One poll for what changed after ``after``, kept ``until``.

    ``came`` is when it was read.
    """

    exchange: httpio.Exchange
    after: int
    held_until: float
    received_at: float


def serve(
    daemon: _state.Daemon, exchange: httpio.Exchange, query: bytes
) -> None:
    """Answer a poll, or keep it until there is news."""
    field = exchange.request.headers.get(_feed_wire.HEADER_LOWER)
    try:
        after, hold = _feed_wire.decode_poll(query, field)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    if (
        exchange.request.headers.get(_feed_wire.SENDER_HEADER_LOWER)
        == daemon.process_mark
    ):
        exchange.respond(_feed_wire.LOOP_STATUS, [], b"")
        return
    if hold is None:
        _serve_snapshot(daemon, exchange, after)
        return
    peer = exchange.peer_host
    _crash_updates.receive(daemon, peer, exchange.request.headers)
    news = (
        daemon.view.content_revision > after
        or _crash_updates.needs_full_update(daemon, peer)
    )
    now = daemon.clock.monotonic()
    poll = HeldPoll(exchange, after, now + hold, now)
    if news or not hold or daemon.leaving:
        _answer(daemon, poll)
        return
    if len(daemon.held_polls) >= KEPT_MAX:
        exchange.respond(503, [], b"")
        return
    daemon.held_polls.append(poll)
    exchange.gone = lambda: _forget(daemon, poll)


def status_header(daemon: _state.Daemon) -> tuple[bytes, bytes]:
    """Return the field that tells how far and how fresh the own view is."""
    view, now = daemon.view, daemon.clock.monotonic()
    status = feeds.PeerStatus(
        view.revision,
        views.lost_store_seconds(view, now),
        max(0.0, view.recovering_until - now),
        daemon.leaving,
        max(0.0, now - view.store_answered_at),
    )
    return _feed_wire.HEADER, _feed_wire.encode_status(
        status, view.content_revision
    )


def answer_outdated(daemon: _state.Daemon) -> None:
    """Answer all for whom there is news."""
    daemon.encoded_answers.clear()
    _answer_if(daemon, lambda one: daemon.view.content_revision > one.after)


def answer_all(daemon: _state.Daemon) -> None:
    """Answer all: what this daemon says of itself has changed."""
    _answer_if(daemon, lambda one: True)


def answer_with_crashes(
    daemon: _state.Daemon, told: tuple[bytes, bytes]
) -> None:
    """Answer with what is new of crashes all who may not know it."""
    due = [
        poll
        for poll in daemon.held_polls
        if not _crash_updates.is_in_sync(daemon, poll.exchange.peer_host)
    ]
    daemon.held_polls = [poll for poll in daemon.held_polls if poll not in due]
    for poll in due:
        _answer(daemon, poll, told)


def tick(daemon: _state.Daemon, now: float) -> None:
    """Answer those that have waited for as long as they asked for."""
    if daemon.held_polls:
        _answer_if(daemon, lambda one: one.held_until <= now)


def _answer_if(
    daemon: _state.Daemon, wanted: typing.Callable[[HeldPoll], bool]
) -> None:
    due = [one for one in daemon.held_polls if wanted(one)]
    if not due:
        return
    daemon.held_polls = [one for one in daemon.held_polls if not wanted(one)]
    for poll in due:
        _answer(daemon, poll)


def _answer(
    daemon: _state.Daemon,
    poll: HeldPoll,
    told: tuple[bytes, bytes] | None = None,
) -> None:
    body = _encoded(daemon, poll.after)
    told = told or _crash_updates.header(daemon, poll.exchange.peer_host)
    poll.exchange.gone = None
    held = daemon.clock.monotonic() - poll.received_at
    confirmed = _confirmations.headers(daemon, held)
    fields = [status_header(daemon), told, *confirmed]
    poll.exchange.respond(200, fields, body)


def _encoded(daemon: _state.Daemon, after: int) -> bytes:
    if after >= daemon.view.content_revision:
        return b""
    body = daemon.encoded_answers.get(after)
    if body is None:
        body = _feed_wire.encode_delta(views.delta_since(daemon.view, after))
        if len(daemon.encoded_answers) >= ENCODED_KEPT:
            daemon.encoded_answers.clear()
        daemon.encoded_answers[after] = body
    return body


def _serve_snapshot(
    daemon: _state.Daemon, exchange: httpio.Exchange, after: int
) -> None:
    """Answer a daemon of the version before: all that is known."""
    if after >= daemon.view.content_revision:
        exchange.respond(204, [], b"")
        return
    body = _feed_wire.encode_snapshot(views.snapshot(daemon.view))
    exchange.respond(200, [], body)


def _forget(daemon: _state.Daemon, poll: HeldPoll) -> None:
    if poll in daemon.held_polls:
        daemon.held_polls.remove(poll)
