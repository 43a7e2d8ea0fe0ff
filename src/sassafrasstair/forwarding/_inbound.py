"""Serves other daemons: forwarded requests, pings, polls and quotas."""

from __future__ import annotations

import functools
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import stops
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _canvasses
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _customers
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _notices
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _shares
from sassafrasstair.forwarding import _wire
from sassafrasstair.forwarding import _work_wire
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _dialect
    from sassafrasstair.forwarding import _state

_UNREAD_REASONS = {
    413: outcomes.Reason.BODY_TOO_LARGE,
    503: outcomes.Reason.BODY_MEMORY,
}
"""Why a request is not read whole, by the status of its refusal."""


def handle(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Serve one request of another daemon."""
    request = exchange.request
    metadata_value = request.headers.get(_wire.METADATA_HEADER_LOWER)
    if metadata_value is not None:
        _serve_forwarded(daemon, exchange, metadata_value)
        return
    path, _, query = request.target.partition(b"?")
    if path == _wire.PING_PATH:
        sender = _crash_updates.receive_request(daemon, exchange)
        _peers.receive_status(daemon, exchange.peer_host, request.headers)
        fields = [
            _state_field(daemon),
            _polls.status_header(daemon),
            *_crash_updates.reply_fields(daemon, exchange, sender),
            *_confirmations.headers(daemon),
            *_wire.last_resort_fields(_takes_last_resorts(daemon)),
        ]
        exchange.respond(200, fields, b"")
    elif path == _feed_wire.VIEW_PATH:
        _polls.serve(daemon, exchange, query)
    elif path in (_quota_wire.TOKENS_PATH, _quota_wire.SHARES_PATH):
        _shares.serve(daemon, exchange, path)
    elif path == _quota_wire.CANVASS_PATH:
        _canvasses.serve(daemon, exchange)
    else:
        exchange.respond(404, [], b"")


def _serve_forwarded(
    daemon: _state.Daemon, exchange: httpio.Exchange, metadata_value: bytes
) -> None:
    request = exchange.request
    try:
        metadata = _wire.decode_metadata(metadata_value)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        exchange.respond(400, refusal_fields(daemon, 400), b"")
        return
    notice = _notices.read_peer_notice(daemon, request.headers)
    _peers.note_peer_content(daemon, exchange.peer_host, metadata.content)
    customer = _customers.identify_forwarded(
        daemon,
        metadata.route,
        request.headers.get(_wire.KEY_DIGEST_HEADER_LOWER),
    )
    if customer is None:
        reason = outcomes.Reason.POLICY_BEHIND
        state = _state_field(daemon, requests.Ending.TURNED_AWAY, reason)
        exchange.respond(503, [state], b"")
        return
    request_id = request.headers.get(daemon.header_keys.request_id, b"")
    dropped = _wire.INTERNAL_HEADERS
    inbound = _records.InboundRequest(
        metadata,
        request.received_at,
        exchange.peer_host,
        request.headers.get(daemon.header_keys.caller, b"").decode("latin-1"),
        request_id,
        request.method,
        request.headers.get(b"host", b""),
        request.target,
        httpio.end_to_end_fields(
            request.fields,
            request.headers,
            _dropped_fields(daemon.header_keys),
        ),
        request.body,
        _wire.decode_trial(request.headers.get(_wire.TRIAL_HEADER_LOWER)),
        customer.name,
        notice.rate_limit,
        shares_by_depth=_wire.decode_repeats(
            request.headers.get(_wire.REPEATS_HEADER_LOWER)
        ),
        last_resort=_wire.decode_last_resort(
            request.headers.get(_wire.LAST_RESORT_HEADER_LOWER)
        ),
    )

    def on_done(result: _records.Result) -> None:
        own_fields = [
            (_wire.STATE_HEADER, _wire.encode_state(result.state)),
            *_work_wire.work_fields(result.work),
        ]
        response = result.response
        if response is None:
            fields = own_fields + _wire.notice_fields(result.notice)
            exchange.respond(503, fields, b"", daemon.upstream_leaving)
            return
        fields = httpio.end_to_end_fields(
            response.fields, response.headers, dropped
        )
        fields += own_fields
        exchange.respond(
            response.status, fields, response.body, daemon.upstream_leaving
        )

    key = _callee.submit(daemon, inbound, on_done)
    exchange.gone = lambda: _callee.cancel(daemon, key)


def refusal_fields(daemon: _state.Daemon, status: int) -> httpio.Fields:
    """Return the fields of the answer to a request that can't be read.

    Without them, its sender could not know that it has not run.
    """
    reason = _UNREAD_REASONS.get(status, outcomes.Reason.MALFORMED)
    return [_state_field(daemon, requests.Ending.TURNED_AWAY, reason)]


@functools.lru_cache(maxsize=4)
def _dropped_fields(keys: _dialect.HeaderNames) -> frozenset[bytes]:
    """Return the header fields that only this daemon may set."""
    return _wire.INTERNAL_HEADERS | {keys.customer, keys.deadline_ms}


def _takes_last_resorts(daemon: _state.Daemon) -> bool:
    stop = daemon.stop
    if stop is None:
        return False
    return stops.takes_last_resorts(stop, daemon.clock.monotonic())


def _state_field(
    daemon: _state.Daemon,
    ending: requests.Ending | None = None,
    reason: outcomes.Reason = outcomes.Reason.NONE,
) -> tuple[bytes, bytes]:
    state = _wire.CalleeState(
        daemon.view.content_revision,
        daemon.upstream_leaving or daemon.upstream_down,
        calls.LoadReport(),
        0.0,
        0.0,
        False,
        ending,
        reason,
    )
    return _wire.STATE_HEADER, _wire.encode_state(state)
