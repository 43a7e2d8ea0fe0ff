"""Fetches from peers: new bundles, and members that differ (anti-entropy)."""

from __future__ import annotations

import typing
import zlib

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _versions

if typing.TYPE_CHECKING:
    from collections import abc

# Times are in seconds.
FETCH_DEADLINE = 2.0
FETCH_BLOCK_TIME = 30.0
MAX_BLOCKED_FETCHES = 16
SYNC_INTERVAL = 5.0
SYNC_BYTES_PER_SECOND = 1_000.0
MAX_MEMBERS_BYTES = 4_000_000


def fetch_missing(
    node: _states.Node,
    bundle_ids: abc.Iterable[_messages.BundleId],
    address: str,
    now: float,
) -> list[_effects.Effect]:
    """Fetch from ``address`` those of ``bundle_ids`` that are new here."""
    effects: list[_effects.Effect] = []
    for bundle_id in _versions.missing_ids(node, bundle_ids):
        fetch = node.fetches.get(bundle_id)
        if fetch is not None:
            if address not in fetch.other_addresses:
                fetch.other_addresses.append(address)
            continue
        if now < node.fetch_blocked_until.get(bundle_id, now):
            continue
        node.fetches[bundle_id] = _states.PendingFetch(
            address, now + FETCH_DEADLINE
        )
        effects.append(_fetch(bundle_id, address))
    return effects


def process_bundle_reply(
    node: _states.Node,
    reply: _messages.BundleReply,
    address: str,
    now: float,
) -> list[_effects.Effect]:
    """Store a fetched bundle, or try the next peer that has it."""
    envelope = (
        _versions.decompress(reply.compressed_envelope)
        if reply.compressed_envelope
        else None
    )
    if envelope is None:
        return try_next_peer(node, reply.bundle_id, now)
    node.fetches.pop(reply.bundle_id, None)
    effects = _versions.add_envelope(node, envelope, address, now)
    if reply.bundle_id not in node.bundles_by_id:
        _block_fetch(node, reply.bundle_id, now)
    return effects


def try_next_peer(
    node: _states.Node, bundle_id: _messages.BundleId, now: float
) -> list[_effects.Effect]:
    """Ask the next peer for ``bundle_id``; give up if there is none."""
    fetch = node.fetches.pop(bundle_id, None)
    if fetch is None or not fetch.other_addresses:
        return []
    address = fetch.other_addresses.pop(0)
    node.fetches[bundle_id] = _states.PendingFetch(
        address, now + FETCH_DEADLINE, fetch.other_addresses
    )
    return [_fetch(bundle_id, address)]


def process_lost_peer(
    node: _states.Node, address: str, now: float
) -> list[_effects.Effect]:
    """Move the fetches from ``address`` to other peers."""
    effects: list[_effects.Effect] = []
    for bundle_id, fetch in list(node.fetches.items()):
        if fetch.address == address:
            effects += try_next_peer(node, bundle_id, now)
    return effects


def retry_overdue(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Move the fetches that missed their deadline to other peers."""
    effects: list[_effects.Effect] = []
    for bundle_id, fetch in list(node.fetches.items()):
        if now > fetch.deadline:
            effects += try_next_peer(node, bundle_id, now)
    return effects


def reply_with_bundle(
    node: _states.Node, request: _messages.BundleFetch
) -> _messages.BundleReply:
    """Return the requested bundle, empty if it is not stored."""
    stored = node.bundles_by_id.get(request.bundle_id)
    body = b"" if stored is None else stored.compressed_envelope
    return _messages.BundleReply(request.bundle_id, body)


def sync_members(
    node: _states.Node, peer: _messages.Summary, now: float
) -> list[_effects.Effect]:
    """Fetch the differing members if the tables stay different.

    A difference may be due to rumours that are still on their way. The fetch
    therefore waits until no rumour is queued here and the next sync is due;
    a daemon that has no VM list yet waits only while a sync is pending.
    Equal checksums mean that the peer's VM list has taken effect here too.
    """
    lacks_vm_list = node.vm_list_index == 0 and peer.vm_list_index > 0
    if peer.members_checksum == _members.checksum(node):
        node.vm_list_index = max(node.vm_list_index, peer.vm_list_index)
        return []
    if now < node.next_sync_at and not (
        lacks_vm_list and not node.sync_address
    ):
        return []
    if node.transmissions_left and not lacks_vm_list:
        return []
    node.next_sync_at = now + SYNC_INTERVAL
    node.sync_address = peer.address
    request = _messages.MembersFetch(tuple(node.bucket_checksums))
    return [_effects.Exchange(peer.address, request)]


def reply_with_members(
    node: _states.Node, request: _messages.MembersFetch
) -> _messages.MembersReply:
    """Return all members in the buckets whose checksum differs."""
    rumours = _members.differing_rumours(node, request.bucket_checksums)
    body = zlib.compress(_messages.encode_rumours(rumours), 6)
    return _messages.MembersReply(body, node.vm_list_index)


def decode_members_reply(
    node: _states.Node, reply: _messages.MembersReply, now: float
) -> tuple[_messages.Rumour, ...]:
    """Return the rumours in ``reply``; raise ``BadMessage`` if invalid."""
    node.sync_address = ""
    # The traffic budget leaves one kilobyte per second for this. After a
    # large table, the next fetch waits until its bytes fit the budget.
    wait = len(reply.compressed_rumours) / SYNC_BYTES_PER_SECOND
    node.next_sync_at = now + max(SYNC_INTERVAL, wait)
    node.vm_list_index = max(node.vm_list_index, reply.vm_list_index)
    try:
        data = zlib.decompressobj().decompress(
            reply.compressed_rumours, MAX_MEMBERS_BYTES
        )
    except zlib.error as error:
        raise _messages.BadMessage(str(error)) from error
    return _messages.decode_rumours(data)


def _fetch(bundle_id: _messages.BundleId, address: str) -> _effects.Effect:
    return _effects.Exchange(address, _messages.BundleFetch(bundle_id))


def _block_fetch(
    node: _states.Node, bundle_id: _messages.BundleId, now: float
) -> None:
    # Otherwise a bundle that a peer lists in its summary and this daemon
    # refuses would be fetched again at each exchange.
    while len(node.fetch_blocked_until) >= MAX_BLOCKED_FETCHES:
        del node.fetch_blocked_until[next(iter(node.fetch_blocked_until))]
    node.fetch_blocked_until[bundle_id] = now + FETCH_BLOCK_TIME
