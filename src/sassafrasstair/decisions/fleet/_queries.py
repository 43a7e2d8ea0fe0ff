"""Read-only queries on a daemon's view of the fleet."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles


def in_force(node: _states.Node) -> bundles.Bundle | None:
    """Return the bundle in force here, or None before there is one."""
    return None if node.in_force is None else node.in_force.bundle


def other_bundles(
    node: _states.Node, now: float
) -> tuple[bundles.Bundle, ...]:
    """Return the bundles under which peers may have accepted requests.

    They are in force in other failure domains, or were so here until a newer
    one superseded them. The newest comes first; the one in force here is not
    among them.
    """
    found = {
        identifier: stored.bundle
        for identifier, stored in node.bundles_by_id.items()
        if stored is not node.in_force
    }
    found |= {
        each.bundle_id: each.bundle
        for each in node.superseded
        if now < each.kept_until
    }
    return tuple(found[identifier] for identifier in sorted(found)[::-1])


def ready_to_serve(node: _states.Node, now: float) -> bool:
    """Return whether this daemon is settled and has a bundle in force."""
    return node.settled and node.in_force is not None


def address_of(node: _states.Node, vm: str) -> str | None:
    """Return the "IP:port" of the daemon on ``vm``, None if unknown."""
    member = node.members.get(vm)
    return None if member is None else member.record.address


def incarnation_of(node: _states.Node, vm: str) -> str:
    """Return the latest known incarnation of ``vm``, empty if unknown."""
    member = node.members.get(vm)
    return "" if member is None else member.incarnation


def is_serving(node: _states.Node, vm: str) -> bool:
    """Return whether the member table lists ``vm`` as serving."""
    member = node.members.get(vm)
    return member is not None and member.liveness == _messages.SERVING


def is_leaving(node: _states.Node) -> bool:
    """Return whether this VM is leaving.

    The VM itself, a peer or the VM list may have said so.
    """
    return node.members[node.local_record.vm].leaving


def status(node: _states.Node) -> dict[str, typing.Any]:
    """Return the JSON object that ``sassafras status`` shows."""
    liveness_values = [member.liveness for member in node.members.values()]
    return {
        "vm": node.local_record.vm,
        "incarnation": node.incarnation,
        "settled": node.settled,
        "in_force": _bundle_status(node.in_force),
        "held": [
            _bundle_status(node.bundles_by_id[bundle_id])
            for bundle_id in sorted(node.bundles_by_id)
        ],
        "refused": dict(node.refusal_reasons),
        "conflicts": {str(v): d for v, d in node.dropped_digests.items()},
        "vm_list_index": node.vm_list_index,
        "watching": node.watching,
        "platform_failures": node.platform_failures,
        "members": {
            "known": len(liveness_values),
            "serving": liveness_values.count(_messages.SERVING),
            "suspected": liveness_values.count(_messages.SUSPECTED),
            "gone": liveness_values.count(_messages.GONE),
            "leaving": sum(m.leaving for m in node.members.values()),
            "barred": sorted(node.ejected),
        },
        "cut": sorted(
            name for name, r in node.reachability.items() if r.unreachable
        ),
    }


def _bundle_status(
    stored: _states.StoredBundle | None,
) -> dict[str, typing.Any] | None:
    if stored is None:
        return None
    return {
        "version": stored.bundle_id.version,
        "digest": stored.bundle_id.digest.hex(),
        "rollout": list(stored.bundle.rollout),
    }
