"""The share of each limit that one failure domain may hand out.

Each domain starts with an equal share of each limit. A domain lowers its
claim to a limit when it has little demand, and another domain can then raise
its own. A lowered claim takes effect at once, a raised one only when the
allocators of all other domains have acknowledged it and count it as taken. So
the shares in use never add up to more than the whole limit, whichever messages
are lost, and a domain that is partitioned from the others continues with the
share that it has.

After a long time without contact both sides return to the equal share.

When a process starts to allocate for a domain, it adopts the share that the
other domains reserve for it. When another process has allocated for the
domain before, the new one replaces it. The ``mark`` of a process is its
identity, by which the other domains notice the replacement. The one before may
not notice it, and continue with the votes of some daemons and the claims of
that time. So a claim is lowered only by an allocator with all votes, and one
without any has to adopt the share again.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.quotas import _limits

MIN_SHARE_CHANGE = 0.03
"""A share stays as it is if it would change by less than this."""
DEMAND_CHANGE_FACTOR = 1.2
MIN_DEMAND_CHANGE = 0.05
"""A demand is sent again when it has changed by at least this factor and by at
least ``MIN_DEMAND_CHANGE`` requests a second."""
REPLACE_SECONDS = 1.2
"""After this time without an update from the allocator of a domain another
process may replace it."""
ADOPT_PARTIAL_SECONDS = 2.0
"""After this time the share of the own domain is adopted without the domains
that do not answer, if a domain that answered has adopted its own."""
ADOPT_ALONE_SECONDS = 10.0
"""After this time the share is adopted whichever domains have answered."""
REVERT_SECONDS = 50.0
PEER_REVERT_SECONDS = 60.0
"""After ``REVERT_SECONDS`` without contact a domain returns to the equal
share. After ``PEER_REVERT_SECONDS`` the others assume that it has done so."""


@dataclasses.dataclass(slots=True)
class PeerDomain:
    """The known state of another failure domain.

    ``mark`` is the identity of the process that allocates there, ``host`` is
    its VM, and ``serial`` is that of its last update. ``claims`` and
    ``demands`` are those that it last reported; ``claims_known`` is set once
    it has reported all of its claims. ``acked_claims`` and ``acked_demands``
    are those of the own domain that it has acknowledged. The share of the own
    domain is never more than its entry in ``binding_claims``, or the equal
    share without one. A raised claim is entered there when it is acknowledged,
    a lowered one as soon as it is sent: the other domain may count on it even
    if its acknowledgement is lost.

    ``all_acked`` is set once the other domain has acknowledged an update with
    all claims and demands. Until then each update lists all of them. After
    that an update lists only those that differ from ``acked_claims`` and
    ``acked_demands``, until they are acknowledged.

    The other domain last sent an update at ``last_update_at`` and an
    acknowledgement at ``last_ack_at``. While the own domain is adopting its
    share, ``reserved_claims`` is what the other domain has reserved for it.
    ``adopting`` is set while the other domain is adopting its own share.
    """

    mark: str = ""
    host: str = ""
    serial: int = -1
    claims_known: bool = False
    all_acked: bool = False
    last_update_at: float = -math.inf
    last_ack_at: float = -math.inf
    claims: _messages.Amounts = dataclasses.field(default_factory=dict)
    demands: _messages.Amounts = dataclasses.field(default_factory=dict)
    acked_claims: _messages.Amounts = dataclasses.field(default_factory=dict)
    binding_claims: _messages.Amounts = dataclasses.field(default_factory=dict)
    acked_demands: _messages.Amounts = dataclasses.field(default_factory=dict)
    reserved_claims: _messages.Amounts | None = None
    adopting: bool = True


@dataclasses.dataclass(slots=True)
class Shares:
    """Shares of one failure domain, by customer.

    ``mark`` is the identity of this process. ``equal_share`` is the part of a
    limit that each domain has without a claim. ``adopting`` is set, since
    ``adopting_since``, until this process has adopted the share that the other
    domains reserve for its domain. ``other_allocator`` is the host of another
    process that allocates for the domain, or ''. ``serial`` is that of the
    last update sent.
    """

    domain: str
    host: str
    mark: str
    equal_share: float
    adopting_since: float
    peer_domains: dict[str, PeerDomain]
    claims: _messages.Amounts = dataclasses.field(default_factory=dict)
    demands: _messages.Amounts = dataclasses.field(default_factory=dict)
    adopting: bool = True
    other_allocator: str = ""
    serial: int = 0


def new_shares(
    domain: str,
    host: str,
    mark: str,
    domains: abc.Collection[str],
    now: float,
) -> Shares:
    """Return the shares of ``domain``, which is one of ``domains``."""
    others = {each: PeerDomain() for each in domains if each != domain}
    shares = Shares(domain, host, mark, 1.0 / (len(others) + 1), now, others)
    shares.adopting = bool(others)
    return shares


def share_available(shares: Shares, customer: str) -> float:
    """Return the part of a customer's limit that may be granted here."""
    if shares.adopting:
        return 0.0
    equal = shares.equal_share
    most = shares.claims.get(customer, equal)
    available = 1.0
    known = True
    for peer in shares.peer_domains.values():
        most = min(most, peer.binding_claims.get(customer, equal))
        available -= peer.claims.get(customer, equal)
        known = known and peer.claims_known
    return max(0.0, min(most, available) if known else most)


