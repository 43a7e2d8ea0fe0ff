"""One daemon's part in the fleet: time, requests, replies and failures."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _fetches
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _platform
from sassafrasstair.decisions.fleet import _reaches
from sassafrasstair.decisions.fleet import _spreads
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _summaries
from sassafrasstair.decisions.fleet import _suspicions

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles

PAUSE = 1.5
DEAF_AFTER_PAUSE = 1.0
REVIEW_EVERY = 1.0


def new_node(
    me: _messages.Record,
    incarnation: str,
    seeds: tuple[str, ...],
    verify: abc.Callable[[bytes], bundles.Approved],
    now: float,
    rng: random.Random,
) -> _states.Node:
    """Return the state of a daemon that starts now and knows nothing."""
    node = _states.Node(me, incarnation, seeds, verify, now)
    rumour = _messages.Rumour(
        me.vm,
        incarnation,
        0,
        _messages.SERVING,
        me.state == "leaving",
        record=me,
    )
    _members.merge(node, rumour, now)
    _members.mark_hot(node, me.vm)
    node.next_read_at = _platform.first_read_at(now, rng)
    node.next_gossip_at = now
    node.last_tick_at = now
    node.flushed = now
    node.push_tokens = _spreads.MOST_TOKENS
    return node


def tick(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Do what time has brought due; to be called each 250 ms."""
    effects = _woken(node, now)
    node.last_tick_at = now
    waiting, node.pending_effects = node.pending_effects, []
    effects += waiting
    effects += _missed_calls(node, now, rng)
    effects += _suspicions.review(node, now, rng)
    if now >= node.next_review:
        node.next_review = now + REVIEW_EVERY
        effects += _suspicions.review_members(node, now)
    _members.release(node, now)
    effects += _fetches.overdue(node, now)
    effects += _spreads.settle(node, now, rng)
    effects += _platform.review(node, now, rng)
    effects += _spreads.round_due(node, now, rng)
    return effects + _spreads.flush(node, now, rng)


def handle_request(
    node: _states.Node,
    message: _messages.Message,
    now: float,
    rng: random.Random,
) -> tuple[_messages.Message | None, list[_effects.Effect]]:
    """Answer one request of a peer; no reply to what is no request."""
    effects = _woken(node, now)
    reply: _messages.Message | None = _messages.Receipt()
    if isinstance(message, _messages.Gossip):
        effects += _heard(node, message, now, rng)
        reply = _summaries.summary(
            node, _messages.GossipReply, message.vm, message.rumours
        )
    elif isinstance(message, _messages.BundleFetch):
        reply = _fetches.give(node, message)
    elif isinstance(message, _messages.MembersFetch):
        reply = _fetches.give_members(node, message)
    elif isinstance(message, _messages.ProbeRequest):
        effects += _suspicions.check(
            node, message.vm, message.reply_to, message.with_helpers, now, rng
        )
    elif isinstance(message, _messages.ProbeResult):
        effects += _suspicions.result(node, message, now)
    else:
        reply = None
    return reply, effects + _spreads.flush(node, now, rng)


