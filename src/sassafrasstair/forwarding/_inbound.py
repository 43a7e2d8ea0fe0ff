"""Requests from other daemons: orders for the upstream, pings, views."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import calls
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state


def handle(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Serve one request of a daemon."""
    request = exchange.request
    asked = request.found.get(_wire.ASK_KEY)
    if asked is not None:
        _serve_order(daemon, exchange, asked)
        return
    path, _, query = request.target.partition(b"?")
    if path == _wire.PING_PATH:
        peer = exchange.peer
        _crash_updates.receive(daemon, peer, request.found)
        told = [
            _own_state(daemon),
            _polls.own_status(daemon),
            _crash_updates.field(daemon, peer),
        ]
        exchange.respond(200, told, b"")
    elif path == _feed_wire.VIEW_PATH:
        _polls.serve(daemon, exchange, query)
    else:
        exchange.respond(404, [], b"")


def _serve_order(
    daemon: _state.Daemon, exchange: httpio.Exchange, asked: bytes
) -> None:
    request = exchange.request
    try:
        ask = _wire.decode_ask(asked)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, [], b"")
        return
    _peers.heard(daemon, exchange.peer, ask.content)
    request_id = request.found.get(daemon.keys.request_id, b"")
    dropped = _wire.OWN_FIELDS
    order = _records.Order(
        ask,
        request.found.get(daemon.keys.caller, b"").decode("latin-1"),
        request_id,
        request.method,
        request.found.get(b"host", b""),
        request.target,
        httpio.end_to_end(request.fields, request.found, dropped),
        request.body,
        _wire.decode_trial(request.found.get(_wire.TRIAL_KEY)),
    )

    def done(result: _records.Result) -> None:
        state = (_wire.STATE, _wire.encode_state(result.state))
        response = result.response
        if response is None:
            exchange.respond(503, [state], b"", daemon.upstream_leaving)
            return
        fields = httpio.end_to_end(response.fields, response.found, dropped)
        fields.append(state)
        exchange.respond(
            response.status, fields, response.body, daemon.upstream_leaving
        )

    key = _callee.offer(daemon, order, done)
    exchange.gone = lambda: _callee.cancel(daemon, key)


def _own_state(daemon: _state.Daemon) -> tuple[bytes, bytes]:
    state = _wire.State(
        daemon.view.content,
        daemon.upstream_leaving or daemon.upstream_down,
        calls.Load(),
        0.0,
        0.0,
        False,
        None,
        outcomes.Reason.NONE,
    )
    return _wire.STATE, _wire.encode_state(state)
