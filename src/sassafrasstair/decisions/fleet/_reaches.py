"""Reachability of the other failure domains from this daemon.

Each daemon decides by its own contacts, that is, by its exchanges and calls.
A report from a peer of its own domain, that another domain is unreachable or
reachable again, only makes this daemon probe that domain itself, so no
agreement between daemons is needed.
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

# A domain becomes unreachable when contacts with ``UNREACHABLE_FAILURES`` of
# its VMs, or with all if it has fewer, fail within ``FAILURE_WINDOW`` seconds.
FAILURE_WINDOW = 3.0
UNREACHABLE_FAILURES = 3
# Seconds.
PROBE_INTERVAL = 2.0
# Number of VMs that are probed at once in a domain that may be unreachable.
PROBES_PER_DOMAIN = 3


def is_unreachable(node: _states.Node, domain: str) -> bool:
    """Return whether this daemon cannot reach ``domain``."""
    reach = node.reachability.get(domain)
    return reach is not None and reach.unreachable


def probe_on_peer_report(
    node: _states.Node,
    sender: str,
    domains: tuple[str, ...],
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Probe domains whose state an own-domain peer reports differently."""
    member = node.members.get(sender)
    own = node.local_record.failure_domain
    if member is None or member.record.failure_domain != own:
        return []
    effects: list[_effects.Effect] = []
    for domain in domains:
        if domain != own and not is_unreachable(node, domain):
            effects += _probe_if_due(node, domain, PROBES_PER_DOMAIN, now, rng)
    for domain, reach in node.reachability.items():
        if reach.unreachable and domain not in domains:
            effects += _probe_if_due(node, domain, 1, now, rng)
    return effects


def record_success(
    node: _states.Node, domain: str, now: float
) -> list[_effects.Effect]:
    """Record that a VM of ``domain`` was reached."""
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
    _readmit_domain(node, domain)
    _members.invalidate_caches(node)
    return [_effects.ReportEvent("domain_reached", {"failure_domain": domain})]


def probe_unreachable(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the due probes of unreachable failure domains."""
    effects: list[_effects.Effect] = []
    for domain, reach in node.reachability.items():
        if reach.unreachable and now >= reach.next_probe_at:
            reach.next_probe_at = now + PROBE_INTERVAL * rng.uniform(0.8, 1.2)
            effects += _probe_domain(node, domain, 1, rng)
    return effects


def _readmit_domain(node: _states.Node, domain: str) -> None:
    """Let the ejected VMs of ``domain`` take work again."""
    for vm in list(node.ejected):
        member = node.members[vm]
        if member.record.failure_domain == domain:
            member.ejected = False
            member.failures = 0
            node.ejected.discard(vm)


def record_failure(
    node: _states.Node,
    member: _states.Member,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Record a failed contact with ``member`` of another failure domain.

    The domain becomes unreachable at the threshold; below it, some of its
    VMs are probed.
    """
    domain = member.record.failure_domain
    reach = node.reachability.setdefault(domain, _states.DomainReachability())
    for vm in [
        vm for vm, at in reach.failed_at.items() if now - at > FAILURE_WINDOW
    ]:
        del reach.failed_at[vm]
    reach.failed_at[member.record.vm] = now
    if reach.unreachable:
        return []
    if len(reach.failed_at) < _failure_threshold(node, domain):
        return _probe_if_due(node, domain, PROBES_PER_DOMAIN, now, rng)
    reach.unreachable = True
    reach.changed_at = now
    reach.next_probe_at = now + PROBE_INTERVAL
    node.push_pending = True
    _members.invalidate_caches(node)
    return [_effects.ReportEvent("domain_cut", {"failure_domain": domain})]


def _failure_threshold(node: _states.Node, domain: str) -> int:
    """Return the number of failed VMs that makes ``domain`` unreachable."""
    serving = sum(
        member.record.failure_domain == domain and _members.is_serving(member)
        for member in node.members.values()
    )
    return max(1, min(UNREACHABLE_FAILURES, serving))


def _probe_if_due(
    node: _states.Node,
    domain: str,
    probes: int,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    reach = node.reachability.setdefault(domain, _states.DomainReachability())
    if now - reach.last_probed_at < PROBE_INTERVAL:
        return []
    reach.last_probed_at = now
    return _probe_domain(node, domain, probes, rng)


def _probe_domain(
    node: _states.Node, domain: str, probes: int, rng: random.Random
) -> list[_effects.Effect]:
    chosen: set[str] = set()

    def accept(member: _states.Member) -> bool:
        vm_name = member.record.vm
        same = member.record.failure_domain == domain
        return (
            same
            and vm_name not in chosen
            and not member.liveness != _messages.SERVING
        )

    for _ in range(probes):
        vm = _subsets.random_member(node, rng, accept)
        if vm is not None:
            chosen.add(vm)
    return [_summaries.probe(node, vm) for vm in sorted(chosen)]
