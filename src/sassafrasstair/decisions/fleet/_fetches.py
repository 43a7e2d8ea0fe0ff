"""Fetching from peers: bundles that are news, members that differ."""

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

FETCH_DEADLINE = 2.0
SHUNNED_FOR = 30.0
MOST_SHUNNED = 16
SYNC_EVERY = 5.0
SYNC_BYTES_PER_SECOND = 1_000.0
MOST_MEMBERS_BYTES = 4_000_000


def want(
    node: _states.Node,
    ids: abc.Iterable[_messages.BundleId],
    address: str,
    now: float,
) -> list[_effects.Effect]:
    """Fetch from ``address`` those of ``ids`` that are news here."""
    effects: list[_effects.Effect] = []
    for one in _versions.wanted(node, ids):
        running = node.fetches.get(one)
        if running is not None:
            if address not in running.others:
                running.others.append(address)
            continue
        if now < node.fetch_blocked_until.get(one, now):
            continue
        node.fetches[one] = _states.Fetch(address, now + FETCH_DEADLINE)
        effects.append(_fetch(one, address))
    return effects


def took(
    node: _states.Node,
    reply: _messages.BundleReply,
    address: str,
    now: float,
) -> list[_effects.Effect]:
    """Take in a fetched bundle, or try the next peer that has it."""
    envelope = (
        _versions.unpack(reply.compressed_envelope)
        if reply.compressed_envelope
        else None
    )
    if envelope is None:
        return retry(node, reply.bundle_id, now)
    node.fetches.pop(reply.bundle_id, None)
    effects = _versions.offered(node, envelope, address)
    if reply.bundle_id not in node.bundles_by_id:
        _shun(node, reply.bundle_id, now)
    return effects


def retry(
    node: _states.Node, bundle: _messages.BundleId, now: float
) -> list[_effects.Effect]:
    """Ask the next peer for ``bundle``; give up if there is none."""
    running = node.fetches.pop(bundle, None)
    if running is None or not running.others:
        return []
    address = running.others.pop(0)
    node.fetches[bundle] = _states.Fetch(
        address, now + FETCH_DEADLINE, running.others
    )
    return [_fetch(bundle, address)]


def lost_peer(
    node: _states.Node, address: str, now: float
) -> list[_effects.Effect]:
    """Ask others for what ``address`` was asked for."""
    effects: list[_effects.Effect] = []
    for bundle, running in list(node.fetches.items()):
        if running.address == address:
            effects += retry(node, bundle, now)
    return effects


def overdue(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Ask others for what has not come in time."""
    effects: list[_effects.Effect] = []
    for bundle, running in list(node.fetches.items()):
        if now > running.deadline:
            effects += retry(node, bundle, now)
    return effects


def give(
    node: _states.Node, request: _messages.BundleFetch
) -> _messages.BundleReply:
    """Return the bundle asked for, empty if not held."""
    held = node.bundles_by_id.get(request.bundle_id)
    body = b"" if held is None else held.compressed_envelope
    return _messages.BundleReply(request.bundle_id, body)


def compare(
    node: _states.Node, peer: _messages.Summary, now: float
) -> list[_effects.Effect]:
    """Fetch the differing members if the tables differ for long."""
    uninformed = node.vm_list_index == 0 and peer.vm_list_index > 0
    if peer.members_checksum == _members.checksum(node):
        node.vm_list_index = max(node.vm_list_index, peer.vm_list_index)
        return []
    if now < node.next_sync and not (uninformed and not node.syncing):
        return []
    if node.transmissions_left and not uninformed:
        return []
    node.next_sync = now + SYNC_EVERY
    node.syncing = True
    request = _messages.MembersFetch(tuple(node.bucket_checksums))
    return [_effects.Exchange(peer.address, request)]


def give_members(
    node: _states.Node, request: _messages.MembersFetch
) -> _messages.MembersReply:
    """Return the members in the buckets that differ."""
    rumours = _members.differing(node, request.bucket_checksums)
    body = zlib.compress(_messages.encode_rumours(rumours), 6)
    return _messages.MembersReply(body, node.vm_list_index)


def took_members(
    node: _states.Node, reply: _messages.MembersReply, now: float
) -> tuple[_messages.Rumour, ...]:
    """Return the rumours in ``reply``; raise ``BadMessage``."""
    node.syncing = False
    # One kilobyte a second is what the budget leaves: after a large
    # table the next comparison waits until its bytes are paid for.
    wait = len(reply.compressed_rumours) / SYNC_BYTES_PER_SECOND
    node.next_sync = now + max(SYNC_EVERY, wait)
    node.vm_list_index = max(node.vm_list_index, reply.vm_list_index)
    try:
        data = zlib.decompressobj().decompress(
            reply.compressed_rumours, MOST_MEMBERS_BYTES
        )
    except zlib.error as error:
        raise _messages.BadMessage(str(error)) from error
    return _messages.decode_rumours(data)


def _fetch(bundle: _messages.BundleId, address: str) -> _effects.Effect:
    return _effects.Exchange(address, _messages.BundleFetch(bundle))


def _shun(node: _states.Node, bundle: _messages.BundleId, now: float) -> None:
    # A peer that announces a bundle which is refused here would be asked
    # for it at each exchange, and the body sent again and again.
    while len(node.fetch_blocked_until) >= MOST_SHUNNED:
        del node.fetch_blocked_until[next(iter(node.fetch_blocked_until))]
    node.fetch_blocked_until[bundle] = now + SHUNNED_FOR
