"""The share of each limit that one failure domain may hand out.

Escrow with lending: by right each domain has an equal share. What a domain
has little demand for it gives up, and another claims it. A claim that is
lowered holds at once, and one that is raised only when the allocators of all
other domains have acknowledged it: they then reckon with it. So the shares in
use never add up to more than the whole, whichever messages are lost, and a
domain that is cut off goes on with the share that it has.

After a long time without contact both sides go back to what is theirs by
right.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.quotas import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.quotas import _limits

STEP_SHARE = 0.03
"""A share is left as it is when it would change by less."""
DEMAND_FACTOR = 1.2
DEMAND_STEP = 0.05
"""A demand is told anew when it differs by the factor and by so many requests
a second."""
ADOPT_SECONDS = 1.2
"""Without an update from the allocator of a domain for so long another one
may take its place."""
SILENT_SECONDS = 2.0
"""After which a domain that gives no answer is not waited for when the share
of the own domain is taken over."""
GIVE_UP_SECONDS = 10.0
RETURN_SECONDS = 50.0
RELEASE_SECONDS = 60.0
"""Without contact for so long a domain goes back to its share by right, and
later the others take it to have done so."""


@dataclasses.dataclass(slots=True)
class PeerDomain:
    """What is known of another failure domain.

    ``mark`` names the process that allocates there, and ``host`` its VM.
    ``claims`` and ``demands`` are its own, as last told; ``acked`` are the
    claims of this domain that it has acknowledged, ``told`` the demands, and
    ``whole_acked`` says whether all of them. ``known`` once it has told all of
    its claims; ``answered`` is when it last acknowledged anything, ``heard``
    when it last told something. While the share of this domain is taken over,
    ``reserved`` is what it has reserved for it.
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
    acked_demands: _messages.Amounts = dataclasses.field(default_factory=dict)
    reserved_claims: _messages.Amounts | None = None
    adopting: bool = True


@dataclasses.dataclass(slots=True)
class Shares:
    """Shares of one failure domain, by customer.

    ``by_right`` is the part that each domain has without a claim.
    ``adopting`` until the share of the domain is taken over from whoever
    allocated before, since ``began``.
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
    """Return the shares of a domain among ``domains``, which hold it too."""
    others = {each: PeerDomain() for each in domains if each != domain}
    shares = Shares(domain, host, mark, 1.0 / (len(others) + 1), now, others)
    shares.adopting = bool(others)
    return shares


def share_available(shares: Shares, customer: str) -> float:
    """Return the part of a customer's limit that may be handed out here."""
    if shares.adopting:
        return 0.0
    right = shares.equal_share
    most = shares.claims.get(customer, right)
    room = 1.0
    known = True
    for peer in shares.peer_domains.values():
        most = min(most, peer.acked_claims.get(customer, right))
        room -= peer.claims.get(customer, right)
        known = known and peer.claims_known
    return max(0.0, min(most, room) if known else most)


def set_demands(
    shares: Shares,
    demands: abc.Mapping[str, float],
    limits: abc.Mapping[str, _limits.Limit],
) -> None:
    """Take the demand of the own domain, and claim by it."""
    shares.demands = {
        customer: demands.get(customer, 0.0) for customer in limits
    }
    for gone in [each for each in shares.claims if each not in limits]:
        del shares.claims[gone]
    if shares.adopting:
        return
    for customer, limit in limits.items():
        _claim(shares, customer, limit.rate)


def _claim(shares: Shares, customer: str, rate: float) -> None:
    right = shares.equal_share
    peers = shares.peer_domains.values()
    if not all(peer.claims_known for peer in peers):
        return
    own = shares.demands[customer]
    total = own + sum(peer.demands.get(customer, 0.0) for peer in peers)
    taken = sum(peer.claims.get(customer, right) for peer in peers)
    target = min(_part(own, total, rate, right), max(0.0, 1.0 - taken))
    now = shares.claims.get(customer, right)
    if abs(target - now) >= STEP_SHARE or (now + taken > 1.0 + 1e-9):
        shares.claims[customer] = target


def _part(own: float, total: float, rate: float, right: float) -> float:
    """Return the share by demand; what nobody asks for is parted alike."""
    if total >= rate:
        return own / total
    return (own + (rate - total) * right) / rate


def update_for(shares: Shares, domain: str) -> _messages.Update:
    """Return what to tell the allocator of another domain."""
    peer = shares.peer_domains[domain]
    right = shares.equal_share
    whole = not peer.all_acked
    acked = {} if whole else peer.acked_claims
    told = {} if whole else peer.acked_demands
    claims = {
        customer: claim
        for customer, claim in shares.claims.items()
        if claim != acked.get(customer, right)
    }
    demands = {
        customer: rate
        for customer, rate in shares.demands.items()
        if _differs(rate, told.get(customer, 0.0))
    }
    for customer, claim in claims.items():
        # If the acknowledgement is lost the lower claim counts all the same.
        before = peer.acked_claims.get(customer, right)
        peer.acked_claims[customer] = min(before, claim)
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
    """Return whether the allocator of a domain should be told at once."""
    peer = shares.peer_domains[domain]
    right = shares.equal_share
    return any(
        claim != peer.acked_claims.get(customer, right)
        for customer, claim in shares.claims.items()
    ) or any(
        _differs(rate, peer.acked_demands.get(customer, 0.0))
        for customer, rate in shares.demands.items()
    )


