"""What one daemon does next, step by step."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _feeds

HOSTS = frozenset(f"10.1.0.{number}" for number in range(1, 12))
LAST = max(HOSTS, key=lambda host: len(feeds.earlier_hosts(HOSTS, host)))
BEFORE = feeds.earlier_hosts(HOSTS, LAST)
TIMING = feeds.timing_for_bound(2.0)
WORD = feeds.PeerStatus(10, None, 0.0, False)


def _feed(own: str = LAST) -> feeds.Feed:
    feed = feeds.new_feed(own, TIMING, 0.0)
    feeds.learn_hosts(feed, HOSTS, 0.0)
    return feed


def _rng() -> random.Random:
    return random.Random(1)


def _drop_silent(feed: feeds.Feed, count: int, now: float) -> None:
    for _ in range(count):
        host = feeds.choose_parent(feed, now)
        feeds.peer_failed(feed, host, now, _rng())


@pytest.mark.parametrize(
    ("bound", "pace"), [(0.0, 0.25), (0.5, 0.25), (2.0, 0.5), (60.0, 1.5)]
)
def test_bound_without_sense_is_not_taken(bound: float, pace: float) -> None:
    """Settings name no bound, or one that no daemon could keep.

    Asked without a pause, a daemon would do nothing else than answer.
    """
    timing = feeds.timing_for_bound(bound)
    assert timing.watch_interval == pace
    assert timing.poll_hold > 0.0
    assert timing.poll_margin >= 0.2


def test_first_daemon_reads_and_the_others_ask() -> None:
    reader = _feed(BEFORE[0])
    assert feeds.next_step(reader, 0.0) == feeds.Read(allow_stale=False)
    assert feeds.reads_store(reader)
    step = feeds.next_step(_feed(), 0.0)
    assert step == feeds.Poll(BEFORE[1], 0.0, TIMING.poll_margin)


def test_question_waits_once_the_parent_has_answered() -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    feeds.peer_answered(feed, BEFORE[1], WORD, 10, 0.1, _rng())
    within = TIMING.poll_hold + TIMING.poll_margin
    assert isinstance(feeds.next_step(feed, 0.1), feeds.Sleep)
    step = feeds.next_step(feed, 0.1 + _feeds.POLL_INTERVAL_SECONDS)
    assert step == feeds.Poll(BEFORE[1], TIMING.poll_hold, within)


def test_start_reads_what_may_be_old_until_somebody_is_known() -> None:
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    assert feeds.next_step(feed, 0.0) == feeds.Read(allow_stale=True)
    feeds.read_done(feed, 0.1, stale=True)
    assert isinstance(feeds.next_step(feed, 0.2), feeds.Sleep)
    feeds.learn_hosts(feed, HOSTS, 0.0)
    assert isinstance(feeds.next_step(feed, 0.2), feeds.Poll)


def test_lone_daemon_watches_in_the_end() -> None:
    """No instance of the domain is known, the own one neither."""
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, stale=True)
    late = _feeds.START_SECONDS
    assert feeds.next_step(feed, late) == feeds.Read(allow_stale=False)
    feeds.read_done(feed, late, stale=False)
    paced = late + TIMING.watch_interval
    assert isinstance(feeds.next_step(feed, paced), feeds.Watch)


@pytest.mark.parametrize(
    ("word", "passed_over"),
    [
        (WORD, False),
        (feeds.PeerStatus(10, 0.0, 0.0, False), True),
        (feeds.PeerStatus(10, None, 0.0, True), True),
        (feeds.PeerStatus(10, None, 0.0, False, 9.0), False),
        (feeds.PeerStatus(10, None, 0.0, False, 11.0), True),
        (feeds.PeerStatus(9, None, 0.0, False), False),
    ],
)
def test_parent_is_passed_over_for_what_it_says(
    word: feeds.PeerStatus, passed_over: bool
) -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    feeds.peer_answered(feed, BEFORE[1], word, 10, 0.1, _rng())
    assert (feeds.choose_parent(feed, 0.2) != BEFORE[1]) is passed_over
    # It is asked again in the end: it may have come back.
    assert feeds.choose_parent(feed, 6.0) == BEFORE[1]


def test_parent_that_stays_behind_is_passed_over() -> None:
    feed = _feed()
    feeds.next_step(feed, 0.0)
    behind = feeds.PeerStatus(9, None, 0.0, False)
    feeds.peer_answered(feed, BEFORE[1], behind, 10, 0.1, _rng())
    assert feeds.choose_parent(feed, 0.2) == BEFORE[1]
    feeds.peer_answered(
        feed, BEFORE[1], behind, 10, 0.1 + TIMING.lag_limit, _rng()
    )
    assert feeds.choose_parent(feed, 0.2 + TIMING.lag_limit) != BEFORE[1]


def test_store_is_read_after_two_that_are_silent() -> None:
    feed = _feed()
    _drop_silent(feed, 1, 1.0)
    assert feeds.choose_parent(feed, 1.0) not in ("", BEFORE[1])
    _drop_silent(feed, 1, 1.0)
    assert feeds.choose_parent(feed, 1.0) == feeds.STORE
    feeds.read_failed(feed, 1.2, False, _rng())
    assert feeds.choose_parent(feed, 1.2) != feeds.STORE


def test_only_three_try_a_store_that_all_have_lost() -> None:
    lost = feeds.PeerStatus(10, 3.0, 0.0, False)
    for rank, own in enumerate((*BEFORE, LAST)):
        feed = _feed(own)
        for host in feed.earlier_hosts:
            feeds.peer_answered(feed, host, lost, 10, 1.0, _rng())
        reads = feeds.choose_parent(feed, 1.1) == feeds.STORE
        assert reads is (rank < _feeds.READERS_MAX)
        assert feeds.without_store(feed, 1.1) is not reads


def test_history_that_is_gone_is_read_anew_at_once_but_once() -> None:
    """A store answers even whole readings as if their history were gone.

    Asked again at once each time, it would be asked thousands of times a
    second.
    """
    feed = _feed(BEFORE[0])
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, stale=False)
    feeds.read_failed(feed, 1.0, True, _rng())
    assert feeds.next_step(feed, 1.0) == feeds.Read(allow_stale=False)
    feeds.read_failed(feed, 1.0, True, _rng())
    assert isinstance(feeds.next_step(feed, 1.0), feeds.Sleep)


def test_failed_calls_become_rarer() -> None:
    feed = _feed(BEFORE[0])
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


def test_host_whose_entry_vanished_counts_for_a_while() -> None:
    feed = _feed()
    feeds.learn_hosts(feed, frozenset(), 1.0)
    assert feed.earlier_hosts == BEFORE
    late = _feeds.VANISHED_HOST_SECONDS + 1.0
    feeds.learn_hosts(feed, frozenset({BEFORE[0]}), late)
    assert feed.earlier_hosts == BEFORE[:1]


def test_whole_reading_is_not_begun_anew() -> None:
    """Each check of a large and slow store would have restarted it."""
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.read_done(feed, 0.0, stale=False)
    assert feeds.request_full_read(feed, 1.0)
    assert not feeds.request_full_read(feed, 2.0)
    feeds.read_done(feed, 3.0, stale=False)
    assert feeds.request_full_read(feed, 4.0)


def test_daemon_that_follows_one_with_a_stale_reading_has_no_better() -> None:
    """It became a reader, and watched from a revision that there is not."""
    feed = feeds.new_feed(LAST, TIMING, 0.0)
    feeds.next_step(feed, 0.0)
    feeds.read_done(feed, 0.0, stale=True)
    late = _feeds.START_SECONDS
    rng = random.Random(1)
    unordered = feeds.PeerStatus(-1, None, 0.0, leaving=False)
    feeds.peer_answered(feed, "10.1.0.1", unordered, -1, late, rng)
    assert feeds.next_step(feed, late) == feeds.Read(allow_stale=False)
    ordered = feeds.PeerStatus(7, None, 0.0, leaving=False)
    feeds.peer_answered(feed, "10.1.0.1", ordered, -1, late, rng)
    assert isinstance(feeds.next_step(feed, late), feeds.Watch)
