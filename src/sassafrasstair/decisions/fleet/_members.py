"""The member table: a join of rumours, the same whatever their order.

Beliefs on one incarnation of a VM are ordered by the revision that the VM's
own daemon raises, then by severity. That it leaves is never taken back
within an incarnation. A greater incarnation replaces all.
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

MAX_RUMOURS = 12
MOST_HOT = 64
FIRST = 1_000
"""Added to the count of transmissions left of what must go first."""

RETRANSMISSIONS = 1.5
HOLD_FIRST = 1.0
HOLD_LONGEST = 16.0
FLAPS_FORGOTTEN = 60.0

_BUCKET_VALUES = struct.Struct(f"<{_states.BUCKETS}I")


def usable(node: _states.Node, member: _states.Member, now: float) -> bool:
    """Return whether ``member`` may be given new work."""
    if member.liveness != _messages.SERVING or member.leaving:
        return False
    if member.record.state == "leaving" or member.ejected:
        return False
    reach = node.reachability.get(member.record.failure_domain)
    return now >= member.hold_down_until and not (reach and reach.unreachable)


def is_member(member: _states.Member) -> bool:
    """Return whether ``member`` takes part in gossip, as far as known."""
    return member.liveness == _messages.SERVING


def rumour_of(member: _states.Member, whole: bool) -> _messages.Rumour:
    """Return what is believed of ``member``, with its record if whole."""
    return _messages.Rumour(
        member.record.vm,
        member.incarnation,
        member.revision,
        member.liveness,
        member.leaving,
        member.platform_unreachable,
        member.record if whole else None,
    )


def changed(node: _states.Node, roster: bool = False) -> None:
    """Void what was worked out of who is usable, or of all members."""
    node.usability_version += 1
    if roster:
        node.membership_version += 1


def merge(node: _states.Node, rumour: _messages.Rumour, now: float) -> bool:
    """Join ``rumour`` into the table; return whether it was news."""
    member = node.members.get(rumour.vm)
    if member is None:
        return _add(node, rumour, now)
    if _is_known(member, rumour):
        return False
    before = _place(member)
    _toggle(node, member)
    _join(member, rumour)
    _toggle(node, member)
    if _place(member) == before:
        return False
    _follow(node, member, before, now)
    return True


def contacted(
    node: _states.Node, vm: str, incarnation: str, now: float
) -> None:
    """Take in from ``vm`` itself that ``incarnation`` runs there."""
    rumour = _messages.Rumour(vm, incarnation, 0, _messages.SERVING)
    if merge(node, rumour, now):
        mark_hot(node, vm)


def mark_hot(node: _states.Node, vm: str) -> None:
    """Have the belief on ``vm`` passed on a bounded number of times."""
    member = node.members[vm]
    spread = math.log(len(node.members) + 2)
    times = math.ceil(RETRANSMISSIONS * spread)
    if member.liveness != _messages.SERVING or member.leaving:
        node.transmissions_left[vm] = FIRST + times
    elif vm == node.local_record.vm or len(node.transmissions_left) < MOST_HOT:
        # When a whole fleet starts, everyone announces itself: beyond this
        # the announcements are left to the comparison of tables.
        node.transmissions_left[vm] = times


def piggyback(
    node: _states.Node,
    receiver: str,
    known: abc.Collection[_messages.Rumour] = (),
) -> tuple[_messages.Rumour, ...]:
    """Return the rumours for one message, those least told first.

    ``known`` is what the receiver has just told itself.
    """
    told = {rumour.vm for rumour in known if _is_current(node, rumour)}
    fresh = [vm for vm in node.transmissions_left if vm not in told]
    chosen = sorted(
        fresh, key=node.transmissions_left.__getitem__, reverse=True
    )
    rumours = [_told(node, vm) for vm in chosen[:MAX_RUMOURS]]
    member = node.members.get(receiver)
    if member is not None and member.liveness != _messages.SERVING:
        # A paused process wakes and is rumoured dead: unless it hears so
        # it cannot refute, and gets no work though it serves.
        rumours.append(rumour_of(member, whole=False))
    return tuple(rumours)


@functools.lru_cache(maxsize=16384)
def bucket_of(vm: str) -> int:
    """Return the checksum bucket of ``vm``."""
    return _digest(vm) % _states.BUCKETS


def checksum(node: _states.Node) -> int:
    """Return the checksum of the whole member table."""
    return zlib.crc32(_BUCKET_VALUES.pack(*node.bucket_checksums))


def differing(
    node: _states.Node, checksums: abc.Sequence[int]
) -> tuple[_messages.Rumour, ...]:
    """Return all rumours of the buckets that differ from ``checksums``."""
    wanted = {
        bucket
        for bucket, value in enumerate(node.bucket_checksums)
        if bucket >= len(checksums) or checksums[bucket] != value
    }
    return tuple(
        rumour_of(member, whole=True)
        for vm, member in node.members.items()
        if bucket_of(vm) in wanted
    )


def hold(node: _states.Node, member: _states.Member, now: float) -> None:
    """Bar a member that is back for a while, longer the more it flaps."""
    # Hysteresis: a VM at the edge of failure would take work and lose it
    # again each second; each return within a minute doubles the wait.
    if now - member.hold_down_until > FLAPS_FORGOTTEN:
        member.flaps = 0
    wait = min(HOLD_FIRST * 2**member.flaps, HOLD_LONGEST)
    member.flaps += 1
    member.hold_down_until = now + wait
    node.held_down.add(member.record.vm)
    changed(node)


def release(node: _states.Node, now: float) -> None:
    """End the holds whose time is over."""
    over = {
        vm for vm in node.held_down if node.members[vm].hold_down_until <= now
    }
    if over:
        node.held_down -= over
        changed(node)


def common(node: _states.Node, vm: str) -> None:
    """Note that peers have the record of ``vm`` already."""
    node.unshared_records.discard(vm)


def forget(node: _states.Node, vm: str) -> None:
    """Drop ``vm`` from the table."""
    member = node.members.pop(vm)
    _toggle(node, member)
    if node.by_address.get(member.record.address) == vm:
        del node.by_address[member.record.address]
    node.transmissions_left.pop(vm, None)
    node.ejected.discard(vm)
    node.held_down.discard(vm)
    node.not_serving.discard(vm)
    node.unshared_records.discard(vm)
    changed(node, roster=True)


def _is_current(node: _states.Node, rumour: _messages.Rumour) -> bool:
    member = node.members.get(rumour.vm)
    return member is not None and _is_known(member, rumour)


def _is_known(member: _states.Member, rumour: _messages.Rumour) -> bool:
    """Return quickly whether ``rumour`` is just what is believed."""
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
    _join(member, rumour)
    node.members[rumour.vm] = member
    node.by_address[rumour.record.address] = rumour.vm
    _toggle(node, member)
    _note_life(node, member)
    node.unshared_records.add(rumour.vm)
    changed(node, roster=True)
    return True


def _join(member: _states.Member, rumour: _messages.Rumour) -> None:
    if rumour.incarnation > member.incarnation:
        _replace(member, rumour)
        return
    if rumour.incarnation and rumour.incarnation < member.incarnation:
        return
    member.leaving = member.leaving or rumour.leaving
    later = (rumour.revision, rumour.liveness) > (
        member.revision,
        member.liveness,
    )
    # The VM list names no incarnation: what it says holds for the one
    # that runs, which refutes it if it is wrong.
    listed = not rumour.incarnation and bool(member.incarnation)
    if listed:
        member.liveness = max(member.liveness, rumour.liveness)
    elif later:
        member.platform_unreachable = rumour.platform_unreachable
        member.revision = rumour.revision
        member.liveness = rumour.liveness
    _take_record(member, rumour.record)


def _replace(member: _states.Member, rumour: _messages.Rumour) -> None:
    known = bool(member.incarnation)
    member.leaving = rumour.leaving or (member.leaving and not known)
    member.incarnation = rumour.incarnation
    member.revision = rumour.revision
    member.liveness = rumour.liveness
    member.platform_unreachable = rumour.platform_unreachable
    if rumour.record is not None:
        member.record = rumour.record


def _take_record(
    member: _states.Member, record: _messages.Record | None
) -> None:
    if record is None or record.vm != member.record.vm:
        return
    if record.state == "leaving":
        member.leaving = True


def _follow(
    node: _states.Node,
    member: _states.Member,
    before: tuple[str, int, int, bool, bool],
    now: float,
) -> None:
    node.by_address[member.record.address] = member.record.vm
    member.changed_at = now
    _note_life(node, member)
    back = before[2] != _messages.SERVING
    if back and member.liveness == _messages.SERVING:
        member.ejected = False
        member.failures = 0
        node.ejected.discard(member.record.vm)
        hold(node, member, now)
    if before[2:] != _place(member)[2:]:
        changed(node, roster=True)
    # That a suspected VM is now held for gone changes nothing for calls
    # and can wait for the next rounds; a rack's loss would send it twice.
    if _takes_work(before[2], before[3]) != _takes_work(
        member.liveness, member.leaving
    ):
        node.push_pending = True


def _note_life(node: _states.Node, member: _states.Member) -> None:
    if member.liveness == _messages.SERVING:
        node.not_serving.discard(member.record.vm)
    else:
        node.not_serving.add(member.record.vm)


def _takes_work(life: int, leaving: bool) -> bool:
    return life == _messages.SERVING and not leaving


def _place(member: _states.Member) -> tuple[str, int, int, bool, bool]:
    return (
        member.incarnation,
        member.revision,
        member.liveness,
        member.leaving,
        member.platform_unreachable,
    )


def _told(node: _states.Node, vm: str) -> _messages.Rumour:
    node.transmissions_left[vm] -= 1
    if node.transmissions_left[vm] in (0, FIRST):
        del node.transmissions_left[vm]
    member = node.members[vm]
    return rumour_of(member, whole=vm in node.unshared_records)


def _toggle(node: _states.Node, member: _states.Member) -> None:
    # Members that are gone count for nothing: nodes forget them at
    # different times, which must not look like a difference.
    if member.liveness == _messages.GONE:
        return
    value = _digest(f"{member.record.vm} {_place(member)}")
    node.bucket_checksums[bucket_of(member.record.vm)] ^= value


@functools.lru_cache(maxsize=8192)
def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest)
