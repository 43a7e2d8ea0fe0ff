"""An allocator that another one may have replaced, without its notice."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import quotas

HOSTS = ("a", "b", "c")
CUSTOMER = "one"
LIMITS = {CUSTOMER: quotas.Limit(10.0, 20.0)}
EQUAL = 0.5


def _exchange(allocators: list[quotas.Allocator], now: float) -> None:
    one, other = (allocator.shares for allocator in allocators)
    for sender, receiver in ((one, other), (other, one)):
        update = quotas.update_for(sender, receiver.domain)
        answer = quotas.receive_update(receiver, update, now)
        quotas.accept_acknowledgement(
            sender, receiver.domain, update, answer, now
        )
        quotas.adopt_share(sender, now)


def _vote(
    allocator: quotas.Allocator, hosts: tuple[str, ...], now: float
) -> None:
    for host in hosts:
        request = quotas.Ask(host, (), now)
        quotas.answer_request(allocator, request, now)


def _allocators(now: float) -> list[quotas.Allocator]:
    """Return the allocators of two domains that have adopted their shares."""
    found = []
    for domain in ("d", "e"):
        shares = quotas.new_shares(
            domain, domain, f"m-{domain}", ("d", "e"), now
        )
        allocator = quotas.new_allocator(shares)
        quotas.set_limits(allocator, LIMITS, now)
        quotas.set_voters(allocator, HOSTS, now)
        _vote(allocator, HOSTS, now)
        found.append(allocator)
    for _ in range(3):
        _exchange(found, now)
    return found


@pytest.mark.parametrize(
    ("voters", "lowered"), [(HOSTS, True), (HOSTS[:2], False)]
)
def test_claim_is_lowered_only_with_all_votes(
    voters: tuple[str, ...], lowered: bool
) -> None:
    """An earlier allocator may still hand out its part of the former claim.

    Another domain would hand out the same part.
    """
    first, second = _allocators(1.0)
    _vote(first, voters, 3.5)
    _vote(second, HOSTS, 3.5)
    for _ in range(3):
        _exchange([first, second], 3.5)
    need = quotas.Need(CUSTOMER, 9.0, 0, 0)
    quotas.answer_request(second, quotas.Ask("a", (need,)), 3.5)
    for allocator in (second, first, second):
        quotas.tick(allocator, 3.5)
        _exchange([first, second], 3.5)
    found = quotas.share_available(first.shares, CUSTOMER)
    assert (found < EQUAL) is lowered
    other = quotas.share_available(second.shares, CUSTOMER)
    assert found + other == pytest.approx(1.0, abs=0.04)


@pytest.mark.parametrize(
    ("asked_again_at", "adopting"), [(2.9, False), (3.0, True)]
)
def test_allocator_that_lost_all_votes_adopts_its_share_again(
    asked_again_at: float, adopting: bool
) -> None:
    """Another allocator may have lowered the claims in the meantime."""
    first, _ = _allocators(1.0)
    assert quotas.share_available(first.shares, CUSTOMER) == EQUAL
    _vote(first, HOSTS, asked_again_at)
    assert first.shares.adopting is adopting
    available = quotas.share_available(first.shares, CUSTOMER)
    assert available == (0.0 if adopting else EQUAL)


def test_allocator_without_votes_lets_another_replace_it() -> None:
    """Other domains would keep an allocator that no daemon reaches."""
    first, _ = _allocators(1.0)
    assert quotas.may_exchange(first, 2.9)
    assert not quotas.may_exchange(first, 3.0)
