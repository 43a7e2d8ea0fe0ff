"""When this daemon reads or watches the platform.

Two daemons of each failure domain hold a watch; all others hear from
peers. A read of the whole is made once after a lost watch, and by a new
daemon only if no peer could tell it, each after a random delay.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _versions

if typing.TYPE_CHECKING:
    from collections import abc
    import random

ASK_PEERS_FIRST = 1.0
FIRST_READ_SPREAD = 6.0
LOST_WATCH_SPREAD = 2.0
LONGEST_BACKOFF = 30.0
KNOWN_AFTER = 15.0
FAILURES_TO_BLIND = 3


def took_bundles(
    node: _states.Node, envelopes: abc.Sequence[bytes]
) -> list[_effects.Effect]:
    """Take in the bundles of a read or of an answered watch."""
    _sees(node)
    effects: list[_effects.Effect] = []
    for envelope in envelopes:
        effects += _versions.offered(node, envelope, "platform")
    return effects


def took_vms(
    node: _states.Node,
    records: abc.Sequence[_messages.Record],
    index: int,
    now: float,
) -> list[_effects.Effect]:
    """Take in the VM list; what it changes becomes rumours."""
    _sees(node)
    effects: list[_effects.Effect] = []
    for record in records:
        if _listed(node, record, now):
            _members.mark_hot(node, record.vm)
            if record.vm == node.local_record.vm:
                effects.append(_effects.ReportEvent("listed_as_leaving", {}))
        elif index > node.vm_list_index > 0:
            _members.common(node, record.vm)
    names: dict[str, str] = {each.vm: each.state for each in records}
    if index < node.vm_list_index:
        # A platform that came back older does not know some VMs yet, and
        # dropping those would empty services: only what it has listed since
        # and lists no more has been removed.
        if index > node.restored_index:
            _drop_missing(node, node.restored_states, names, now)
        node.restored_states, node.restored_index = names, index
        return effects
    _drop_missing(node, node.listed_states, names, now)
    node.restored_states, node.restored_index = {}, 0
    node.listed_states = names
    node.vm_list_index = index
    return effects


def _drop_missing(
    node: _states.Node,
    listed: abc.Iterable[str],
    names: abc.Container[str],
    now: float,
) -> None:
    for vm in listed:
        if vm not in names and _unlisted(node, vm, now):
            _members.mark_hot(node, vm)


def lost(node: _states.Node, rng: random.Random) -> list[_effects.Effect]:
    """Take in a lost or overflown watch, or a failed read."""
    node.platform_failures += 1
    if node.bundles_by_id and not node.watching:
        node.read_pending = False
        return []
    longest = LOST_WATCH_SPREAD * 2 ** min(node.platform_failures - 1, 6)
    node.read_pending = True
    delay = rng.uniform(0.0, min(longest, LONGEST_BACKOFF))
    if node.platform_failures == FAILURES_TO_BLIND:
        _set_blind(node, blind=True)
    return [_effects.ReadPlatform(delay)]


def review(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the change of watch, or the first read, that is due."""
    effects: list[_effects.Effect] = []
    # Watchers are looked for again only when the members change, so a look
    # before the peers are known must not count as one.
    knows = node.settled and _knows_peers(node, now)
    if knows and node.watchers_roster != node.membership_version:
        node.watchers_roster = node.membership_version
        chosen = node.local_record.vm in _subsets.watchers(node)
        if chosen != node.watching:
            node.watching = chosen
            effects.append(_effects.Watch(chosen))
    uninformed = not node.bundles_by_id and not node.watching
    if uninformed and not node.read_pending and now >= node.next_read_at:
        node.read_pending = True
        node.next_read_at = now + LONGEST_BACKOFF
        effects.append(_effects.ReadPlatform(0.0))
    return effects


def first_read_at(now: float, rng: random.Random) -> float:
    """Return when a daemon reads for itself that no peer could tell."""
    return now + ASK_PEERS_FIRST + rng.uniform(0.0, FIRST_READ_SPREAD)


def _knows_peers(node: _states.Node, now: float) -> bool:
    # All start at once: a daemon that knows only its seeds is among the
    # first two of those few, and so would each of the whole fleet be.
    return node.vm_list_index > 0 or now - node.started_at > KNOWN_AFTER


def _sees(node: _states.Node) -> None:
    node.read_pending = False
    if node.platform_failures >= FAILURES_TO_BLIND:
        _set_blind(node, blind=False)
    node.platform_failures = 0


def _set_blind(node: _states.Node, blind: bool) -> None:
    me = node.members[node.local_record.vm]
    node.revision += 1
    rumour = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        _messages.SERVING,
        me.leaving,
        blind,
    )
    _members.merge(node, rumour, node.last_tick_at)
    _members.mark_hot(node, node.local_record.vm)


def _listed(node: _states.Node, record: _messages.Record, now: float) -> bool:
    member = node.members.get(record.vm)
    leaving = record.state == "leaving"
    if member is not None and member.leaving >= leaving:
        return False
    rumour = _messages.Rumour(
        record.vm, "", 0, _messages.SERVING, leaving, False, record
    )
    return _members.merge(node, rumour, now)


def _unlisted(node: _states.Node, vm: str, now: float) -> bool:
    member = node.members.get(vm)
    if member is None or vm == node.local_record.vm:
        return False
    rumour = _messages.Rumour(vm, "", 0, _messages.GONE)
    return _members.merge(node, rumour, now)
