"""Whom this daemon gossips with, and when it knows enough to serve."""

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

GOSSIP_EVERY = 1.0
OTHER_DOMAIN_EACH = 4
STRANGER_EACH = 16
FANOUT_OWN = 2
FANOUT_OTHER = 1
OFFERS_OWN = 3
OFFERS_OTHER = 2
FLUSH_EVERY = 0.25
TOKENS_PER_SECOND = 2.0
MOST_TOKENS = 24.0
ASK_MANY = 2
SETTLE_WAIT = 3.0
SETTLE_LONGEST = 6.0
SETTLE_ANSWERS = 2


def round_due(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the periodic exchange if it is due."""
    if not node.settled:
        return _ask(node, rng)
    if now < node.next_gossip_at:
        return []
    node.next_gossip_at = now + GOSSIP_EVERY * rng.uniform(0.9, 1.1)
    node.gossip_round += 1
    if node.gossip_round % STRANGER_EACH == 0:
        return _to_stranger(node, rng)
    own, other = _subsets.partners(node)
    chosen = own
    if not own or (other and node.gossip_round % OTHER_DOMAIN_EACH == 0):
        chosen = other
    if not chosen:
        return _to_stranger(node, rng)
    vm = chosen[_turn(node, chosen is other) % len(chosen)]
    if vm in node.ejected or _cut_off(node, vm):
        return _to_stranger(node, rng)
    return [_gossip(node, node.members[vm].record.address, vm)]


def flush(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Pass on at once what cannot wait for the next round."""
    effects: list[_effects.Effect] = []
    if node.bundle_push_pending and node.settled:
        # Bundles pay no token: only operators can make them.
        node.bundle_push_pending = False
        others = OFFERS_OTHER if node.watching else 0
        effects += _push(node, OFFERS_OWN, others, rng)
    if not node.push_pending or now < node.next_flush:
        return effects
    elapsed = max(0.0, now - node.flushed)
    node.push_tokens = min(
        MOST_TOKENS, node.push_tokens + elapsed * TOKENS_PER_SECOND
    )
    node.flushed = now
    if node.push_tokens < FANOUT_OWN + FANOUT_OTHER:
        return effects
    node.push_pending = False
    node.next_flush = now + FLUSH_EVERY
    node.push_tokens -= FANOUT_OWN + FANOUT_OTHER
    return effects + _push_to_partners(node, rng)


def settle(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """See whether this daemon knows enough to serve."""
    if node.settled:
        return []
    if not _knows_enough(node, now):
        return []
    node.settled = True
    node.gossip_round = rng.randrange(STRANGER_EACH)
    node.bundle_push_pending = bool(node.bundles_by_id)
    node.next_gossip_at = now + GOSSIP_EVERY * rng.random()
    return _versions.settle(node)


def _knows_enough(node: _states.Node, now: float) -> bool:
    waited = now - node.started_at
    if node.fetches:
        return waited >= SETTLE_LONGEST
    if waited >= SETTLE_WAIT:
        return True
    # A restarted daemon beside a stale platform would bring an old bundle
    # back into force: peers that were settled before it know better. An
    # answer of a peer that has just started itself shows nothing.
    knowing = [name for name, ok in node.settled_by_address.items() if ok]
    own = [name for name in knowing if _is_own(node, name)]
    if len(own) >= SETTLE_ANSWERS:
        return True
    if len(knowing) + 1 < len(node.members):
        return False
    known = {
        member.record.address
        for vm, member in node.members.items()
        if vm != node.local_record.vm and _members.is_member(member)
    }
    return bool(knowing) and known.union(node.seeds) <= set(knowing)


def _is_own(node: _states.Node, address: str) -> bool:
    member = node.members.get(node.by_address.get(address, ""))
    if member is None:
        return False
    return member.record.failure_domain == node.local_record.failure_domain


def _turn(node: _states.Node, other: bool) -> int:
    """Return the count of rounds of the kind, to go through all partners."""
    others = node.gossip_round // OTHER_DOMAIN_EACH
    return others if other else node.gossip_round - others


def _ask(node: _states.Node, rng: random.Random) -> list[_effects.Effect]:
    """Ask a few peers that have not answered yet."""
    addresses: set[str] = set()

    def fresh(member: _states.Member) -> bool:
        address = member.record.address
        return (
            not node.settled_by_address.get(address)
            and address not in addresses
        )

    def own(member: _states.Member) -> bool:
        same = member.record.failure_domain == node.local_record.failure_domain
        return same and fresh(member)

    node.gossip_round += 1
    wanted = (own, own, fresh) if node.gossip_round <= ASK_MANY else (own,)
    for accept in wanted:
        vm = _subsets.random_member(node, rng, accept)
        if vm is not None:
            addresses.add(node.members[vm].record.address)
    seeds = [one for one in node.seeds if one != node.local_record.address]
    if seeds and node.gossip_round <= ASK_MANY:
        addresses.add(rng.choice(seeds))
    return [
        _gossip(node, address, node.by_address.get(address, ""))
        for address in sorted(addresses)
    ]


def _to_stranger(
    node: _states.Node, rng: random.Random
) -> list[_effects.Effect]:
    """Gossip with anyone: heals views that have grown apart."""
    seeds = [
        one
        for one in node.seeds
        if one != node.local_record.address and one not in node.by_address
    ]
    if seeds and rng.random() < 0.25:
        return [_gossip(node, rng.choice(seeds), "")]
    vm = _subsets.random_member(
        node, rng, lambda member: not _cut_off(node, member.record.vm)
    )
    if vm is None:
        return []
    return [_gossip(node, node.members[vm].record.address, vm)]


def _push(
    node: _states.Node, own: int, other: int, rng: random.Random
) -> list[_effects.Effect]:
    chosen: set[str] = set()

    def home(member: _states.Member) -> bool:
        return _pushable(node, member, chosen) and (
            member.record.failure_domain == node.local_record.failure_domain
        )

    def away(member: _states.Member) -> bool:
        return _pushable(node, member, chosen) and (
            member.record.failure_domain != node.local_record.failure_domain
        )

    for accept in (home,) * own + (away,) * other:
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
    """Gossip with some partners, whose connections are open already."""
    own, other = _subsets.partners(node)
    effects: list[_effects.Effect] = []
    for vms, count in ((own, FANOUT_OWN), (other, FANOUT_OTHER)):
        able = [vm for vm in vms if _pushable(node, node.members[vm], set())]
        for vm in rng.sample(able, min(count, len(able))):
            address = node.members[vm].record.address
            effects.append(_gossip(node, address, vm))
    return effects


def _pushable(
    node: _states.Node, member: _states.Member, chosen: set[str]
) -> bool:
    return (
        member.record.vm not in chosen
        and _members.is_member(member)
        and not member.ejected
        and not _reaches.is_cut(node, member.record.failure_domain)
    )


def _cut_off(node: _states.Node, vm: str) -> bool:
    domain = node.members[vm].record.failure_domain
    return _reaches.is_cut(node, domain)


def _gossip(node: _states.Node, address: str, vm: str) -> _effects.Effect:
    message = _summaries.summary(node, _messages.Gossip, vm)
    return _effects.Exchange(address, message)