def process_reply(
    node: _states.Node,
    peer_address: str,
    message: _messages.Message,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in the reply to an ``Exchange`` with ``peer_address``."""
    effects = _woken(node, now)
    effects += _suspicions.alive(
        node, node.by_address.get(peer_address, ""), now
    )
    if isinstance(message, _messages.GossipReply):
        node.settled_by_address[peer_address] = message.settled
        effects += _heard(node, message, now, rng)
        effects += _spreads.settle(node, now, rng)
    elif isinstance(message, _messages.BundleReply):
        effects += _fetches.took(node, message, peer_address, now)
        effects += _spreads.settle(node, now, rng)
    elif isinstance(message, _messages.MembersReply):
        effects += _took_members(node, message, now)
    return effects + _spreads.flush(node, now, rng)


def unreachable(
    node: _states.Node,
    peer_address: str,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in that an ``Exchange`` with ``peer_address`` failed."""
    node.syncing = False
    effects = _woken(node, now)
    effects += _fetches.lost_peer(node, peer_address, now)
    vm = node.by_address.get(peer_address, "")
    effects += _suspicions.failed(node, vm, now, rng)
    return effects + _spreads.flush(node, now, rng)


def process_platform_bundles(
    node: _states.Node,
    envelopes: list[bytes],
    index: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in what the platform's bundle keys hold at ``index``."""
    effects = _platform.took_bundles(node, envelopes)
    return effects + _spreads.flush(node, now, rng)


def process_platform_vms(
    node: _states.Node,
    records: list[_messages.Record],
    index: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in the platform's VM list at ``index``."""
    effects = _platform.took_vms(node, records, index, now)
    return effects + _spreads.flush(node, now, rng)


def process_platform_failure(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Take in a lost or overflown watch, or a read that failed."""
    effects = _platform.lost(node, rng)
    return effects + _spreads.flush(node, now, rng)


def set_leaving(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Tell all that this VM takes no new work from now on."""
    me = node.members[node.local_record.vm]
    rumour = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        me.liveness,
        True,
        me.platform_unreachable,
    )
    if _members.merge(node, rumour, now):
        _members.mark_hot(node, node.local_record.vm)
    node.next_flush = now
    return _spreads.flush(node, now, rng)


def observe_call(
    node: _states.Node,
    vm: str,
    answered: bool,
    incarnation: str,
    now: float,
) -> None:
    """Take in what a call to ``vm`` showed of its daemon.

    ``incarnation`` is empty when the daemon did not answer.
    """
    member = node.members.get(vm)
    if member is None or vm == node.local_record.vm:
        return
    if not answered:
        node.failed_calls.add(vm)
        return
    if incarnation > member.incarnation:
        _members.contacted(node, vm, incarnation, now)
    domain = member.record.failure_domain
    if member.failures or vm in node.checks:
        node.pending_effects += _suspicions.alive(node, vm, now)
    elif _reaches.is_cut(node, domain):
        node.pending_effects += _suspicions.alive(node, vm, now)
    node.failed_calls.discard(vm)


def _woken(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Forget, after a pause of this process, what it seemed to show."""
    # A paused process wakes to find every exchange overdue: it would take
    # all its peers for dead, and tell others so.
    gap = now - node.last_tick_at
    if gap <= PAUSE:
        return []
    node.last_tick_at = now
    node.ignore_failures_until = now + DEAF_AFTER_PAUSE
    node.checks.clear()
    node.failed_calls.clear()
    node.next_gossip_at = now
    fields = {"seconds": f"{gap:.1f}"}
    return [_effects.ReportEvent("woke_late", fields)]


def _missed_calls(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    missed = sorted(node.failed_calls)
    node.failed_calls.clear()
    for vm in missed:
        effects += _suspicions.failed(node, vm, now, rng)
    return effects


def _heard(
    node: _states.Node,
    peer: _messages.Summary,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in all that a peer's summary says."""
    effects: list[_effects.Effect] = []
    member = node.members.get(peer.vm)
    if member is not None and peer.incarnation > member.incarnation:
        _members.contacted(node, peer.vm, peer.incarnation, now)
    if member is None or peer.incarnation >= member.incarnation:
        effects += _suspicions.alive(node, peer.vm, now)
    for rumour in peer.rumours:
        effects += _take(node, rumour, now)
    effects += _reaches.told_cut(
        node, peer.vm, peer.unreachable_domains, now, rng
    )
    effects += _fetches.want(node, peer.bundle_ids, peer.address, now)
    return effects + _fetches.compare(node, peer, now)


def _take(
    node: _states.Node, rumour: _messages.Rumour, now: float
) -> list[_effects.Effect]:
    if rumour.vm == node.local_record.vm:
        return _about_me(node, rumour, now)
    if _members.merge(node, rumour, now):
        _members.mark_hot(node, rumour.vm)
    return []


def _about_me(
    node: _states.Node, rumour: _messages.Rumour, now: float
) -> list[_effects.Effect]:
    """Refute what is wrongly said of this VM; accept that it leaves."""
    if rumour.incarnation > node.incarnation:
        fields = {"incarnation": rumour.incarnation}
        return [_effects.ReportEvent("incarnation_superseded", fields)]
    if rumour.incarnation and rumour.incarnation < node.incarnation:
        return []
    me = node.members[node.local_record.vm]
    slandered = rumour.liveness != _messages.SERVING
    if slandered and rumour.revision >= node.revision:
        node.revision = rumour.revision + 1
    leaving = me.leaving or rumour.leaving
    mine = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        _messages.SERVING,
        leaving,
        me.platform_unreachable,
    )
    if not _members.merge(node, mine, now):
        return []
    _members.mark_hot(node, node.local_record.vm)
    node.push_pending = True
    if not slandered:
        return [_effects.ReportEvent("listed_as_leaving", {})]
    fields = {"revision": str(node.revision)}
    return [_effects.ReportEvent("refuted", fields)]


def _took_members(
    node: _states.Node, reply: _messages.MembersReply, now: float
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    try:
        rumours = _fetches.took_members(node, reply, now)
    except _messages.BadMessage as error:
        fields = {"reason": str(error)}
        return [_effects.ReportEvent("bad_members", fields)]
    for rumour in rumours:
        if rumour.vm == node.local_record.vm:
            effects += _about_me(node, rumour, now)
        else:
            _members.merge(node, rumour, now)
        _members.common(node, rumour.vm)
    return effects
