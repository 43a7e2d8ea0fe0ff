"""When a reader checks the store, and what the answers mean."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _feeds
from tests.decisions.feeds import test_feeds

TIMING = test_feeds.TIMING
QUIET = TIMING.quiet_limit
BEFORE = test_feeds.BEFORE


def _reader(first: bool = True) -> feeds.Feed:
    """Return the first daemon of a domain, which watches since 0 s."""
    feed = feeds.new_feed(BEFORE[0], TIMING, -10.0)
    feeds.learn_hosts(feed, test_feeds.HOSTS, -10.0)
    feeds.next_step(feed, -10.0)
    feeds.read_done(feed, -TIMING.watch_interval, stale=False)
    assert feeds.next_step(feed, 0.0) == feeds.Watch(_feeds.WATCH_SECONDS)
    feed.checks_for_all = first
    return feed


def _rng() -> random.Random:
    return random.Random(1)


@pytest.mark.parametrize(
    ("first", "heard", "now", "due"),
    [
        (True, 0.0, 0.9 * QUIET, False),
        (True, 0.0, QUIET, True),
        (True, 0.5 * QUIET, QUIET, False),
        (False, 0.0, QUIET, False),
        (False, 0.0, _checks.OTHER_DOMAINS_QUIET_FACTOR * QUIET, True),
    ],
)
def test_store_is_checked_after_a_time_without_a_word(
    first: bool, heard: float, now: float, due: bool
) -> None:
    assert feeds.check_due(_reader(first), heard, now) is due


def test_daemon_that_follows_checks_nothing() -> None:
    feed = test_feeds._feed()
    feeds.next_step(feed, 0.0)
    assert not feeds.check_due(feed, -100.0, 0.0)
    assert feeds.lost_since(feed, 100.0) is None


def test_check_without_an_answer_is_followed_by_others() -> None:
    """The second comes soon, and on a connection of its own."""
    feed = _reader()
    assert not feeds.check_sent(feed, 1.0, _rng())
    second = 1.0 + _checks.SECOND_CHECK_SHARE * TIMING.answer_timeout
    assert not feeds.check_due(feed, 0.0, second - 0.01)
    assert feeds.check_due(feed, 0.0, second)
    assert feeds.check_sent(feed, second, _rng())
    assert feeds.lost_since(feed, 0.99 + TIMING.answer_timeout) is None
    assert feeds.lost_since(feed, 1.0 + TIMING.answer_timeout) == 1.0
    assert feeds.check_due(feed, 0.0, second + TIMING.check_interval)


def test_daemon_that_reads_again_has_not_lost_the_store_since() -> None:
    """A stand-in stops to read while a check of it has no answer.

    When it reads again, minutes later, it would say at once that the store
    is lost, and its followers would leave it.
    """
    feed = test_feeds._feed(BEFORE[1])
    lost = feeds.PeerStatus(10, 0.0, 0.0, False)
    feeds.peer_answered(feed, BEFORE[0], lost, 10, 0.0, _rng())
    feeds.next_step(feed, 0.1)
    assert feeds.reads_store(feed)
    feeds.check_sent(feed, 1.0, _rng())
    feeds.next_step(feed, 10.0)
    assert not feeds.reads_store(feed)
    feeds.peer_answered(feed, BEFORE[0], lost, 10, 100.0, _rng())
    feeds.next_step(feed, 100.1)
    assert feeds.reads_store(feed)
    assert feeds.lost_since(feed, 100.2) is None


def test_reading_of_the_whole_is_not_begun_anew() -> None:
    """Each check is answered while the pages of a slow store come in."""
    feed = feeds.new_feed(BEFORE[0], TIMING, 0.0)
    feeds.learn_hosts(feed, test_feeds.HOSTS, 0.0)
    assert feeds.next_step(feed, 0.0) == feeds.Read(allow_stale=False)
    assert not feeds.can_recheck(feed, 1.0)
    feeds.read_done(feed, 2.0, stale=False)
    assert feeds.can_recheck(feed, 2.0)


@pytest.mark.parametrize(
    ("sent", "answered", "away"),
    [
        ((1.0,), 1.0, False),
        ((1.0, 2.0), 1.0, False),
        ((1.0, 2.0), 2.0, True),
    ],
)
def test_answer_after_one_that_is_missing_tells_of_an_absence(
    sent: tuple[float, ...], answered: float, away: bool
) -> None:
    """A late answer tells of a slow store, a missing one of one away.

    Taken for an absence, each late answer would end the watch under way.
    """
    feed = _reader()
    feed.next_read_at = 50.0
    for now in sent:
        feeds.check_sent(feed, now, _rng())
    assert feeds.check_answered(feed, answered, 3.0) is away
    step = feeds.next_step(feed, 3.0)
    assert isinstance(step, feeds.Watch) is away


def test_greater_revision_is_believed_again_after_a_while() -> None:
    """The store's counter moves with what concerns nobody."""
    feed = _reader()
    now = 1.0
    pauses = []
    for _ in range(8):
        assert feeds.can_recheck(feed, now)
        feeds.mark_change_missed(feed, now)
        assert feeds.next_step(feed, now) == feeds.Watch(
            _feeds.RECHECK_WATCH_SECONDS
        )
        feeds.read_done(feed, now, stale=False, news=False)
        begun = now
        while not feeds.can_recheck(feed, now):
            now += 0.5
        pauses.append(now - begun)
    assert pauses == sorted(pauses)
    assert pauses[-1] == _checks.RECHECK_BACKOFF_SECONDS_MAX
    feeds.mark_change_missed(feed, now)
    feeds.read_done(feed, now, stale=False, news=True)
    assert feeds.can_recheck(feed, now)


@pytest.mark.parametrize(
    ("read_from", "heard", "patience"),
    [
        (0.0, 10.0, TIMING.lag_grace),
        (10.0 + 0.1, 10.0, 0.1 + TIMING.lag_grace),
        (99.0, 10.0, TIMING.watch_interval + TIMING.lag_grace),
        (0.0, 10.0 - 2.0 * QUIET, 0.0),
    ],
)
def test_reader_waits_for_its_own_watch_unless_it_is_deaf(
    read_from: float, heard: float, patience: float
) -> None:
    feed = _reader()
    feed.next_read_at = read_from
    assert feeds.peer_ahead_limit(feed, heard, 10.0) == pytest.approx(patience)
