"""Tests of when followers ask the store because their parents have lost it."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _fallbacks
from sassafrasstair.decisions.feeds import _feeds

HOSTS = frozenset(f"10.1.0.{number}" for number in range(1, 201))
BOUND = 2.0
TIMING = feeds.timing_for_bound(BOUND)
ANSWERED = feeds.PeerStatus(10, None, 0.0, False)
LOST_AT = 10.0


def _followers(count: int) -> list[feeds.Feed]:
    """Return the first followers of a failure domain, in order."""
    made = []
    for own in feeds.first_hosts(HOSTS, count + 1)[1:]:
        feed = feeds.new_feed(own, TIMING, 0.0)
        feeds.learn_hosts(feed, HOSTS, 0.0)
        feeds.next_step(feed, 0.0)
        made.append(feed)
    return made


def _lose(feed: feeds.Feed, now: float, rng: random.Random) -> None:
    """Let the parent of a feed report that it has lost the store."""
    host = feed.parent or ""
    lost = feeds.PeerStatus(10, now - LOST_AT, 0.0, False)
    feeds.peer_answered(feed, host, lost, 10, now, rng)
    feeds.next_step(feed, now)


def _follower() -> feeds.Feed:
    return _followers(20)[-1]


def _rng() -> random.Random:
    return random.Random(1)


def _check_times(
    followers: list[feeds.Feed], seconds: float, seed: int
) -> list[float]:
    """Return when followers check a store that answers none of them."""
    rng = random.Random(seed)
    for feed in followers:
        _lose(feed, LOST_AT, rng)
    times = []
    for tick in range(int(seconds / 0.05)):
        now = LOST_AT + 0.05 * tick
        for feed in followers:
            if feed.parent and feeds.check_due(feed, 0.0, now):
                feeds.check_sent(feed, now, rng)
                times.append(now - LOST_AT)
    return times


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("count", [8, 40, 199])
def test_followers_check_a_lost_store_by_turns(count: int, seed: int) -> None:
    """Checks by all followers at once would flood a store that is away."""
    times = _check_times(_followers(count), 300.0, seed)
    for begin in range(300):
        checks = sum(begin <= time < begin + 1.0 for time in times)
        assert checks <= _fallbacks.QUICK_CHECKS + 3
    assert len(times) <= _fallbacks.QUICK_CHECKS + 1.3 * 300.0 / (
        TIMING.fallback_interval
    )


def test_first_followers_check_a_lost_store_at_once() -> None:
    """Followers of parents without the store must not miss changes."""
    times = _check_times(_followers(40), BOUND / 2.0, 1)
    # The first follower calls the store itself.
    assert len(times) == _fallbacks.QUICK_CHECKS


def test_every_follower_checks_a_lost_store() -> None:
    """The only daemon that the store answers may be the last in order."""
    times = _check_times(_followers(40), 40.0 * TIMING.fallback_interval, 1)
    assert len(times) >= 39


def test_follower_whose_parent_is_answered_again_sends_no_check() -> None:
    """Checks after each short outage would be paid for."""
    feed = _follower()
    _lose(feed, LOST_AT, _rng())
    assert feeds.confirm_store(feed, LOST_AT + 0.1)
    assert not feeds.confirm_store(feed, LOST_AT + 0.2)
    assert not feeds.check_due(feed, 0.0, LOST_AT + 1000.0)


def test_answer_from_before_the_loss_confirms_nothing() -> None:
    """A parent that has not noticed the loss must not end the doubt."""
    feed = _follower()
    _lose(feed, LOST_AT + 1.0, _rng())
    assert not feeds.confirm_store(feed, LOST_AT - 0.1)
    assert feeds.check_due(feed, 0.0, LOST_AT + 1000.0)


def test_follower_reads_the_store_once_its_check_is_answered() -> None:
    """A follower that the store answers must not follow daemons without it."""
    feed = _follower()
    _lose(feed, LOST_AT, _rng())
    feeds.check_sent(feed, 20.0, _rng())
    assert feeds.check_answered(feed, 20.0, 20.1)
    feeds.next_step(feed, 20.1)
    assert feeds.reads_store(feed)
    assert feeds.stands_in(feed)


def test_stand_in_reads_on_while_its_parents_lack_the_store() -> None:
    """A stand-in must not wait for its next turn after each watch."""
    feed = _follower()
    _lose(feed, LOST_AT, _rng())
    feeds.check_answered(feed, 20.0, 20.1)
    now = 20.1 + _feeds.AVOID_SECONDS
    for _ in range(_fallbacks.LOST_POLLS_MAX):
        feeds.next_step(feed, now)
        assert not feeds.reads_store(feed)
        _lose(feed, now, _rng())
    assert feeds.reads_store(feed)


def test_stand_in_follows_a_parent_that_the_store_answers() -> None:
    """All daemons in touch would go on reading the store."""
    feed = _follower()
    _lose(feed, LOST_AT, _rng())
    feeds.check_answered(feed, 20.0, 20.1)
    now = 20.1 + _feeds.AVOID_SECONDS
    feeds.next_step(feed, now)
    parent = feed.parent or ""
    feeds.peer_answered(feed, parent, ANSWERED, 10, now + 0.1, _rng())
    assert not feed.fallback.stands_in
    assert feeds.choose_parent(feed, now + 0.1) == parent


@pytest.mark.parametrize(
    ("last_answer_at", "is_in_doubt"), [(LOST_AT - 1.0, True), (10.5, False)]
)
def test_doubt_of_a_parent_is_passed_on_unless_a_later_answer_is_known(
    last_answer_at: float, is_in_doubt: bool
) -> None:
    """Later followers waited until their parents had lost the store, too."""
    feed, now = _follower(), LOST_AT + 1.0
    feeds.peer_answered(feed, feed.parent or "", ANSWERED, 10, now, _rng())
    feeds.parent_in_doubt(feed, 1.0, last_answer_at, now, _rng())
    expected = 1.0 if is_in_doubt else None
    assert feeds.doubt_seconds(feed, last_answer_at, now) == expected
    later = now + len(HOSTS) * TIMING.fallback_interval
    assert feeds.check_due(feed, last_answer_at, later) is is_in_doubt
    feeds.confirm_store(feed, LOST_AT + 0.1)
    assert feeds.doubt_seconds(feed, last_answer_at, now) is None
    assert not feeds.check_due(feed, last_answer_at, later)
