"""The member table: a merge of rumours that is independent of their order.

Rumours about one incarnation of a VM are ordered by revision, which only
the VM's own daemon raises, and then by liveness, where a worse state wins:
serving, suspected, gone. ``leaving`` is never cleared within an incarnation.
A greater incarnation replaces all state. A rumour with an empty incarnation
comes from the VM list and keeps the incarnation and the revision of the
member that it applies to.
"""

from __future__ import annotations

import functools
import hashlib
import math
import struct
import typing
import zlib

from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states

if typing.TYPE_CHECKING:
    from collections import abc

# Rumours per message, and queued rumours that only announce serving members.
MAX_RUMOURS = 12
MAX_QUEUED_ANNOUNCEMENTS = 64
PRIORITY_OFFSET = 1_000
"""Added to the transmissions left of urgent rumours, so they sort first.

Urgent are the rumours that a VM is suspected, gone or leaving.
A value of 1_000 + n in ``transmissions_left`` means an urgent rumour with n
transmissions left.
"""

# Transmissions per rumour, as a factor of the logarithm of the fleet's size.
RETRANSMIT_FACTOR = 1.5
# Seconds.
MIN_HOLD_DOWN = 1.0
MAX_HOLD_DOWN = 16.0
FLAP_WINDOW = 60.0

_BUCKET_VALUES = struct.Struct(f"<{_states.BUCKETS}I")


def is_usable(node: _states.Node, member: _states.Member, now: float) -> bool:
    """Return whether ``member`` may be given new work.

    A VM is leaving if a merged rumour says so, or if the record by which
    this daemon knows the VM does.
    """
    if member.liveness != _messages.SERVING or member.leaving:
        return False
    if member.record.state == "leaving" or member.ejected:
        return False
    reachability = node.reachability.get(member.record.failure_domain)
    return now >= member.hold_down_until and not (
        reachability and reachability.unreachable
    )


def is_serving(member: _states.Member) -> bool:
    """Return whether ``member`` is neither suspected nor gone."""
    return member.liveness == _messages.SERVING


def rumour_of(member: _states.Member, with_record: bool) -> _messages.Rumour:
    """Return the state of ``member`` as a rumour, optionally with record."""
    return _messages.Rumour(
        member.record.vm,
        member.incarnation,
        member.revision,
        member.liveness,
        member.leaving,
        member.platform_unreachable,
        member.record if with_record else None,
    )


def invalidate_caches(node: _states.Node, membership: bool = False) -> None:
    """Invalidate the cached call targets.

    With ``membership`` the cached gossip partners and watchers as well.
    """
    node.usability_version += 1
    if membership:
        node.membership_version += 1


def merge(node: _states.Node, rumour: _messages.Rumour, now: float) -> bool:
    """Merge ``rumour`` into the table; return whether that changed it."""
    member = node.members.get(rumour.vm)
    if member is None:
        return _add(node, rumour, now)
    if _is_redundant(member, rumour):
        return False
    old_state = _merged_state(member)
    _xor_into_checksum(node, member)
    _merge_into(member, rumour)
    _xor_into_checksum(node, member)
    if _merged_state(member) == old_state:
        return False
    _apply_change(node, member, old_state, now)
    return True


def record_incarnation(
    node: _states.Node, vm: str, incarnation: str, now: float
) -> None:
    """Record ``incarnation``, which the daemon on ``vm`` sent itself."""
    rumour = _messages.Rumour(vm, incarnation, 0, _messages.SERVING)
    if merge(node, rumour, now):
        queue_rumour(node, vm)


def queue_rumour(node: _states.Node, vm: str) -> None:
    """Queue the state of ``vm`` for a bounded number of transmissions."""
    member = node.members[vm]
    log_members = math.log(len(node.members) + 2)
    transmissions = math.ceil(RETRANSMIT_FACTOR * log_members)
    if member.liveness != _messages.SERVING or member.leaving:
        node.transmissions_left[vm] = PRIORITY_OFFSET + transmissions
    elif (
        vm == node.local_record.vm
        or len(node.transmissions_left) < MAX_QUEUED_ANNOUNCEMENTS
    ):
        # When a whole fleet starts, every daemon announces itself. Beyond
        # this limit, peers learn of serving members by a sync.
        node.transmissions_left[vm] = transmissions


