"""Choice of gossip partners, platform watchers and call targets by hashing."""

from __future__ import annotations

import functools
import hashlib
import math
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _states

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.fleet import _messages

# Rings of the own failure domain, each of which gives one gossip partner.
OWN_DOMAIN_RINGS = 4
# Watchers per failure domain: so many that reach the platform, and the most
# that there may be in all.
WATCHERS = 2
MAX_WATCHERS = 4
# One target in this many is reserved for other failure domains.
SPILLOVER_DIVISOR = 4


@functools.lru_cache(maxsize=32768)
def weight(chooser: str, chosen: str) -> int:
    """Return the rendezvous weight of ``chosen`` for ``chooser``."""
    text = f"{chooser} {chosen}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def partners(
    node: _states.Node,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the gossip partners in the own and in other failure domains.

    Each ring orders the members by a hash, and the partner is the next
    member in the ring. So every member is tested by one own-domain partner
    per ring, and connections stay few and long-lived.
    """
    if node.partners_version != node.membership_version:
        node.partners = (_own_partners(node), _other_partners(node))
        node.partners_version = node.membership_version
    return node.partners


def watchers(node: _states.Node) -> list[str]:
    """Return the VMs of the own failure domain that watch the platform.

    These are the two VMs of greatest weight. While they report that they
    cannot reach the platform they keep trying, and up to two more join.
    """
    domain = node.local_record.failure_domain
    ranked = sorted(
        (
            vm
            for vm in _serving_vms(node, domain)
            if not node.members[vm].ejected
        ),
        key=lambda vm: _watch_rank(node, vm),
        reverse=True,
    )[:MAX_WATCHERS]
    chosen: list[str] = []
    for vm in ranked:
        with_platform = [
            vm for vm in chosen if not node.members[vm].platform_unreachable
        ]
        if len(with_platform) >= WATCHERS:
            break
        chosen.append(vm)
    return chosen


def targets(
    node: _states.Node, service: str, now: float
) -> tuple[calls.Target, ...]:
    """Return the instances of ``service`` that this daemon may call.

    There are at most ``subset_size`` of the bundle: those of the own
    failure domain first, then some of other domains for spillover. Without
    a bundle there are none.
    """
    if node.in_force is None:
        return ()
    size = node.in_force.bundle.subset_size
    if node.targets_version != node.usability_version:
        node.targets = {}
        node.targets_version = node.usability_version
    key = (service, size)
    if key not in node.targets:
        node.targets[key] = choose_targets(node, service, size, now)
    return node.targets[key]


def choose_targets(
    node: _states.Node, service: str, size: int, now: float
) -> tuple[calls.Target, ...]:
    """Return up to ``size`` usable instances, see ``targets``."""
    usable = _usable_records(node, service, now)
    if not usable:
        # After a period of heavy packet loss every instance may be in
        # hold-down, so that all calls would be refused although all
        # instances serve. Then instances in hold-down are used.
        usable = _usable_records(node, service, math.inf)
    usable.sort(
        key=lambda record: weight(node.local_record.vm, record.vm),
        reverse=True,
    )
    domain = node.local_record.failure_domain
    own = [record for record in usable if record.failure_domain == domain]
    others = [record for record in usable if record.failure_domain != domain]
    others.sort(key=lambda record: record.region != node.local_record.region)
    spillover = min(len(others), max(1, size // SPILLOVER_DIVISOR))
    near = own[: size - spillover]
    chosen = near + others[: size - len(near)]
    return tuple(
        calls.Target(
            record.vm, record.service, record.failure_domain, record.region
        )
        for record in chosen
    )


def random_member(
    node: _states.Node,
    rng: random.Random,
    accept: abc.Callable[[_states.Member], bool],
) -> str | None:
    """Return a random other VM that ``accept`` accepts, None if none."""
    names = list(node.members)
    for _ in range(8):
        vm = rng.choice(names)
        if vm != node.local_record.vm and accept(node.members[vm]):
            return vm
    remaining = [
        vm
        for vm, member in node.members.items()
        if vm != node.local_record.vm and accept(member)
    ]
    return rng.choice(remaining) if remaining else None


def _usable_records(
    node: _states.Node, service: str, now: float
) -> list[_messages.Record]:
    return [
        member.record
        for member in node.members.values()
        if member.record.service == service
        and _members.is_usable(node, member, now)
    ]


def _own_partners(node: _states.Node) -> tuple[str, ...]:
    names = list(_serving_vms(node, node.local_record.failure_domain))
    return _next_in_rings(node.local_record.vm, names, "own", OWN_DOMAIN_RINGS)


def _other_partners(node: _states.Node) -> tuple[str, ...]:
    """Return one partner in each other failure domain."""
    # If partners were drawn from all domains alike, a small fleet might have
    # none in some domain, whose loss would go unnoticed until calls fail.
    by_domain: dict[str, list[str]] = {}
    for vm, member in node.members.items():
        domain = member.record.failure_domain
        if domain != node.local_record.failure_domain and _members.is_serving(
            member
        ):
            by_domain.setdefault(domain, []).append(vm)
    return tuple(
        vm
        for domain in sorted(by_domain)
        for vm in _next_in_rings(
            node.local_record.vm, by_domain[domain], "other", 1
        )
    )


def _next_in_rings(
    own_vm: str, names: list[str], kind: str, rings: int
) -> tuple[str, ...]:
    others = [vm for vm in names if vm != own_vm]
    if not others:
        return ()
    chosen = []
    for ring in range(rings):
        salt = f"{kind} {ring}"
        own_weight = weight(salt, own_vm)
        modulus = 1 << 64
        chosen.append(
            min(
                others,
                key=lambda vm: (weight(salt, vm) - own_weight) % modulus,
            )
        )
    return tuple(dict.fromkeys(chosen))


def _serving_vms(node: _states.Node, domain: str) -> abc.Iterator[str]:
    for vm, member in node.members.items():
        if member.record.failure_domain != domain:
            continue
        if _members.is_serving(member):
            yield vm


def _watch_rank(node: _states.Node, vm: str) -> tuple[bool, int]:
    # VMs that are leaving rank last but stay eligible. If all VMs of a
    # failure domain are being replaced and leave, nobody else could watch,
    # and new bundles would never come into force there.
    member = node.members[vm]
    return not member.leaving, weight(node.local_record.failure_domain, vm)