def receive_update(
    shares: Shares, update: _messages.Update, now: float
) -> _messages.Acknowledgement:
    """Take an update of another domain's allocator, and acknowledge it."""
    peer = shares.peer_domains.get(update.domain)
    if peer is None:
        return _messages.Acknowledgement(
            shares.mark, "", "", shares.adopting, {}
        )
    if peer.mark != update.mark and not _may_follow(peer, update, now):
        return _messages.Acknowledgement(
            shares.mark, "", peer.host, shares.adopting, {}
        )
    reserved = dict(peer.claims) if update.adopting else {}
    if peer.mark != update.mark:
        # It knows nothing of what its predecessor was told.
        peer.mark, peer.host, peer.serial = update.mark, update.host, -1
        _forget_acked(peer)
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
    return _messages.Acknowledgement(
        shares.mark, "", "", shares.adopting, reserved
    )


def accept_acknowledgement(
    shares: Shares,
    domain: str,
    update: _messages.Update,
    answer: _messages.Acknowledgement,
    now: float,
) -> None:
    """Take the answer to an update."""
    peer = shares.peer_domains[domain]
    peer.last_ack_at = now
    if answer.occupied:
        shares.other_allocator = answer.occupied
        _lose(shares, now)
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
    peer.acked_demands.update(update.demands)
    peer.all_acked = peer.all_acked or update.whole


def adopt_share(shares: Shares, now: float) -> bool:
    """Take over the share of the own domain if enough is known of it."""
    if not shares.adopting:
        return False
    peers = list(shares.peer_domains.values())
    told = [peer for peer in peers if peer.reserved_claims is not None]
    waited = now - shares.adopting_since
    knowing = any(not peer.adopting for peer in told)
    enough = (
        len(told) == len(peers)
        or (knowing and waited >= SILENT_SECONDS)
        or waited >= GIVE_UP_SECONDS
    )
    if not enough or shares.other_allocator:
        return False
    shares.adopting = False
    right = shares.equal_share
    claims: _messages.Amounts = {}
    for peer in told:
        for customer, claim in (peer.reserved_claims or {}).items():
            claims[customer] = min(claims.get(customer, claim), claim)
    shares.claims = claims
    for peer in peers:
        # What the others have reserved for the domain they reckon with.
        peer.acked_claims = {
            customer: min(
                claim, (peer.reserved_claims or {}).get(customer, right)
            )
            for customer, claim in claims.items()
        }
        peer.reserved_claims = None
    return True


def tick(shares: Shares, present: abc.Collection[str], now: float) -> None:
    """Go back to shares by right after a long time without contact.

    ``present`` are the domains of which daemons are known.
    """
    right = shares.equal_share
    peers = shares.peer_domains
    contact = max(
        (
            max(peer.last_ack_at, peer.last_update_at)
            for peer in peers.values()
        ),
        default=now,
    )
    alone = now - max(contact, shares.adopting_since) >= RETURN_SECONDS
    if alone and not shares.adopting:
        for customer, claim in shares.claims.items():
            shares.claims[customer] = min(claim, right)
    for domain, peer in peers.items():
        silent = (
            now - max(peer.last_update_at, shares.adopting_since)
            >= RELEASE_SECONDS
        )
        if not silent or domain in present:
            continue
        for customer, claim in peer.claims.items():
            peer.claims[customer] = min(claim, right)


def _lose(shares: Shares, now: float) -> None:
    """Begin anew: another process allocates for the own domain."""
    shares.adopting = True
    shares.adopting_since = now
    shares.claims = {}
    for peer in shares.peer_domains.values():
        _forget_acked(peer)
        peer.reserved_claims = None


def _forget_acked(peer: PeerDomain) -> None:
    peer.acked_claims, peer.acked_demands = {}, {}
    peer.all_acked = False


def _may_follow(
    peer: PeerDomain, update: _messages.Update, now: float
) -> bool:
    """Return whether another process may allocate for a domain from now."""
    if not peer.mark or peer.host == update.host:
        return True
    if now - peer.last_update_at >= ADOPT_SECONDS:
        return True
    if not peer.adopting:
        return False
    # Of two that begin at the same time one must win.
    return not update.adopting or update.host < peer.host


def _differs(rate: float, told: float) -> bool:
    low, high = min(rate, told), max(rate, told)
    return high - low >= DEMAND_STEP and high >= DEMAND_FACTOR * low