def take_rumours(
    node: _states.Node,
    receiver: str,
    known: abc.Collection[_messages.Rumour] = (),
) -> tuple[_messages.Rumour, ...]:
    """Return the rumours for one message, most transmissions left first.

    Each returned rumour has one transmission less left. Rumours in
    ``known``, which the receiver has just sent, are left out.
    """
    known_vms = {rumour.vm for rumour in known if _matches_table(node, rumour)}
    candidates = [vm for vm in node.transmissions_left if vm not in known_vms]
    chosen = sorted(
        candidates, key=node.transmissions_left.__getitem__, reverse=True
    )
    rumours = [_take_rumour(node, vm) for vm in chosen[:MAX_RUMOURS]]
    member = node.members.get(receiver)
    if member is not None and member.liveness != _messages.SERVING:
        # A process that resumes after a pause may be recorded as dead.
        # Unless it learns so, it cannot refute that, and it gets no work
        # although it serves.
        rumours.append(rumour_of(member, with_record=False))
    return tuple(rumours)


@functools.lru_cache(maxsize=16384)
def bucket_of(vm: str) -> int:
    """Return the checksum bucket of ``vm``."""
    return _digest(vm) % _states.BUCKETS


def checksum(node: _states.Node) -> int:
    """Return the checksum of the whole member table."""
    return zlib.crc32(_BUCKET_VALUES.pack(*node.bucket_checksums))


def differing_rumours(
    node: _states.Node, checksums: abc.Sequence[int]
) -> tuple[_messages.Rumour, ...]:
    """Return all rumours of the buckets that differ from ``checksums``."""
    wanted = {
        bucket
        for bucket, value in enumerate(node.bucket_checksums)
        if bucket >= len(checksums) or checksums[bucket] != value
    }
    return tuple(
        rumour_of(member, with_record=True)
        for vm, member in node.members.items()
        if bucket_of(vm) in wanted
    )


def start_hold_down(
    node: _states.Node, member: _states.Member, now: float
) -> None:
    """Give a returned member no work for a time that grows as it flaps."""
    # Without hysteresis a VM close to failure would receive work and lose
    # it again every second. Each return within a minute after the end of
    # the last hold-down doubles the wait.
    if now - member.hold_down_until > FLAP_WINDOW:
        member.flaps = 0
    wait = min(MIN_HOLD_DOWN * 2**member.flaps, MAX_HOLD_DOWN)
    member.flaps += 1
    member.hold_down_until = now + wait
    node.held_down.add(member.record.vm)
    invalidate_caches(node)


def end_hold_downs(node: _states.Node, now: float) -> None:
    """End the hold-downs that have expired."""
    expired = {
        vm for vm in node.held_down if node.members[vm].hold_down_until <= now
    }
    if expired:
        node.held_down -= expired
        invalidate_caches(node)


def stop_sending_record(node: _states.Node, vm: str) -> None:
    """Omit the record of ``vm`` from rumours, since peers have it.

    This holds for a record that a peer sent in a sync, and for an entry
    that a later VM list leaves as it was: the watchers of every failure
    domain read that list.
    """
    node.records_to_send.discard(vm)


def remove(node: _states.Node, vm: str) -> None:
    """Remove ``vm`` from the table."""
    member = node.members.pop(vm)
    _xor_into_checksum(node, member)
    if node.by_address.get(member.record.address) == vm:
        del node.by_address[member.record.address]
    node.transmissions_left.pop(vm, None)
    node.ejected.discard(vm)
    node.held_down.discard(vm)
    node.not_serving.discard(vm)
    node.records_to_send.discard(vm)
    invalidate_caches(node, membership=True)


def _matches_table(node: _states.Node, rumour: _messages.Rumour) -> bool:
    """Return whether ``rumour`` says what the member table says."""
    member = node.members.get(rumour.vm)
    return member is not None and _is_redundant(member, rumour)


def _is_redundant(member: _states.Member, rumour: _messages.Rumour) -> bool:
    """Return whether ``rumour`` cannot change ``member``.

    A record that says "leaving" is never redundant: the merge may still
    have to apply it.
    """
    return (
        rumour.incarnation == member.incarnation
        and rumour.revision == member.revision
        and rumour.liveness == member.liveness
        and rumour.leaving == member.leaving
        and rumour.platform_unreachable == member.platform_unreachable
        and (rumour.record is None or rumour.record.state == "live")
    )


def _add(node: _states.Node, rumour: _messages.Rumour, now: float) -> bool:
    if rumour.record is None or rumour.record.vm != rumour.vm:
        return False
    member = _states.Member(rumour.record, changed_at=now)
    _merge_into(member, rumour)
    node.members[rumour.vm] = member
    node.by_address[rumour.record.address] = rumour.vm
    _xor_into_checksum(node, member)
    _track_not_serving(node, member)
    node.records_to_send.add(rumour.vm)
    invalidate_caches(node, membership=True)
    return True


