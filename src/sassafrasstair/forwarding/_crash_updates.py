"""Exchange of crash records with peers, on the feed's polls and pings.

Each message carries the digest of its sender's records. Where digests differ
all records are sent, with a pause that grows.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _state

PAUSE_SECONDS = 0.5
PAUSE_SECONDS_MAX = 4.0
"""Between two full updates to one peer: two daemons that evicted different
records never come to the same digest."""
PEERS_KEPT = 400
"""Daemons whose digest is remembered; one is followed by 222 at most."""


@dataclasses.dataclass(slots=True)
class PeerDigest:
    """A peer's digest, and when it may get a full update again."""

    digest: int
    next: float = 0.0
    pause: float = PAUSE_SECONDS


def header(daemon: _state.Daemon, host: str) -> tuple[bytes, bytes]:
    """Return the field for a message to a peer."""
    ledger = daemon.crash_ledger
    if not needs_full_update(daemon, host):
        return _crash_wire.HEADER, _crash_wire.encode(ledger.digest)
    now = daemon.clock.monotonic()
    peer = daemon.crash_peers[host]
    peer.next = now + peer.pause
    peer.pause = min(PAUSE_SECONDS_MAX, 2.0 * peer.pause)
    reports = crashes.reports_since(ledger, now)
    return _crash_wire.HEADER, _crash_wire.encode(ledger.digest, reports)


def is_in_sync(daemon: _state.Daemon, host: str) -> bool:
    """Return whether a peer is known to have the same records."""
    peer = daemon.crash_peers.get(host)
    return peer is not None and peer.digest == daemon.crash_ledger.digest


def needs_full_update(daemon: _state.Daemon, host: str) -> bool:
    """Return whether a peer has other records and may get all again."""
    peer = daemon.crash_peers.get(host)
    if peer is None or peer.digest == daemon.crash_ledger.digest:
        return False
    return daemon.clock.monotonic() >= peer.next


def receive(
    daemon: _state.Daemon, host: str, found: abc.Mapping[bytes, bytes]
) -> None:
    """Merge the records of a peer's message."""
    value = found.get(_crash_wire.HEADER_LOWER)
    if value is None:
        return
    try:
        digest, reports = _crash_wire.decode(value)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    _crashes.receive_reports(daemon, reports, host)
    peer = daemon.crash_peers.pop(host, None) or PeerDigest(digest)
    peer.digest = digest
    if digest == daemon.crash_ledger.digest:
        peer.next, peer.pause = 0.0, PAUSE_SECONDS
    daemon.crash_peers[host] = peer
    if len(daemon.crash_peers) > PEERS_KEPT:
        del daemon.crash_peers[next(iter(daemon.crash_peers))]
