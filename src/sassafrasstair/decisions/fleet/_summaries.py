"""Building of the summaries that gossip exchanges, and so probes, carry."""

from __future__ import annotations

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states


def probe(node: _states.Node, vm: str) -> _effects.Effect:
    """Return a gossip exchange with a short timeout that tests ``vm``."""
    message = build_summary(node, _messages.Gossip, vm)
    address = node.members[vm].record.address
    return _effects.Exchange(address, message, _effects.PROBE_TIMEOUT)


def build_summary(
    node: _states.Node,
    kind: type[_messages.Gossip] | type[_messages.GossipReply],
    receiver: str,
    known: tuple[_messages.Rumour, ...] = (),
) -> _messages.Gossip | _messages.GossipReply:
    """Return a ``kind`` of summary of this daemon for ``receiver``.

    ``known`` are the rumours that the receiver has just sent.
    """
    return kind(
        node.local_record.vm,
        node.local_record.address,
        node.incarnation,
        node.settled,
        node.vm_list_index,
        _members.checksum(node),
        tuple(node.bundles_by_id),
        tuple(
            name
            for name, reach in node.reachability.items()
            if reach.unreachable
        ),
        _members.take_rumours(node, receiver, known),
    )