def _merge_into(member: _states.Member, rumour: _messages.Rumour) -> None:
    if rumour.incarnation > member.incarnation:
        _replace_incarnation(member, rumour)
        return
    if rumour.incarnation and rumour.incarnation < member.incarnation:
        return
    member.leaving = member.leaving or rumour.leaving
    later = (rumour.revision, rumour.liveness) > (
        member.revision,
        member.liveness,
    )
    # The VM list names no incarnation: its entry applies to the running
    # incarnation, which refutes it if it is wrong. Only a worse liveness and
    # ``leaving`` are taken from it; the incarnation, the revision and
    # ``platform_unreachable`` are kept.
    from_vm_list = not rumour.incarnation and bool(member.incarnation)
    if from_vm_list:
        member.liveness = max(member.liveness, rumour.liveness)
    elif later:
        member.platform_unreachable = rumour.platform_unreachable
        member.revision = rumour.revision
        member.liveness = rumour.liveness
    _apply_listed_leaving(member, rumour.record)


def _replace_incarnation(
    member: _states.Member, rumour: _messages.Rumour
) -> None:
    """Replace the state by that of a later process on the VM.

    ``leaving`` is kept if no incarnation was known before: then it came from
    the VM list, which does not name processes.
    """
    had_incarnation = bool(member.incarnation)
    member.leaving = rumour.leaving or (member.leaving and not had_incarnation)
    member.incarnation = rumour.incarnation
    member.revision = rumour.revision
    member.liveness = rumour.liveness
    member.platform_unreachable = rumour.platform_unreachable
    if rumour.record is not None:
        member.record = rumour.record


def _apply_listed_leaving(
    member: _states.Member, record: _messages.Record | None
) -> None:
    """Set ``leaving`` if the record says so.

    The rest of a record, such as the address, changes only with a greater
    incarnation.
    """
    if record is None or record.vm != member.record.vm:
        return
    if record.state == "leaving":
        member.leaving = True


def _apply_change(
    node: _states.Node,
    member: _states.Member,
    old_state: tuple[str, int, int, bool, bool],
    now: float,
) -> None:
    """Update what depends on ``member``; ``old_state`` is as before."""
    node.by_address[member.record.address] = member.record.vm
    member.changed_at = now
    _track_not_serving(node, member)
    was_not_serving = old_state[2] != _messages.SERVING
    if was_not_serving and member.liveness == _messages.SERVING:
        member.ejected = False
        member.failures = 0
        node.ejected.discard(member.record.vm)
        start_hold_down(node, member, now)
    if old_state[2:] != _merged_state(member)[2:]:
        invalidate_caches(node, membership=True)
    # A change from suspected to gone does not affect calls and can wait
    # for the next rounds. Otherwise the loss of a rack would be pushed
    # twice: when its VMs are suspected, and when they are marked as gone.
    if _takes_work(old_state[2], old_state[3]) != _takes_work(
        member.liveness, member.leaving
    ):
        node.push_pending = True


def _track_not_serving(node: _states.Node, member: _states.Member) -> None:
    if member.liveness == _messages.SERVING:
        node.not_serving.discard(member.record.vm)
    else:
        node.not_serving.add(member.record.vm)


def _takes_work(liveness: int, leaving: bool) -> bool:
    return liveness == _messages.SERVING and not leaving


def _merged_state(member: _states.Member) -> tuple[str, int, int, bool, bool]:
    """Return the fields that rumours change.

    Item 2 is the liveness and item 3 is ``leaving``. Items from 2 on decide
    whether the member takes work or watches the platform.
    """
    return (
        member.incarnation,
        member.revision,
        member.liveness,
        member.leaving,
        member.platform_unreachable,
    )


def _take_rumour(node: _states.Node, vm: str) -> _messages.Rumour:
    """Return the rumour about ``vm`` and count one transmission of it."""
    node.transmissions_left[vm] -= 1
    if node.transmissions_left[vm] in (0, PRIORITY_OFFSET):
        del node.transmissions_left[vm]
    member = node.members[vm]
    return rumour_of(member, with_record=vm in node.records_to_send)


def _xor_into_checksum(node: _states.Node, member: _states.Member) -> None:
    """Add ``member`` to the checksum of its bucket, or take it out.

    The checksum is the XOR of the members' digests, so the same operation
    does both: callers apply it before and after they change a member.
    """
    # Members that are gone are left out of the checksums: daemons remove
    # them at different times, which must not count as a difference.
    if member.liveness == _messages.GONE:
        return
    value = _digest(f"{member.record.vm} {_merged_state(member)}")
    node.bucket_checksums[bucket_of(member.record.vm)] ^= value


@functools.lru_cache(maxsize=8192)
def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest)
