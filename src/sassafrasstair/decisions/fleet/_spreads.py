"""Periodic gossip, pushes of urgent updates, and the bootstrap of a daemon.

A daemon settles, that is, ends its bootstrap, once it has learned enough from
peers to serve.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _reaches
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _summaries
from sassafrasstair.decisions.fleet import _versions

if typing.TYPE_CHECKING:
    import random

# Intervals and waits are in seconds. The ``ROUNDS`` constants select every
# nth round for a partner in another domain or for a random peer.
GOSSIP_INTERVAL = 1.0
OTHER_DOMAIN_ROUNDS = 4
RANDOM_PEER_ROUNDS = 16
# Number of peers in the own and in other failure domains per push.
FANOUT_OWN = 2
FANOUT_OTHER = 1
BUNDLE_FANOUT_OWN = 3
BUNDLE_FANOUT_OTHER = 2
PUSH_INTERVAL = 0.25
TOKENS_PER_SECOND = 2.0
MAX_TOKENS = 24.0
# The first rounds after a start ask more peers, and a seed.
WIDE_BOOTSTRAP_ROUNDS = 2
# A daemon settles after ``SETTLE_WAIT``, or after ``MAX_SETTLE_WAIT`` while
# it still fetches bundles, or earlier once enough settled peers answered.
SETTLE_WAIT = 3.0
MAX_SETTLE_WAIT = 6.0
MIN_SETTLED_PEERS = 2


def gossip_if_due(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the periodic gossip exchange if it is due."""
    if not node.settled:
        return _gossip_during_bootstrap(node, rng)
    if now < node.next_gossip_at:
        return []
    node.next_gossip_at = now + GOSSIP_INTERVAL * rng.uniform(0.9, 1.1)
    node.gossip_round += 1
    if node.gossip_round % RANDOM_PEER_ROUNDS == 0:
        return _gossip_with_random_peer(node, rng)
    own, other = _subsets.partners(node)
    chosen = own
    if not own or (other and node.gossip_round % OTHER_DOMAIN_ROUNDS == 0):
        chosen = other
    if not chosen:
        return _gossip_with_random_peer(node, rng)
    vm = chosen[_rounds_of_kind(node, chosen is other) % len(chosen)]
    if vm in node.ejected or _is_unreachable(node, vm):
        return _gossip_with_random_peer(node, rng)
    return [_gossip(node, node.members[vm].record.address, vm)]


