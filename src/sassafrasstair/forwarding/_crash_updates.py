"""Exchanges crash records with peers in the feed's polls and pings.

Each message carries the digest of its sender's records. If the digests differ,
records that the peer has not been sent go at once, and all records again with
a growing pause between such full updates.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

UPDATE_PAUSE_SECONDS = 0.5
UPDATE_PAUSE_SECONDS_MAX = 4.0
"""First and greatest pause between two full updates to one peer. The pause
grows because two daemons that evicted different records never reach the same
digest."""
PEERS_MAX = 400
"""How many peers' digests are remembered; a daemon has at most 222
followers."""


@dataclasses.dataclass(slots=True)
class PeerDigest:
    """The digest of a peer's records, and when a full update is due.

    The peer has been sent all changes of this daemon's records up to
    ``sent_version``. ``update_pause`` is the time between the next full update
    and the one that follows it.
    """

    digest: int
    sent_version: int = 0
    next_update_at: float = 0.0
    update_pause: float = UPDATE_PAUSE_SECONDS


def header(daemon: _state.Daemon, peer_key: str) -> tuple[bytes, bytes]:
    """Return the header for a peer, with the records that it may lack."""
    ledger = daemon.crash_ledger
    if not needs_update(daemon, peer_key):
        return _crash_wire.HEADER, _crash_wire.encode(ledger.digest)
    now = daemon.clock.monotonic()
    peer = daemon.crash_peers[peer_key]
    since = peer.sent_version
    if now >= peer.next_update_at:
        since = 0
        peer.next_update_at = now + peer.update_pause
        peer.update_pause = min(
            UPDATE_PAUSE_SECONDS_MAX, 2.0 * peer.update_pause
        )
    peer.sent_version = ledger.version
    reports = crashes.reports_since(ledger, now, since)
    return _crash_wire.HEADER, _crash_wire.encode(ledger.digest, reports)


def reply_fields(
    daemon: _state.Daemon, exchange: httpio.Exchange, peer_key: str
) -> httpio.Fields:
    """Return the header for the answer to a ping.

    It is left out for probes, whose senders read no records. Records sent to
    them would count as sent to the peer.
    """
    if _crash_wire.HEADER_LOWER not in exchange.request.headers:
        return []
    return [header(daemon, peer_key)]


def is_in_sync(daemon: _state.Daemon, peer_key: str) -> bool:
    """Return whether a peer is known to have the same records."""
    peer = daemon.crash_peers.get(peer_key)
    return peer is not None and peer.digest == daemon.crash_ledger.digest


def needs_update(daemon: _state.Daemon, peer_key: str) -> bool:
    """Return whether records are to be sent to a peer now."""
    peer = daemon.crash_peers.get(peer_key)
    if peer is None or is_in_sync(daemon, peer_key):
        return False
    if daemon.crash_ledger.version > peer.sent_version:
        return True
    return daemon.clock.monotonic() >= peer.next_update_at


def next_update_at(daemon: _state.Daemon, peer_key: str) -> float:
    """Return when records are to be sent again to a peer that lacks some."""
    peer = daemon.crash_peers.get(peer_key)
    if peer is None or is_in_sync(daemon, peer_key):
        return math.inf
    return peer.next_update_at


def mark_sent(daemon: _state.Daemon, peer_key: str, since: int) -> None:
    """Note that a peer has been sent all changes after a version."""
    peer = daemon.crash_peers.get(peer_key)
    if peer is not None and peer.sent_version >= since:
        peer.sent_version = daemon.crash_ledger.version


def receive(
    daemon: _state.Daemon, host: str, headers: abc.Mapping[bytes, bytes]
) -> None:
    """Merge the records of the answer of a peer that was asked at a host."""
    _receive(daemon, host, host, headers)


def receive_request(daemon: _state.Daemon, exchange: httpio.Exchange) -> str:
    """Merge the records of a poll or ping; return the key of its sender.

    Daemons behind a proxy share an address, so the sender's mark is the key.
    Daemons of the previous release send none with a ping.
    """
    host, headers = exchange.peer_host, exchange.request.headers
    mark = headers.get(_feed_wire.SENDER_HEADER_LOWER)
    peer_key = host if mark is None else mark.decode("latin-1")
    _receive(daemon, peer_key, host, headers)
    return peer_key


def _receive(
    daemon: _state.Daemon,
    peer_key: str,
    host: str,
    headers: abc.Mapping[bytes, bytes],
) -> None:
    value = headers.get(_crash_wire.HEADER_LOWER)
    if value is None:
        return
    try:
        digest, reports = _crash_wire.decode(value)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    _crashes.receive_reports(daemon, reports, host)
    peer = daemon.crash_peers.pop(peer_key, None) or PeerDigest(digest)
    peer.digest = digest
    if digest == daemon.crash_ledger.digest:
        peer.sent_version = daemon.crash_ledger.version
        peer.next_update_at, peer.update_pause = 0.0, UPDATE_PAUSE_SECONDS
    daemon.crash_peers[peer_key] = peer
    if len(daemon.crash_peers) > PEERS_MAX:
        del daemon.crash_peers[next(iter(daemon.crash_peers))]