def set_demands(
    shares: Shares,
    demands: abc.Mapping[str, float],
    limits: abc.Mapping[str, _limits.Limit],
    may_lower: bool = True,
) -> None:
    """Set the demands of the own domain, and update its claims to match.

    Claims are lowered only if ``may_lower`` is set.
    """
    shares.demands = {
        customer: demands.get(customer, 0.0) for customer in limits
    }
    for gone in [each for each in shares.claims if each not in limits]:
        del shares.claims[gone]
    if shares.adopting:
        return
    for customer, limit in limits.items():
        _update_claim(shares, customer, limit.rate, may_lower)


def _update_claim(
    shares: Shares, customer: str, rate: float, may_lower: bool
) -> None:
    equal = shares.equal_share
    peers = shares.peer_domains.values()
    if not all(peer.claims_known for peer in peers):
        return
    own = shares.demands[customer]
    total = own + sum(peer.demands.get(customer, 0.0) for peer in peers)
    taken = sum(peer.claims.get(customer, equal) for peer in peers)
    target = min(
        _share_by_demand(own, total, rate, equal), max(0.0, 1.0 - taken)
    )
    current = shares.claims.get(customer, equal)
    if target < current and not may_lower:
        return
    if abs(target - current) >= MIN_SHARE_CHANGE or (
        current + taken > 1.0 + 1e-9
    ):
        shares.claims[customer] = target


def _share_by_demand(
    own: float, total: float, rate: float, equal: float
) -> float:
    """Return the share that is due by demand.

    The part of the limit that no domain demands is divided equally.
    """
    if total >= rate:
        return own / total
    return (own + (rate - total) * equal) / rate


def update_for(shares: Shares, domain: str) -> _messages.Update:
    """Return the update to send to the allocator of another domain.

    It is ``whole``, with all claims and demands, until the other allocator has
    acknowledged one such update.
    """
    peer = shares.peer_domains[domain]
    equal = shares.equal_share
    whole = not peer.all_acked
    acked_claims = {} if whole else peer.acked_claims
    acked_demands = {} if whole else peer.acked_demands
    claims = {
        customer: claim
        for customer, claim in shares.claims.items()
        if claim != acked_claims.get(customer, equal)
    }
    demands = {
        customer: rate
        for customer, rate in shares.demands.items()
        if _demand_changed(rate, acked_demands.get(customer, 0.0))
    }
    for customer, claim in claims.items():
        # If the acknowledgement is lost the lower claim still counts.
        previous = peer.binding_claims.get(customer, equal)
        peer.binding_claims[customer] = min(previous, claim)
    shares.serial += 1
    return _messages.Update(
        shares.domain,
        shares.host,
        shares.mark,
        shares.serial,
        whole,
        shares.adopting,
        claims,
        demands,
    )


def has_changes(shares: Shares, domain: str) -> bool:
    """Return whether an update to a domain should be sent at once."""
    peer = shares.peer_domains[domain]
    equal = shares.equal_share
    return any(
        claim != peer.acked_claims.get(customer, equal)
        for customer, claim in shares.claims.items()
    ) or any(
        _demand_changed(rate, peer.acked_demands.get(customer, 0.0))
        for customer, rate in shares.demands.items()
    )


def receive_update(
    shares: Shares, update: _messages.Update, now: float
) -> _messages.Acknowledged:
    """Apply an update from another domain; return its acknowledgement.

    ``occupied`` names the host that allocates for that domain if the sender
    may not replace it. ``yours`` are the claims of the domain that are
    reserved for the sender while it is adopting.
    """
    peer = shares.peer_domains.get(update.domain)
    if peer is None:
        return _messages.Acknowledged(shares.mark, "", "", shares.adopting, {})
    if peer.mark != update.mark and not _may_replace(peer, update, now):
        return _messages.Acknowledged(
            shares.mark, "", peer.host, shares.adopting, {}
        )
    reserved = dict(peer.claims) if update.adopting else {}
    if peer.mark != update.mark:
        # The new process has none of the state of its predecessor.
        peer.mark, peer.host, peer.serial = update.mark, update.host, -1
        _clear_acked(peer)
        peer.claims_known = False
    peer.last_update_at = now
    peer.adopting = update.adopting
    if update.serial > peer.serial:
        peer.serial = update.serial
        if not update.adopting:
            if update.whole:
                peer.claims, peer.demands = {}, {}
                peer.claims_known = True
            peer.claims.update(update.claims)
            peer.demands.update(update.demands)
    return _messages.Acknowledged(
        shares.mark, "", "", shares.adopting, reserved
    )


