"""Rendezvous hashing: partners, watchers and the targets of calls."""

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

OWN_RINGS = 4
WATCHERS = 2
MOST_WATCHERS = 4
SPILL_SHARE = 4


@functools.lru_cache(maxsize=32768)
def weight(chooser: str, chosen: str) -> int:
    """Return the rendezvous weight of ``chosen`` for ``chooser``."""
    text = f"{chooser} {chosen}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def partners(
    node: _states.Node,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the gossip partners: of the own failure domain, of others.

    Each ring is the members in the order of a hash; a partner is the next
    one. So every member has exactly as many own-domain partners that test
    it as there are rings, and connections stay few and lasting.
    """
    if node.partners_roster != node.membership_version:
        node.partners = (_own_partners(node), _other_partners(node))
        node.partners_roster = node.membership_version
    return node.partners


def watchers(node: _states.Node) -> list[str]:
    """Return who of the own failure domain watches the platform.

    The two of greatest weight; while these say that they are blind they
    keep trying, and up to two more take over.
    """
    domain = node.local_record.failure_domain
    ranked = sorted(
        (vm for vm in _domain(node, domain) if not node.members[vm].ejected),
        key=lambda vm: _watch_rank(node, vm),
        reverse=True,
    )[:MOST_WATCHERS]
    chosen: list[str] = []
    for vm in ranked:
        sighted = [
            vm for vm in chosen if not node.members[vm].platform_unreachable
        ]
        if len(sighted) >= WATCHERS:
            break
        chosen.append(vm)
    return chosen


def targets(
    node: _states.Node, service: str, now: float
) -> tuple[calls.Target, ...]:
    """Return the instances of ``service`` that this daemon may call.

    At most the bundle's ``subset_size``, those of the own failure domain
    first, and some of others to spill over to; none before there is a
    bundle.
    """
    if node.in_force is None:
        return ()
    size = node.in_force.bundle.subset_size
    if node.targets_edition != node.usability_version:
        node.targets = {}
        node.targets_edition = node.usability_version
    key = (service, size)
    if key not in node.targets:
        node.targets[key] = choose(node, service, size, now)
    return node.targets[key]


def choose(
    node: _states.Node, service: str, size: int, now: float
) -> tuple[calls.Target, ...]:
    """Return up to ``size`` usable instances, see ``targets``."""
    live = _usable(node, service, now)
    if not live:
        # Failure: after a time of heavy loss every instance is held back
        # as one that flaps, and all calls are refused though all serve.
        # Held back instances are better than none.
        live = _usable(node, service, math.inf)
    live.sort(
        key=lambda record: weight(node.local_record.vm, record.vm),
        reverse=True,
    )
    domain = node.local_record.failure_domain
    own = [record for record in live if record.failure_domain == domain]
    others = [record for record in live if record.failure_domain != domain]
    others.sort(key=lambda record: record.region != node.local_record.region)
    spill = min(len(others), max(1, size // SPILL_SHARE))
    near = own[: size - spill]
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
    """Return a VM other than this one that ``accept`` takes, if any."""
    names = list(node.members)
    for _ in range(8):
        vm = rng.choice(names)
        if vm != node.local_record.vm and accept(node.members[vm]):
            return vm
    left = [
        vm
        for vm, member in node.members.items()
        if vm != node.local_record.vm and accept(member)
    ]
    return rng.choice(left) if left else None


def _usable(
    node: _states.Node, service: str, now: float
) -> list[_messages.Record]:
    return [
        member.record
        for member in node.members.values()
        if member.record.service == service
        and _members.usable(node, member, now)
    ]


def _own_partners(node: _states.Node) -> tuple[str, ...]:
    names = list(_domain(node, node.local_record.failure_domain))
    return _next_in_rings(node.local_record.vm, names, "own", OWN_RINGS)


def _other_partners(node: _states.Node) -> tuple[str, ...]:
    """Return one partner in each other failure domain."""
    # With a few partners anywhere, a small fleet may have nobody who tests
    # some domain: its loss would go unseen until calls fail.
    by_domain: dict[str, list[str]] = {}
    for vm, member in node.members.items():
        domain = member.record.failure_domain
        if domain != node.local_record.failure_domain and _members.is_member(
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
    me: str, names: list[str], kind: str, rings: int
) -> tuple[str, ...]:
    others = [vm for vm in names if vm != me]
    if not others:
        return ()
    chosen = []
    for ring in range(rings):
        salt = f"{kind} {ring}"
        mine = weight(salt, me)
        modulus = 1 << 64
        chosen.append(
            min(others, key=lambda vm: (weight(salt, vm) - mine) % modulus)
        )
    return tuple(dict.fromkeys(chosen))


def _domain(node: _states.Node, domain: str) -> abc.Iterator[str]:
    for vm, member in node.members.items():
        if member.record.failure_domain != domain:
            continue
        if _members.is_member(member):
            yield vm


def _watch_rank(node: _states.Node, vm: str) -> tuple[bool, int]:
    # Failure: all VMs of a failure domain are being replaced and leave;
    # with nobody left to watch, new bundles never come into force there.
    # Those that leave therefore rank last but are not left out.
    member = node.members[vm]
    return not member.leaving, weight(node.local_record.failure_domain, vm)
