"""Answers polls of other daemons, held open until there are changes.

Only the poll itself is kept. The answer has what changed since the revision
that the poll names, computed when it is sent. So several changes of an entry
coalesce, and a daemon that reads slowly costs no memory.
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

HELD_POLLS_MAX = 300
"""Greatest number of held polls. A daemon has six followers, or all 222
daemons of its failure domain if these know no other. Further polls are
refused, and their senders turn to another daemon."""
ENCODED_ANSWERS_MAX = 16
"""Cached answers; followers mostly poll from the same revision."""


@dataclasses.dataclass(eq=False, slots=True)
class HeldPoll:
    """A poll that is held open until there are changes.

    ``after`` is the revision from which the sender needs changes. ``sender``
    is the key of its digest in ``Daemon.crash_peers``. The poll was read at
    ``received_at`` and is answered at ``held_until`` at the latest.
    """

    exchange: httpio.Exchange
    after: int
    sender: str
    held_until: float
    received_at: float


def serve(
    daemon: _state.Daemon, exchange: httpio.Exchange, query: bytes
) -> None:
    """Answer a poll, or hold it open until there are changes."""
    header = exchange.request.headers.get(_feed_wire.HEADER_LOWER)
    try:
        after, hold_seconds = _feed_wire.decode_poll(query, header)
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
    if hold_seconds is None:
        _serve_snapshot(daemon, exchange, after)
        return
    sender = _crash_updates.receive_request(daemon, exchange)
    must_answer = (
        daemon.view.content_revision > after
        or _crash_updates.needs_update(daemon, sender)
    )
    now = daemon.clock.monotonic()
    held_until = min(
        now + hold_seconds, _crash_updates.next_update_at(daemon, sender)
    )
    poll = HeldPoll(exchange, after, sender, held_until, now)
    if must_answer or not hold_seconds or daemon.leaving:
        _answer(daemon, poll)
        return
    if len(daemon.held_polls) >= HELD_POLLS_MAX:
        exchange.respond(503, [], b"")
        return
    daemon.held_polls.append(poll)
    exchange.gone = lambda: _forget(daemon, poll)


def status_header(daemon: _state.Daemon) -> tuple[bytes, bytes]:
    """Return the header with the revision and age of this daemon's view."""
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


def _doubt_headers(daemon: _state.Daemon) -> httpio.Fields:
    now = daemon.clock.monotonic()
    last_answer_at = daemon.view.store_answered_at
    doubt = feeds.doubt_seconds(daemon.feed, last_answer_at, now)
    return [] if doubt is None else [_feed_wire.doubt_header(doubt)]


def answer_outdated(daemon: _state.Daemon) -> None:
    """Answer the polls of all daemons that lack changes."""
    daemon.encoded_answers.clear()
    _answer_if(daemon, lambda held: daemon.view.content_revision > held.after)


def answer_all(daemon: _state.Daemon) -> None:
    """Answer all polls, as the status of this daemon has changed."""
    _answer_if(daemon, lambda held: True)


def answer_with_crashes(
    daemon: _state.Daemon, header: tuple[bytes, bytes], since: int
) -> None:
    """Answer all polls of daemons that may lack the new crash records.

    The header holds those that changed after the version ``since``.
    """
    due = [
        poll
        for poll in daemon.held_polls
        if not _crash_updates.is_in_sync(daemon, poll.sender)
    ]
    daemon.held_polls = [poll for poll in daemon.held_polls if poll not in due]
    for poll in due:
        _crash_updates.mark_sent(daemon, poll.sender, since)
        _answer(daemon, poll, header)


def tick(daemon: _state.Daemon, now: float) -> None:
    """Answer the polls whose hold time has passed."""
    if daemon.held_polls:
        _answer_if(daemon, lambda held: held.held_until <= now)


def _answer_if(
    daemon: _state.Daemon, is_due: typing.Callable[[HeldPoll], bool]
) -> None:
    due = [held for held in daemon.held_polls if is_due(held)]
    if not due:
        return
    daemon.held_polls = [
        held for held in daemon.held_polls if not is_due(held)
    ]
    for poll in due:
        _answer(daemon, poll)


def _answer(
    daemon: _state.Daemon,
    poll: HeldPoll,
    crash_header: tuple[bytes, bytes] | None = None,
) -> None:
    body = _encode_changes(daemon, poll.after)
    crash_header = crash_header or _crash_updates.header(daemon, poll.sender)
    poll.exchange.gone = None
    held_seconds = daemon.clock.monotonic() - poll.received_at
    confirmed = _confirmations.headers(daemon, held_seconds)
    headers = [status_header(daemon), crash_header, *confirmed]
    headers += _doubt_headers(daemon)
    poll.exchange.respond(200, headers, body)


def _encode_changes(daemon: _state.Daemon, after: int) -> bytes:
    if after >= daemon.view.content_revision:
        return b""
    body = daemon.encoded_answers.get(after)
    if body is None:
        body = _feed_wire.encode_delta(views.delta_since(daemon.view, after))
        if len(daemon.encoded_answers) >= ENCODED_ANSWERS_MAX:
            daemon.encoded_answers.clear()
        daemon.encoded_answers[after] = body
    return body


def _serve_snapshot(
    daemon: _state.Daemon, exchange: httpio.Exchange, after: int
) -> None:
    """Answer a daemon of the previous release with the whole view."""
    if after >= daemon.view.content_revision:
        exchange.respond(204, [], b"")
        return
    body = _feed_wire.encode_snapshot(views.snapshot(daemon.view))
    exchange.respond(200, [], body)


def _forget(daemon: _state.Daemon, poll: HeldPoll) -> None:
    if poll in daemon.held_polls:
        daemon.held_polls.remove(poll)
