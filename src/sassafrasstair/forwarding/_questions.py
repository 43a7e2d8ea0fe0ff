"""Questions of other daemons for what is new, kept until there is news.

Nothing is held for a daemon but its question: what it is told is what
changed after its own content when it is answered, so changes of one entry
coalesce and a daemon that reads slowly costs no memory.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

KEPT_MAX = 300
"""Questions kept at once; a daemon is followed by six, and by all of its
failure domain, 222, if these know no other. More are answered at once."""
ENCODED_KEPT = 16
"""Answers kept encoded: followers mostly ask from the same content."""


@dataclasses.dataclass(eq=False, slots=True)
class Question:
    """One question for what changed after ``after``, kept ``until``."""

    exchange: httpio.Exchange
    after: int
    until: float


def serve(
    daemon: _state.Daemon, exchange: httpio.Exchange, query: bytes
) -> None:
    """Answer a question, or keep it until there is news."""
    field = exchange.request.found.get(_feed_wire.KEY)
    try:
        after, hold = _feed_wire.decode_question(query, field)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    if hold is None:
        _serve_snapshot(daemon, exchange, after)
        return
    question = Question(exchange, after, daemon.clock.monotonic() + hold)
    news = daemon.view.content > after
    if news or not hold or len(daemon.questions) >= KEPT_MAX:
        _answer(daemon, question)
        return
    daemon.questions.append(question)
    exchange.gone = lambda: _forget(daemon, question)


def answer_news(daemon: _state.Daemon) -> None:
    """Answer all for whom there is news."""
    daemon.encoded.clear()
    _answer_if(daemon, lambda one: daemon.view.content > one.after)


def answer_all(daemon: _state.Daemon) -> None:
    """Answer all: what this daemon says of itself has changed."""
    _answer_if(daemon, lambda one: True)


def tick(daemon: _state.Daemon, now: float) -> None:
    """Answer those that have waited for as long as they asked for."""
    if daemon.questions:
        _answer_if(daemon, lambda one: one.until <= now)


def _answer_if(
    daemon: _state.Daemon, wanted: typing.Callable[[Question], bool]
) -> None:
    due = [one for one in daemon.questions if wanted(one)]
    if not due:
        return
    daemon.questions = [one for one in daemon.questions if not wanted(one)]
    for question in due:
        _answer(daemon, question)


def _answer(daemon: _state.Daemon, question: Question) -> None:
    view, now = daemon.view, daemon.clock.monotonic()
    lost = now - view.failing if _has_lost(daemon) else None
    word = feeds.Word(
        view.revision,
        lost,
        max(0.0, view.unsteady_until - now),
        daemon.leaving,
        max(0.0, now - view.answered),
    )
    field = _feed_wire.encode_word(word, view.content)
    body = _encoded(daemon, question.after)
    question.exchange.gone = None
    question.exchange.respond(200, [(_feed_wire.FIELD, field)], body)


def _encoded(daemon: _state.Daemon, after: int) -> bytes:
    if after >= daemon.view.content:
        return b""
    body = daemon.encoded.get(after)
    if body is None:
        body = _feed_wire.encode_delta(views.delta(daemon.view, after))
        if len(daemon.encoded) >= ENCODED_KEPT:
            daemon.encoded.clear()
        daemon.encoded[after] = body
    return body


def _serve_snapshot(
    daemon: _state.Daemon, exchange: httpio.Exchange, after: int
) -> None:
    """Answer a daemon of the version before: all that is known."""
    if after >= daemon.view.content:
        exchange.respond(204, [], b"")
        return
    body = _feed_wire.encode_snapshot(views.snapshot(daemon.view))
    exchange.respond(200, [], body)


def _has_lost(daemon: _state.Daemon) -> bool:
    """Return whether there is no word of the store, by any way."""
    return daemon.view.failing <= daemon.clock.monotonic()


def _forget(daemon: _state.Daemon, question: Question) -> None:
    if question in daemon.questions:
        daemon.questions.remove(question)
