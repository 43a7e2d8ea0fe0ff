"""Which other failure domains can be reached from here.

Each daemon judges by what it saw itself. A peer of its own domain that
finds one cut off, or back, only has it look for itself; so views follow
the network and need no agreement.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _summaries

if typing.TYPE_CHECKING:
    import random

CUT_WINDOW = 3.0
FAILURES_TO_CUT = 3
REACH_RETRY = 2.0
REACH_PROBES = 3


def is_cut(node: _states.Node, domain: str) -> bool:
    """Return whether ``domain`` cannot be reached from here."""
    reach = node.reachability.get(domain)
    return reach is not None and reach.unreachable


def told_cut(
    node: _states.Node,
    sender: str,
    domains: tuple[str, ...],
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Look for oneself at what an own-domain peer says of its reach."""
    member = node.members.get(sender)
    own = node.local_record.failure_domain
    if member is None or member.record.failure_domain != own:
        return []
    effects: list[_effects.Effect] = []
    for domain in domains:
        if domain != own and not is_cut(node, domain):
            effects += _look(node, domain, REACH_PROBES, now, rng)
    for domain, reach in node.reachability.items():
        if reach.unreachable and domain not in domains:
            effects += _look(node, domain, 1, now, rng)
    return effects


def reached(
    node: _states.Node, domain: str, now: float
) -> list[_effects.Effect]:
    """Take in that a VM of ``domain`` was reached."""
    if domain == node.local_record.failure_domain:
        return []
    reach = node.reachability.setdefault(domain, _states.DomainReachability())
    reach.last_success_at = now
    reach.failed_at.clear()
    if not reach.unreachable:
        return []
    reach.unreachable = False
    reach.changed_at = now
    node.push_pending = True
    _free_domain(node, domain)
    _members.changed(node)
    return [_effects.ReportEvent("domain_reached", {"failure_domain": domain})]


def review(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return probes of the failure domains that are cut off."""
    effects: list[_effects.Effect] = []
    for domain, reach in node.reachability.items():
        if reach.unreachable and now >= reach.next_probe_at:
            reach.next_probe_at = now + REACH_RETRY * rng.uniform(0.8, 1.2)
            effects += _probe_domain(node, domain, 1, rng)
    return effects


def _free_domain(node: _states.Node, domain: str) -> None:
    for vm in list(node.ejected):
        member = node.members[vm]
        if member.record.failure_domain == domain:
            member.ejected = False
            member.failures = 0
            node.ejected.discard(vm)


def missed(
    node: _states.Node,
    member: _states.Member,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Take in a failure towards another domain; see if it is cut off."""
    domain = member.record.failure_domain
    reach = node.reachability.setdefault(domain, _states.DomainReachability())
    for vm in [
        vm for vm, at in reach.failed_at.items() if now - at > CUT_WINDOW
    ]:
        del reach.failed_at[vm]
    reach.failed_at[member.record.vm] = now
    if reach.unreachable:
        return []
    if len(reach.failed_at) < _enough(node, domain):
        return _look(node, domain, REACH_PROBES, now, rng)
    reach.unreachable = True
    reach.changed_at = now
    reach.next_probe_at = now + REACH_RETRY
    node.push_pending = True
    _members.changed(node)
    return [_effects.ReportEvent("domain_cut", {"failure_domain": domain})]


def _enough(node: _states.Node, domain: str) -> int:
    serving = sum(
        member.record.failure_domain == domain and _members.is_member(member)
        for member in node.members.values()
    )
    return max(1, min(FAILURES_TO_CUT, serving))


def _look(
    node: _states.Node,
    domain: str,
    probes: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    reach = node.reachability.setdefault(domain, _states.DomainReachability())
    if now - reach.last_probed_at < REACH_RETRY:
        return []
    reach.last_probed_at = now
    return _probe_domain(node, domain, probes, rng)


def _probe_domain(
    node: _states.Node, domain: str, probes: int, rng: random.Random
) -> list[_effects.Effect]:
    chosen: set[str] = set()

    def accept(member: _states.Member) -> bool:
        name = member.record.vm
        same = member.record.failure_domain == domain
        return (
            same
            and name not in chosen
            and not member.liveness != _messages.SERVING
        )

    for _ in range(probes):
        vm = _subsets.random_member(node, rng, accept)
        if vm is not None:
            chosen.add(vm)
    return [_summaries.probe(node, vm) for vm in sorted(chosen)]
