"""Entry points that update the daemon's state and return effects.

They process ticks, requests, replies, failed exchanges, results of platform
reads and observed calls.
"""

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

# Seconds. A longer gap between ticks counts as a pause of this process.
PAUSE_THRESHOLD = 1.5
# Seconds after a pause in which failed exchanges and calls are ignored.
FAILURE_GRACE_PERIOD = 1.0
EXPIRY_INTERVAL = 1.0


def new_node(
    local_record: _messages.Record,
    incarnation: str,
    seeds: tuple[str, ...],
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
    now: float,
    rng: random.Random,
) -> _states.Node:
    """Return the initial state of a daemon that starts at ``now``."""
    node = _states.Node(local_record, incarnation, seeds, verify, now)
    rumour = _messages.Rumour(
        local_record.vm,
        incarnation,
        0,
        _messages.SERVING,
        local_record.state == "leaving",
        record=local_record,
    )
    _members.merge(node, rumour, now)
    _members.queue_rumour(node, local_record.vm)
    node.next_read_at = _platform.first_read_at(now, rng)
    node.next_gossip_at = now
    node.last_tick_at = now
    node.tokens_refilled_at = now
    node.push_tokens = _spreads.MAX_TOKENS
    return node


def tick(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Run the periodic work that is due; call this every 250 ms."""
    effects = _detect_pause(node, now)
    node.last_tick_at = now
    waiting, node.pending_effects = node.pending_effects, []
    effects += waiting
    effects += _process_failed_calls(node, now, rng)
    effects += _suspicions.run_due_probes(node, now, rng)
    if now >= node.next_expiry_at:
        node.next_expiry_at = now + EXPIRY_INTERVAL
        effects += _suspicions.expire_members(node, now)
    _members.end_hold_downs(node, now)
    effects += _fetches.retry_overdue(node, now)
    effects += _spreads.settle_if_ready(node, now, rng)
    effects += _platform.update_watch(node, now, rng)
    effects += _spreads.gossip_if_due(node, now, rng)
    return effects + _spreads.push_if_due(node, now, rng)


def handle_request(
    node: _states.Node,
    message: _messages.Message,
    now: float,
    rng: random.Random,
) -> tuple[_messages.Message | None, list[_effects.Effect]]:
    """Handle a request of a peer and return the reply to it.

    The reply is None if the message is not a request but itself a reply.
    """
    effects = _detect_pause(node, now)
    reply: _messages.Message | None = _messages.Receipt()
    if isinstance(message, _messages.Gossip):
        effects += _process_summary(node, message, now, rng)
        reply = _summaries.build_summary(
            node, _messages.GossipReply, message.vm, message.rumours
        )
    elif isinstance(message, _messages.BundleFetch):
        reply = _fetches.reply_with_bundle(node, message)
    elif isinstance(message, _messages.MembersFetch):
        reply = _fetches.reply_with_members(node, message)
    elif isinstance(message, _messages.ProbeRequest):
        effects += _suspicions.start_check(
            node, message.vm, message.reply_to, message.with_helpers, now, rng
        )
    elif isinstance(message, _messages.ProbeResult):
        effects += _suspicions.record_helper_result(node, message, now)
    else:
        reply = None
    return reply, effects + _spreads.push_if_due(node, now, rng)


def process_reply(
    node: _states.Node,
    peer_address: str,
    message: _messages.Message,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Process the reply to an ``Exchange`` with ``peer_address``."""
    effects = _detect_pause(node, now)
    effects += _suspicions.record_success(
        node, node.by_address.get(peer_address, ""), now
    )
    if isinstance(message, _messages.GossipReply):
        node.peer_settled_by_address[peer_address] = message.settled
        effects += _process_summary(node, message, now, rng)
        effects += _spreads.settle_if_ready(node, now, rng)
    elif isinstance(message, _messages.BundleReply):
        effects += _fetches.process_bundle_reply(
            node, message, peer_address, now
        )
        effects += _spreads.settle_if_ready(node, now, rng)
    elif isinstance(message, _messages.MembersReply):
        effects += _process_members_reply(node, message, now)
    return effects + _spreads.push_if_due(node, now, rng)


def update_after_failed_exchange(
    node: _states.Node,
    peer_address: str,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Process the failure of an ``Exchange`` with ``peer_address``."""
    if peer_address == node.sync_address:
        node.sync_address = ""
    effects = _detect_pause(node, now)
    effects += _fetches.process_lost_peer(node, peer_address, now)
    vm = node.by_address.get(peer_address, "")
    effects += _suspicions.record_failure(node, vm, now, rng)
    return effects + _spreads.push_if_due(node, now, rng)


def process_platform_bundles(
    node: _states.Node,
    envelopes: list[bytes],
    index: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Process the envelopes in the platform's bundle keys.

    ``index`` is the platform index of this read. It is not used, because
    bundles are ordered by their version and digest.
    """
    effects = _platform.process_bundles(node, envelopes, now)
    return effects + _spreads.push_if_due(node, now, rng)


def process_platform_vms(
    node: _states.Node,
    records: list[_messages.Record],
    vm_list_index: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Process the platform's VM list, as of ``vm_list_index``."""
    effects = _platform.process_vms(node, records, vm_list_index, now)
    return effects + _spreads.push_if_due(node, now, rng)


def process_platform_failure(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Process a lost or overflowed platform watch, or a failed read."""
    effects = _platform.process_failure(node, rng)
    return effects + _spreads.push_if_due(node, now, rng)


def set_leaving(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Tell peers that this VM takes no new work from now on."""
    own_member = node.members[node.local_record.vm]
    rumour = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        own_member.liveness,
        True,
        own_member.platform_unreachable,
    )
    if _members.merge(node, rumour, now):
        _members.queue_rumour(node, node.local_record.vm)
    node.next_push_at = now
    return _spreads.push_if_due(node, now, rng)


def observe_call(
    node: _states.Node,
    vm: str,
    answered: bool,
    incarnation: str,
    now: float,
) -> None:
    """Record whether the daemon on ``vm`` answered a call.

    ``incarnation`` is what the daemon answered, empty if it did not. The
    next tick processes failed calls and returns pending effects.
    """
    member = node.members.get(vm)
    if member is None or vm == node.local_record.vm:
        return
    if not answered:
        node.failed_calls.add(vm)
        return
    if incarnation > member.incarnation:
        _members.record_incarnation(node, vm, incarnation, now)
    domain = member.record.failure_domain
    if member.failures or vm in node.checks:
        node.pending_effects += _suspicions.record_success(node, vm, now)
    elif _reaches.is_unreachable(node, domain):
        node.pending_effects += _suspicions.record_success(node, vm, now)
    node.failed_calls.discard(vm)


def _detect_pause(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Discard pending failures after a pause of this process."""
    # When a process resumes after a pause, every exchange is overdue: it
    # would suspect all its peers and gossip that suspicion.
    gap = now - node.last_tick_at
    if gap <= PAUSE_THRESHOLD:
        return []
    node.last_tick_at = now
    node.ignore_failures_until = now + FAILURE_GRACE_PERIOD
    node.checks.clear()
    node.failed_calls.clear()
    node.next_gossip_at = now
    fields = {"seconds": f"{gap:.1f}"}
    return [_effects.ReportEvent("woke_late", fields)]


def _process_failed_calls(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    failed_vms = sorted(node.failed_calls)
    node.failed_calls.clear()
    for vm in failed_vms:
        effects += _suspicions.record_failure(node, vm, now, rng)
    return effects


def _process_summary(
    node: _states.Node,
    peer: _messages.Summary,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Process all parts of a peer's summary.

    A peer of an older incarnation than the known one is not recorded as
    reached: its process has been replaced.
    """
    effects: list[_effects.Effect] = []
    member = node.members.get(peer.vm)
    if member is not None and peer.incarnation > member.incarnation:
        _members.record_incarnation(node, peer.vm, peer.incarnation, now)
    if member is None or peer.incarnation >= member.incarnation:
        effects += _suspicions.record_success(node, peer.vm, now)
    for rumour in peer.rumours:
        effects += _process_rumour(node, rumour, now)
    effects += _reaches.probe_on_peer_report(
        node, peer.vm, peer.unreachable_domains, now, rng
    )
    effects += _fetches.fetch_missing(node, peer.bundle_ids, peer.address, now)
    return effects + _fetches.sync_members(node, peer, now)


def _process_rumour(
    node: _states.Node, rumour: _messages.Rumour, now: float
) -> list[_effects.Effect]:
    if rumour.vm == node.local_record.vm:
        return _process_own_rumour(node, rumour, now)
    if _members.merge(node, rumour, now):
        _members.queue_rumour(node, rumour.vm)
    return []


def _process_own_rumour(
    node: _states.Node, rumour: _messages.Rumour, now: float
) -> list[_effects.Effect]:
    """Refute a suspicion of this VM; accept that it is leaving.

    A suspicion is refuted by a greater revision. A greater incarnation
    belongs to a later process on this VM and is only logged.
    """
    if rumour.incarnation > node.incarnation:
        fields = {"incarnation": rumour.incarnation}
        return [_effects.ReportEvent("incarnation_superseded", fields)]
    if rumour.incarnation and rumour.incarnation < node.incarnation:
        return []
    own_member = node.members[node.local_record.vm]
    suspected = rumour.liveness != _messages.SERVING
    if suspected and rumour.revision >= node.revision:
        node.revision = min(rumour.revision + 1, _messages.COUNT_MAX)
    leaving = own_member.leaving or rumour.leaving
    own_rumour = _messages.Rumour(
        node.local_record.vm,
        node.incarnation,
        node.revision,
        _messages.SERVING,
        leaving,
        own_member.platform_unreachable,
    )
    if not _members.merge(node, own_rumour, now):
        return []
    _members.queue_rumour(node, node.local_record.vm)
    node.push_pending = True
    if not suspected:
        return [_effects.ReportEvent("listed_as_leaving", {})]
    fields = {"revision": str(node.revision)}
    return [_effects.ReportEvent("refuted", fields)]


def _process_members_reply(
    node: _states.Node, reply: _messages.MembersReply, now: float
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    try:
        rumours = _fetches.decode_members_reply(node, reply, now)
    except _messages.BadMessage as error:
        fields = {"reason": str(error)}
        return [_effects.ReportEvent("bad_members", fields)]
    for rumour in rumours:
        if rumour.vm == node.local_record.vm:
            effects += _process_own_rumour(node, rumour, now)
        else:
            _members.merge(node, rumour, now)
        _members.stop_sending_record(node, rumour.vm)
    return effects
