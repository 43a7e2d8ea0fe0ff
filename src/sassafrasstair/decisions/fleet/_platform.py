"""Reads and watches of the platform, and the VM list and bundles from it.

Two daemons of each failure domain hold a watch; all others learn of changes
from peers. A daemon reads all platform keys once after a lost watch. A new
daemon reads them only if no peer has sent it a bundle. Both reads follow a
random delay.
"""

from __future__ import annotations

import collections
import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _reaches
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _versions

if typing.TYPE_CHECKING:
    from collections import abc
    import random

# Times are in seconds. A new daemon waits for ``PEERS_FIRST_DELAY`` and a
# random part of ``FIRST_READ_JITTER`` for a bundle from peers.
PEERS_FIRST_DELAY = 1.0
FIRST_READ_JITTER = 6.0
LOST_WATCH_JITTER = 2.0
MAX_BACKOFF = 30.0
BACKOFF_PER_WATCHER = 1.25
# Time after the start from which the known peers count as all peers.
PEERS_KNOWN_DELAY = 15.0
# Consecutive failures after which peers are told of them.
FAILURES_TO_REPORT = 3


def process_bundles(
    node: _states.Node, envelopes: abc.Sequence[bytes], now: float
) -> list[_effects.Effect]:
    """Process the bundles of a read or of an answered watch."""
    _record_platform_success(node)
    effects: list[_effects.Effect] = []
    for envelope in envelopes:
        effects += _versions.add_envelope(node, envelope, "platform", now)
    return effects


def process_vms(
    node: _states.Node,
    records: abc.Sequence[_messages.Record],
    vm_list_index: int,
    now: float,
) -> list[_effects.Effect]:
    """Apply the VM list and queue rumours about what it changes."""
    _record_platform_success(node)
    effects: list[_effects.Effect] = []
    for record in records:
        if _merge_listed(node, record, now):
            _members.queue_rumour(node, record.vm)
            if record.vm == node.local_record.vm:
                effects.append(_effects.ReportEvent("listed_as_leaving", {}))
        elif vm_list_index > node.vm_list_index > 0:
            _members.stop_sending_record(node, record.vm)
    listed = {each.vm: _life_of(node.members[each.vm]) for each in records}
    # A platform restored from an older copy does not list some VMs yet, and
    # dropping those would leave services without instances. It gives indexes
    # out again, so only a VM of the list that was read last, and only at a
    # greater index, counts as removed.
    if vm_list_index > node.listed_index:
        _mark_missing_gone(node, listed, now)
    node.listed, node.listed_index = listed, vm_list_index
    node.vm_list_index = max(node.vm_list_index, vm_list_index)
    return effects


def _life_of(member: _states.Member) -> _states.Life:
    return _states.Life(member.incarnation, member.revision)


def _mark_missing_gone(
    node: _states.Node, present: abc.Container[str], now: float
) -> None:
    """Mark the VMs of the last list that are not ``present`` as gone.

    A VM whose daemon has restarted or refuted a rumour since that list was
    read is running: a restored platform may not know it, and another watcher
    may have read so before. If it fails, its peers suspect it.
    """
    for vm, life in node.listed.items():
        member = node.members.get(vm)
        if vm in present or member is None or _life_of(member) > life:
            continue
        if _merge_unlisted(node, vm, now):
            _members.queue_rumour(node, vm)


def process_failure(
    node: _states.Node, rng: random.Random
) -> list[_effects.Effect]:
    """Process a lost or overflowed watch, or a failed read."""
    node.platform_failures += 1
    if node.bundles_by_id and not node.watching:
        node.read_pending = False
        return []
    max_delay = LOST_WATCH_JITTER * 2 ** min(node.platform_failures - 1, 6)
    node.read_pending = True
    delay = rng.uniform(0.0, min(max_delay, _max_backoff(node)))
    if node.platform_failures == FAILURES_TO_REPORT:
        _set_platform_unreachable(node, unreachable=True)
    return [_effects.ReadPlatform(delay)]


def _max_backoff(node: _states.Node) -> float:
    """Return the greatest delay of a retry, in seconds.

    It grows with the number of daemons that retry and that can tell this one
    of their success, so that one of them soon finds the platform back,
    however few they are.
    """
    delay = BACKOFF_PER_WATCHER * _count_reachable_watchers(node)
    return max(LOST_WATCH_JITTER, min(delay, MAX_BACKOFF))


def _count_reachable_watchers(node: _states.Node) -> int:
    """Return how many daemons watch while the platform is unreachable."""
    serving = collections.Counter(
        member.record.failure_domain
        for member in node.members.values()
        if _members.is_serving(member)
    )
    return sum(
        min(count, _subsets.MAX_WATCHERS)
        for domain, count in serving.items()
        if not _reaches.is_unreachable(node, domain)
    )


def update_watch(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the watch change and the first read if they are due."""
    effects: list[_effects.Effect] = []
    # Watchers are chosen again only when the members change, so the choice
    # must wait until the peers are known.
    peers_known = node.settled and _knows_peers(node, now)
    if peers_known and node.watchers_version != node.membership_version:
        node.watchers_version = node.membership_version
        chosen = node.local_record.vm in _subsets.watchers(node)
        if chosen != node.watching:
            node.watching = chosen
            effects.append(_effects.Watch(chosen))
    lacks_bundle = not node.bundles_by_id and not node.watching
    if lacks_bundle and not node.read_pending and now >= node.next_read_at:
        node.read_pending = True
        node.next_read_at = now + MAX_BACKOFF
        effects.append(_effects.ReadPlatform(0.0))
    return effects


def first_read_at(now: float, rng: random.Random) -> float:
    """Return when a daemon without a bundle from peers reads by itself."""
    return now + PEERS_FIRST_DELAY + rng.uniform(0.0, FIRST_READ_JITTER)


def _knows_peers(node: _states.Node, now: float) -> bool:
    """Return whether the member table can be expected to be complete."""
    # When all daemons start at once, each knows only its seeds and would
    # be among the first two of those: the whole fleet would watch.
    return node.vm_list_index > 0 or now - node.started_at > PEERS_KNOWN_DELAY


def _record_platform_success(node: _states.Node) -> None:
    node.read_pending = False
    if node.platform_failures >= FAILURES_TO_REPORT:
        _set_platform_unreachable(node, unreachable=False)
    node.platform_failures = 0


def _set_platform_unreachable(node: _states.Node, unreachable: bool) -> None:
    """Tell peers whether this daemon can read the platform."""
    own_member = node.members[node.local_record.vm]
    node.revision += 1
    rumour = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        _messages.SERVING,
        own_member.leaving,
        unreachable,
    )
    _members.merge(node, rumour, node.last_tick_at)
    _members.queue_rumour(node, node.local_record.vm)


def _merge_listed(
    node: _states.Node, record: _messages.Record, now: float
) -> bool:
    member = node.members.get(record.vm)
    leaving = record.state == "leaving"
    if member is not None and member.leaving >= leaving:
        return False
    rumour = _messages.Rumour(
        record.vm, "", 0, _messages.SERVING, leaving, False, record
    )
    return _members.merge(node, rumour, now)


def _merge_unlisted(node: _states.Node, vm: str, now: float) -> bool:
    if vm == node.local_record.vm:
        return False
    rumour = _messages.Rumour(vm, "", 0, _messages.GONE)
    return _members.merge(node, rumour, now)
