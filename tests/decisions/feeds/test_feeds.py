"""Tests of the steps of one daemon's feed."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _feeds

HOSTS = frozenset(f"10.1.0.{number}" for number in range(1, 12))
LAST = max(HOSTS, key=lambda host: len(feeds.earlier_hosts(HOSTS, host)))
EARLIER_HOSTS = feeds.earlier_hosts(HOSTS, LAST)
TIMING = feeds.timing_for_bound(2.0)
STATUS = feeds.PeerStatus(10, None, 0.0, False)


def _feed(own: str = LAST) -> feeds.Feed:
    feed = feeds.new_feed(own, TIMING, 0.0)
    feeds.learn_hosts(feed, HOSTS, 0.0)
    return feed


def _rng() -> random.Random:
    return random.Random(1)


def _fail_polls(feed: feeds.Feed, count: int, now: float) -> None:
    for _ in range(count):
        host = feeds.choose_parent(feed, now)
        feeds.peer_failed(feed, host, now, _rng())


@pytest.mark.parametrize(
    ("bound", "interval"), [(0.0, 0.25), (0.5, 0.25), (2.0, 0.5), (60.0, 1.5)]
)
def test_bound_is_clamped(bound: float, interval: float) -> None:
    """The settings may have no propagation bound, or one that is too short.

    Followers that poll without a pause would overload their parent.
    """
    timing = feeds.timing_for_bound(bound)
    assert timing.watch_interval == interval
    assert timing.poll_hold > 0.0
    assert timing.poll_margin >= 0.2


def test_first_daemon_reads_and_the_others_poll() -> None:
    reader = _feed(EARLIER_HOSTS[0])
    assert feeds.next_step(reader, 0.0) == feeds.Read(allow_stale=False)
    assert feeds.reads_store(reader)
    step = feeds.next_step(_feed(), 0.0)
    assert step == feeds.Poll(EARLIER_HOSTS[1], 0.0, TIMING.poll_margin)


def test_poll_is_held_once_the_parent_has_answered() -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    feeds.peer_answered(feed, EARLIER_HOSTS[1], STATUS, 10, 0.1, _rng())
    within = TIMING.poll_hold + TIMING.poll_margin
    assert isinstance(feeds.next_step(feed, 0.1), feeds.Sleep)
    step = feeds.next_step(feed, 0.1 + _feeds.POLL_INTERVAL_SECONDS)
    assert step == feeds.Poll(EARLIER_HOSTS[1], TIMING.poll_hold, within)


def test_start_allows_stale_reads_until_a_host_is_known() -> None:
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    assert feeds.next_step(feed, 0.0) == feeds.Read(allow_stale=True)
    feeds.read_done(feed, 0.1, answer_may_be_stale=True)
    assert isinstance(feeds.next_step(feed, 0.2), feeds.Sleep)
    feeds.learn_hosts(feed, HOSTS, 0.0)
    assert isinstance(feeds.next_step(feed, 0.2), feeds.Poll)


def test_lone_daemon_finally_watches() -> None:
    """No instance of the failure domain is known, not even its own."""
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, answer_may_be_stale=True)
    late = _feeds.START_SECONDS
    assert feeds.next_step(feed, late) == feeds.Read(allow_stale=False)
    feeds.read_done(feed, late, answer_may_be_stale=False)
    paced = late + TIMING.watch_interval
    assert isinstance(feeds.next_step(feed, paced), feeds.Watch)


@pytest.mark.parametrize(
    ("status", "avoided"),
    [
        (STATUS, False),
        (feeds.PeerStatus(10, 0.0, 0.0, False), True),
        (feeds.PeerStatus(10, None, 0.0, True), True),
        (feeds.PeerStatus(10, None, 0.0, False, 9.0), False),
        (feeds.PeerStatus(10, None, 0.0, False, 11.0), True),
        (feeds.PeerStatus(9, None, 0.0, False), False),
    ],
)
def test_parent_is_avoided_for_its_status(
    status: feeds.PeerStatus, avoided: bool
) -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    feeds.peer_answered(feed, EARLIER_HOSTS[1], status, 10, 0.1, _rng())
    assert (feeds.choose_parent(feed, 0.2) != EARLIER_HOSTS[1]) is avoided
    # It is polled again after a while, as it may have recovered.
    assert feeds.choose_parent(feed, 6.0) == EARLIER_HOSTS[1]


def test_parent_that_stays_behind_is_avoided() -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    behind = feeds.PeerStatus(9, None, 0.0, False)
    feeds.peer_answered(feed, EARLIER_HOSTS[1], behind, 10, 0.1, _rng())
    assert feeds.choose_parent(feed, 0.2) == EARLIER_HOSTS[1]
    feeds.peer_answered(
        feed, EARLIER_HOSTS[1], behind, 10, 0.1 + TIMING.lag_limit, _rng()
    )
    assert (
        feeds.choose_parent(feed, 0.2 + TIMING.lag_limit) != EARLIER_HOSTS[1]
    )


def test_store_is_read_after_two_failed_polls() -> None:
    feed = _feed()
    _fail_polls(feed, 1, 1.0)
    assert feeds.choose_parent(feed, 1.0) not in ("", EARLIER_HOSTS[1])
    _fail_polls(feed, 1, 1.0)
    assert feeds.choose_parent(feed, 1.0) == feeds.STORE
    feeds.read_failed(feed, 1.2, False, _rng())
    assert feeds.choose_parent(feed, 1.2) != feeds.STORE


def test_only_three_daemons_call_a_lost_store() -> None:
    lost = feeds.PeerStatus(10, 3.0, 0.0, False)
    for rank, own in enumerate((*EARLIER_HOSTS, LAST)):
        feed = _feed(own)
        for host in feed.earlier_hosts:
            feeds.peer_answered(feed, host, lost, 10, 1.0, _rng())
        reads = feeds.choose_parent(feed, 1.1) == feeds.STORE
        assert reads is (rank < _feeds.READERS_MAX)
        assert feeds.upcoming_parent_lost_store(feed, 1.1) is not reads


def test_lost_history_causes_one_immediate_full_read() -> None:
    """A store answers even full reads as if their history were gone.

    If each read were retried at once, the store would be called thousands of
    times a second.
    """
    feed = _feed(EARLIER_HOSTS[0])
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, answer_may_be_stale=False)
    feeds.read_failed(feed, 1.0, True, _rng())
    assert feeds.next_step(feed, 1.0) == feeds.Read(allow_stale=False)
    feeds.read_failed(feed, 1.0, True, _rng())
    assert isinstance(feeds.next_step(feed, 1.0), feeds.Sleep)


def test_failed_reads_back_off() -> None:
    feed = _feed(EARLIER_HOSTS[0])
    pauses = []
    now = 0.0
    for _ in range(6):
        feeds.read_failed(feed, now, False, _rng())
        step = feeds.next_step(feed, now)
        assert isinstance(step, feeds.Sleep)
        pauses.append(step.seconds)
        now += step.seconds
    assert pauses[0] < 0.4
    assert 0.5 <= pauses[-1] <= 1.5


def test_vanished_host_is_kept_for_a_while() -> None:
    feed = _feed()
    feeds.learn_hosts(feed, frozenset(), 1.0)
    assert feed.earlier_hosts == EARLIER_HOSTS
    late = _feeds.VANISHED_HOST_SECONDS + 1.0
    feeds.learn_hosts(feed, frozenset({EARLIER_HOSTS[0]}), late)
    assert feed.earlier_hosts == EARLIER_HOSTS[:1]


def test_full_read_is_not_restarted() -> None:
    """Otherwise each check of a large and slow store restarts the read."""
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.read_done(feed, 0.0, answer_may_be_stale=False)
    assert feeds.request_full_read(feed, 1.0)
    assert not feeds.request_full_read(feed, 2.0)
    feeds.read_done(feed, 3.0, answer_may_be_stale=False)
    assert feeds.request_full_read(feed, 4.0)


def test_stale_view_of_the_parent_is_not_watched_from() -> None:
    """A follower of a daemon with a stale view has a stale view itself.

    When it became a reader, it watched from a revision that does not exist.
    """
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, answer_may_be_stale=True)
    late = _feeds.START_SECONDS
    rng = random.Random(1)
    unordered = feeds.PeerStatus(-1, None, 0.0, leaving=False)
    feeds.peer_answered(feed, "10.1.0.1", unordered, -1, late, rng)
    assert feeds.next_step(feed, late) == feeds.Read(allow_stale=False)
    ordered = feeds.PeerStatus(7, None, 0.0, leaving=False)
    feeds.peer_answered(feed, "10.1.0.1", ordered, -1, late, rng)
    assert isinstance(feeds.next_step(feed, late), feeds.Watch)