def push_if_due(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Push urgent updates without waiting for the next round.

    Pushes of rumours are limited in rate by tokens, one per receiver.
    """
    effects: list[_effects.Effect] = []
    if node.bundle_push_pending and node.settled:
        # Bundles need no token: only operators can publish them.
        node.bundle_push_pending = False
        others = BUNDLE_FANOUT_OTHER if node.watching else 0
        effects += _push_to_random(node, BUNDLE_FANOUT_OWN, others, rng)
    if not node.push_pending or now < node.next_push_at:
        return effects
    elapsed = max(0.0, now - node.tokens_refilled_at)
    node.push_tokens = min(
        MAX_TOKENS, node.push_tokens + elapsed * TOKENS_PER_SECOND
    )
    node.tokens_refilled_at = now
    if node.push_tokens < FANOUT_OWN + FANOUT_OTHER:
        return effects
    node.push_pending = False
    node.next_push_at = now + PUSH_INTERVAL
    node.push_tokens -= FANOUT_OWN + FANOUT_OTHER
    return effects + _push_to_partners(node, rng)


def settle_if_ready(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Mark this daemon as settled once it knows enough to serve."""
    if node.settled:
        return []
    if not _knows_enough(node, now):
        return []
    node.settled = True
    node.gossip_round = rng.randrange(RANDOM_PEER_ROUNDS)
    node.bundle_push_pending = bool(node.bundles_by_id)
    node.next_gossip_at = now + GOSSIP_INTERVAL * rng.random()
    return _versions.update_in_force(node)


def _knows_enough(node: _states.Node, now: float) -> bool:
    """Return whether the answers of peers, or the time, suffice to settle."""
    waited = now - node.started_at
    if node.fetches:
        return waited >= MAX_SETTLE_WAIT
    if waited >= SETTLE_WAIT:
        return True
    # If the platform is stale, a restarted daemon would put an old bundle
    # back in force, whereas settled peers have the newer one. Answers of
    # peers that have only just started themselves do not count.
    settled_peers = [
        name
        for name, settled in node.peer_settled_by_address.items()
        if settled
    ]
    own_domain_peers = [
        address
        for address in settled_peers
        if _is_in_own_domain(node, address)
    ]
    if len(own_domain_peers) >= MIN_SETTLED_PEERS:
        return True
    if len(settled_peers) + 1 < len(node.members):
        return False
    serving_addresses = {
        member.record.address
        for vm, member in node.members.items()
        if vm != node.local_record.vm and _members.is_serving(member)
    }
    return bool(settled_peers) and serving_addresses.union(node.seeds) <= set(
        settled_peers
    )


def _is_in_own_domain(node: _states.Node, address: str) -> bool:
    member = node.members.get(node.by_address.get(address, ""))
    if member is None:
        return False
    return member.record.failure_domain == node.local_record.failure_domain


def _rounds_of_kind(node: _states.Node, other: bool) -> int:
    """Return the number of own-domain or other-domain rounds so far."""
    others = node.gossip_round // OTHER_DOMAIN_ROUNDS
    return others if other else node.gossip_round - others


def _gossip_during_bootstrap(
    node: _states.Node, rng: random.Random
) -> list[_effects.Effect]:
    """Gossip with a few peers that have not answered as settled yet."""
    addresses: set[str] = set()

    def unsettled(member: _states.Member) -> bool:
        address = member.record.address
        return (
            not node.peer_settled_by_address.get(address)
            and address not in addresses
        )

    def unsettled_own(member: _states.Member) -> bool:
        same = member.record.failure_domain == node.local_record.failure_domain
        return same and unsettled(member)

    node.gossip_round += 1
    filters = (
        (unsettled_own, unsettled_own, unsettled)
        if node.gossip_round <= WIDE_BOOTSTRAP_ROUNDS
        else (unsettled_own,)
    )
    for accept in filters:
        vm = _subsets.random_member(node, rng, accept)
        if vm is not None:
            addresses.add(node.members[vm].record.address)
    seeds = [seed for seed in node.seeds if seed != node.local_record.address]
    if seeds and node.gossip_round <= WIDE_BOOTSTRAP_ROUNDS:
        addresses.add(rng.choice(seeds))
    return [
        _gossip(node, address, node.by_address.get(address, ""))
        for address in sorted(addresses)
    ]


def _gossip_with_random_peer(
    node: _states.Node, rng: random.Random
) -> list[_effects.Effect]:
    """Gossip with any peer, so that diverged member tables converge."""
    seeds = [
        seed
        for seed in node.seeds
        if seed != node.local_record.address and seed not in node.by_address
    ]
    if seeds and rng.random() < 0.25:
        return [_gossip(node, rng.choice(seeds), "")]
    vm = _subsets.random_member(
        node, rng, lambda member: not _is_unreachable(node, member.record.vm)
    )
    if vm is None:
        return []
    return [_gossip(node, node.members[vm].record.address, vm)]


def _push_to_random(
    node: _states.Node, own_count: int, other_count: int, rng: random.Random
) -> list[_effects.Effect]:
    """Gossip with random peers of the own and of other failure domains."""
    chosen: set[str] = set()

    def in_own_domain(member: _states.Member) -> bool:
        return _accepts_push(node, member, chosen) and (
            member.record.failure_domain == node.local_record.failure_domain
        )

    def in_other_domain(member: _states.Member) -> bool:
        return _accepts_push(node, member, chosen) and (
            member.record.failure_domain != node.local_record.failure_domain
        )

    for accept in (in_own_domain,) * own_count + (
        in_other_domain,
    ) * other_count:
        vm = _subsets.random_member(node, rng, accept)
        if vm is not None:
            chosen.add(vm)
    return [
        _gossip(node, node.members[vm].record.address, vm)
        for vm in sorted(chosen)
    ]


def _push_to_partners(
    node: _states.Node, rng: random.Random
) -> list[_effects.Effect]:
    """Gossip with some partners, whose connections are already open."""
    own, other = _subsets.partners(node)
    effects: list[_effects.Effect] = []
    for vms, count in ((own, FANOUT_OWN), (other, FANOUT_OTHER)):
        eligible = [
            vm for vm in vms if _accepts_push(node, node.members[vm], set())
        ]
        for vm in rng.sample(eligible, min(count, len(eligible))):
            address = node.members[vm].record.address
            effects.append(_gossip(node, address, vm))
    return effects


def _accepts_push(
    node: _states.Node, member: _states.Member, chosen: set[str]
) -> bool:
    return (
        member.record.vm not in chosen
        and _members.is_serving(member)
        and not member.ejected
        and not _reaches.is_unreachable(node, member.record.failure_domain)
    )


def _is_unreachable(node: _states.Node, vm: str) -> bool:
    domain = node.members[vm].record.failure_domain
    return _reaches.is_unreachable(node, domain)


def _gossip(node: _states.Node, address: str, vm: str) -> _effects.Effect:
    message = _summaries.build_summary(node, _messages.Gossip, vm)
    return _effects.Exchange(address, message)
