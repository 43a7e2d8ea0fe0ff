"""Shares of customer limits that failure domains transfer."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import quotas

DOMAINS = ("a", "b", "c")
CUSTOMER = "one"
LIMITS = {CUSTOMER: quotas.Limit(10.0, 10.0)}


def _new_shares() -> dict[str, quotas.Shares]:
    return {
        domain: quotas.new_shares(domain, domain, f"m-{domain}", DOMAINS, 0.0)
        for domain in DOMAINS
    }


def _send_update(
    shares: dict[str, quotas.Shares], one: str, other: str, now: float
) -> None:
    update = quotas.update_for(shares[one], other)
    answer = quotas.receive_update(shares[other], update, now)
    quotas.accept_acknowledgement(shares[one], other, update, answer, now)
    quotas.adopt_share(shares[one], now)


def _exchange_all(
    shares: dict[str, quotas.Shares], now: float, cut: frozenset[str]
) -> None:
    for one in shares:
        for other in shares:
            if one != other and (one in cut) == (other in cut):
                _send_update(shares, one, other, now)


def _total_share(shares: dict[str, quotas.Shares]) -> float:
    return sum(
        quotas.share_available(each, CUSTOMER) for each in shares.values()
    )


def _set_demands(shares: dict[str, quotas.Shares], *rates: float) -> None:
    for each, rate in zip(shares.values(), rates, strict=True):
        quotas.set_demands(each, {CUSTOMER: rate}, LIMITS)


@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        ((0.0, 0.0, 0.0), (0.33, 0.33, 0.33)),
        ((6.0, 0.0, 0.0), (0.73, 0.13, 0.13)),
        ((20.0, 20.0, 0.0), (0.5, 0.5, 0.0)),
        ((0.0, 0.0, 100.0), (0.0, 0.0, 1.0)),
    ],
)
def test_shares_follow_the_demand(
    rates: tuple[float, ...], expected: tuple[float, ...]
) -> None:
    """Guards against equal shares where one domain has all the requests."""
    shares = _new_shares()
    for step in range(8):
        _exchange_all(shares, 0.1 * step, frozenset())
        _set_demands(shares, *rates)
        assert _total_share(shares) <= 1.0 + 1e-9
    found = [
        quotas.share_available(each, CUSTOMER) for each in shares.values()
    ]
    assert found == pytest.approx(expected, abs=0.04)


def test_domain_that_is_cut_off_keeps_its_share_and_no_more() -> None:
    """Guards against shares that add up to more than the whole limit.

    Both sides of a partition could claim the share that the other side
    appeared to give up.
    """
    shares = _new_shares()
    for step in range(8):
        _exchange_all(shares, 0.1 * step, frozenset())
        _set_demands(shares, 20.0, 20.0, 20.0)
    for step in range(20):
        _exchange_all(shares, 1.0 + 0.1 * step, frozenset("c"))
        _set_demands(shares, 0.0, 0.0, 90.0)
        assert _total_share(shares) <= 1.0 + 1e-9
    assert quotas.share_available(shares["c"], CUSTOMER) == pytest.approx(
        0.33, abs=0.04
    )


def test_two_domains_do_not_claim_the_same_unused_share() -> None:
    """Guards against shares that add up to more than the whole limit.

    Two domains could raise their shares at the same time by what a third
    domain had given up.
    """
    shares = _new_shares()
    for step in range(8):
        _exchange_all(shares, 0.1 * step, frozenset())
        _set_demands(shares, 20.0, 20.0, 20.0)
    _set_demands(shares, 20.0, 0.0, 20.0)
    for one in ("a", "c"):
        _send_update(shares, "b", one, 1.0)
    _set_demands(shares, 40.0, 0.0, 40.0)
    assert _total_share(shares) <= 1.0 + 1e-9
    for one, other in (("a", "c"), ("c", "a"), ("a", "b"), ("c", "b")):
        _send_update(shares, one, other, 1.1)
        assert _total_share(shares) <= 1.0 + 1e-9
        _set_demands(shares, 40.0, 0.0, 40.0)
        assert _total_share(shares) <= 1.0 + 1e-9


@pytest.mark.parametrize(
    ("pause", "host", "taken"),
    [(0.5, "other", False), (0.5, "a", True), (1.5, "other", True)],
)
def test_another_process_replaces_the_allocator_of_a_domain(
    pause: float, host: str, taken: bool
) -> None:
    """Guards against two processes that grant tokens of one domain."""
    shares = _new_shares()
    for step in range(4):
        _exchange_all(shares, 0.1 * step, frozenset())
    shares["a"] = quotas.new_shares("a", host, "m-new", DOMAINS, 1.0)
    for one in ("b", "c"):
        _send_update(shares, "a", one, 0.3 + pause)
    assert (quotas.share_available(shares["a"], CUSTOMER) > 0.0) is taken
    assert bool(shares["a"].other_allocator) is not taken


@pytest.mark.parametrize(
    ("rate", "burst", "sustained", "most"),
    [(10.0, 10.0, 12.0, 84.5), (10.0, 100.0, 12.5, 190.25)],
)
def test_limit_is_that_of_a_whole_window(
    rate: float, burst: float, sustained: float, most: float
) -> None:
    """Guards against refusing rate and burst together in each window."""
    rules = quotas.Rules(5.0, 0.25, 20.0)
    customer = policies.Customer(CUSTOMER, (), rate, burst)
    limit = quotas.limit_with_tolerance(customer, rules)
    assert limit is not None
    assert limit.rate == pytest.approx(sustained)
    assert limit.rate * 5.0 + limit.burst == pytest.approx(most)
    allowed = (rate * 5.0 + burst) * 1.25 + 20.0
    assert limit.rate * 5.0 + limit.burst <= allowed


def test_customer_without_a_rate_has_no_limit() -> None:
    customer = policies.Customer(CUSTOMER, (), 0.0, 5.0)
    assert quotas.limit_with_tolerance(customer, quotas.Rules()) is None


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_update_of_a_lowered_claim_is_sent_again(lost: int) -> None:
    """Half of a customer's limit would stay unused until the next change."""
    shares = _new_shares()
    for step in range(8):
        _exchange_all(shares, 0.1 * step, frozenset())
        _set_demands(shares, 20.0, 20.0, 20.0)
    _set_demands(shares, 0.0, 20.0, 20.0)
    for _ in range(lost):
        for other in ("b", "c"):
            quotas.update_for(shares["a"], other)
            assert _total_share(shares) <= 1.0 + 1e-9
    for step in range(8):
        _exchange_all(shares, 1.0 + 0.1 * step, frozenset())
        _set_demands(shares, 0.0, 20.0, 20.0)
        assert _total_share(shares) <= 1.0 + 1e-9
    assert _total_share(shares) == pytest.approx(1.0, abs=0.04)