def accept_acknowledgement(
    shares: Shares,
    domain: str,
    update: _messages.Update,
    answer: _messages.Acknowledged,
    now: float,
) -> None:
    """Apply the acknowledgement of an update that was sent.

    ``occupied`` in the answer is the host of another process that the peer
    takes for the allocator of the own domain. ``yours`` are the claims that
    the peer reserves for the own domain.
    """
    peer = shares.peer_domains[domain]
    peer.last_ack_at = now
    if answer.occupied:
        shares.other_allocator = answer.occupied
        restart_adoption(shares, now)
        return
    shares.other_allocator = ""
    if peer.mark and answer.mark != peer.mark:
        return
    if shares.adopting:
        peer.reserved_claims = answer.yours
        peer.adopting = answer.adopting
        return
    if update.adopting:
        return
    peer.acked_claims.update(update.claims)
    peer.binding_claims.update(update.claims)
    peer.acked_demands.update(update.demands)
    peer.all_acked = peer.all_acked or update.whole


def adopt_share(shares: Shares, now: float) -> bool:
    """Adopt the share that the other domains reserve for the own domain.

    It is adopted once enough domains have answered. Return whether it was
    adopted in this call.
    """
    if not shares.adopting:
        return False
    peers = list(shares.peer_domains.values())
    replies = [peer for peer in peers if peer.reserved_claims is not None]
    waited = now - shares.adopting_since
    any_adopted = any(not peer.adopting for peer in replies)
    enough = (
        len(replies) == len(peers)
        or (any_adopted and waited >= ADOPT_PARTIAL_SECONDS)
        or waited >= ADOPT_ALONE_SECONDS
    )
    if not enough or shares.other_allocator:
        return False
    shares.adopting = False
    equal = shares.equal_share
    claims: _messages.Amounts = {}
    for peer in replies:
        for customer, claim in (peer.reserved_claims or {}).items():
            claims[customer] = min(claims.get(customer, claim), claim)
    shares.claims = claims
    for peer in peers:
        # The other domains already count what they reserved as taken.
        reserved = peer.reserved_claims or {}
        peer.acked_claims = {
            customer: reserved.get(customer, equal) for customer in claims
        }
        peer.binding_claims = {
            customer: min(claim, peer.acked_claims[customer])
            for customer, claim in claims.items()
        }
        peer.reserved_claims = None
    return True


def tick(shares: Shares, present: abc.Collection[str], now: float) -> None:
    """Return to equal shares after a long time without contact.

    ``present`` are the domains in which daemons are known. A silent domain
    among them keeps its claims: it may still be in contact with a third
    domain, and then does not return to its equal share.
    """
    equal = shares.equal_share
    peers = shares.peer_domains
    contact = max(
        (
            max(peer.last_ack_at, peer.last_update_at)
            for peer in peers.values()
        ),
        default=now,
    )
    isolated = now - max(contact, shares.adopting_since) >= REVERT_SECONDS
    if isolated and not shares.adopting:
        for customer, claim in shares.claims.items():
            shares.claims[customer] = min(claim, equal)
    for domain, peer in peers.items():
        silent = (
            now - max(peer.last_update_at, shares.adopting_since)
            >= PEER_REVERT_SECONDS
        )
        if not silent or domain in present:
            continue
        for customer, claim in peer.claims.items():
            peer.claims[customer] = min(claim, equal)


def restart_adoption(shares: Shares, now: float) -> None:
    """Start adopting again: another process may allocate for the domain."""
    shares.adopting = True
    shares.adopting_since = now
    shares.claims = {}
    for peer in shares.peer_domains.values():
        _clear_acked(peer)
        peer.reserved_claims = None


def _clear_acked(peer: PeerDomain) -> None:
    peer.acked_claims, peer.binding_claims = {}, {}
    peer.acked_demands = {}
    peer.all_acked = False


def _may_replace(
    peer: PeerDomain, update: _messages.Update, now: float
) -> bool:
    """Return whether the sender may replace the allocator of a domain."""
    if not peer.mark or peer.host == update.host:
        return True
    if now - peer.last_update_at >= REPLACE_SECONDS:
        return True
    if not peer.adopting:
        return False
    # Of two processes that start at the same time exactly one must win.
    return not update.adopting or update.host < peer.host


def _demand_changed(rate: float, acked: float) -> bool:
    low, high = min(rate, acked), max(rate, acked)
    return (
        high - low >= MIN_DEMAND_CHANGE and high >= DEMAND_CHANGE_FACTOR * low
    )
