"""Tests of the checks that a reader sends to the store."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _feeds
from tests.decisions.feeds import test_feeds

TIMING = test_feeds.TIMING
QUIET = TIMING.quiet_limit
EARLIER_HOSTS = test_feeds.EARLIER_HOSTS


def _reader(checks_for_all: bool = True) -> feeds.Feed:
    """Return the first daemon of a domain, which has watched since 0 s."""
    feed = feeds.new_feed(EARLIER_HOSTS[0], TIMING, -10.0)
    feeds.learn_hosts(feed, test_feeds.HOSTS, -10.0)
    feeds.next_step(feed, -10.0)
    feeds.read_done(feed, -TIMING.watch_interval, answer_may_be_stale=False)
    assert feeds.next_step(feed, 0.0) == feeds.Watch(_feeds.WATCH_SECONDS)
    feed.checks_for_all = checks_for_all
    return feed


def _rng() -> random.Random:
    return random.Random(1)


@pytest.mark.parametrize(
    ("checks_for_all", "last_answer_at", "now", "due"),
    [
        (True, 0.0, 0.9 * QUIET, False),
        (True, 0.0, QUIET, True),
        (True, 0.5 * QUIET, QUIET, False),
        (False, 0.0, QUIET, False),
        (False, 0.0, _checks.OTHER_DOMAINS_QUIET_FACTOR * QUIET, True),
    ],
)
def test_check_is_due_after_the_quiet_limit(
    checks_for_all: bool, last_answer_at: float, now: float, due: bool
) -> None:
    assert feeds.check_due(_reader(checks_for_all), last_answer_at, now) is due


def test_follower_sends_no_checks() -> None:
    feed = test_feeds._feed()
    feeds.next_step(feed, 0.0)
    assert not feeds.check_due(feed, -100.0, 0.0)
    assert feeds.lost_since(feed, 100.0) is None


def test_unanswered_check_is_repeated() -> None:
    """The second check follows soon, on a connection of its own."""
    feed = _reader()
    assert not feeds.check_sent(feed, 1.0, _rng())
    second = 1.0 + _checks.SECOND_CHECK_SHARE * TIMING.answer_timeout
    assert not feeds.check_due(feed, 0.0, second - 0.01)
    assert feeds.check_due(feed, 0.0, second)
    assert feeds.check_sent(feed, second, _rng())
    assert feeds.lost_since(feed, 0.99 + TIMING.answer_timeout) is None
    assert feeds.lost_since(feed, 1.0 + TIMING.answer_timeout) == 1.0
    assert feeds.check_due(feed, 0.0, second + TIMING.check_interval)


def test_unanswered_check_is_forgotten_when_reading_stops() -> None:
    """A backup reader stops reading while its check is unanswered.

    If the check were not forgotten, the daemon would report the store as lost
    as soon as it reads again, minutes later, and its followers would leave it.
    """
    feed = test_feeds._feed(EARLIER_HOSTS[1])
    lost = feeds.PeerStatus(10, 0.0, 0.0, False)
    feeds.peer_answered(feed, EARLIER_HOSTS[0], lost, 10, 0.0, _rng())
    feeds.next_step(feed, 0.1)
    assert feeds.reads_store(feed)
    feeds.check_sent(feed, 1.0, _rng())
    feeds.next_step(feed, 10.0)
    assert not feeds.reads_store(feed)
    feeds.peer_answered(feed, EARLIER_HOSTS[0], lost, 10, 100.0, _rng())
    feeds.next_step(feed, 100.1)
    assert feeds.reads_store(feed)
    assert feeds.lost_since(feed, 100.2) is None


def test_no_recheck_during_a_full_read() -> None:
    """Checks are answered while the pages of a slow store are still read.

    If each of them triggered a recheck, the full read would never end.
    """
    feed = feeds.new_feed(EARLIER_HOSTS[0], TIMING, 0.0)
    feeds.learn_hosts(feed, test_feeds.HOSTS, 0.0)
    assert feeds.next_step(feed, 0.0) == feeds.Read(allow_stale=False)
    assert not feeds.can_recheck(feed, 1.0)
    feeds.read_done(feed, 2.0, answer_may_be_stale=False)
    assert feeds.can_recheck(feed, 2.0)


@pytest.mark.parametrize(
    ("sent", "answered", "away"),
    [
        ((1.0,), 1.0, False),
        ((1.0, 2.0), 1.0, False),
        ((1.0, 2.0), 2.0, True),
    ],
)
def test_answer_after_a_missing_one_reveals_an_outage(
    sent: tuple[float, ...], answered: float, away: bool
) -> None:
    """A late answer means a slow store, a missing one means an outage.

    If a late answer counted as an outage, each would end the current watch.
    """
    feed = _reader()
    feed.next_read_at = 50.0
    for now in sent:
        feeds.check_sent(feed, now, _rng())
    assert feeds.check_answered(feed, answered, 3.0) is away
    step = feeds.next_step(feed, 3.0)
    assert isinstance(step, feeds.Watch) is away


def test_recheck_backoff_grows_while_nothing_changes() -> None:
    """The store's revision also rises with unrelated changes."""
    feed = _reader()
    now = 1.0
    pauses = []
    for _ in range(8):
        assert feeds.can_recheck(feed, now)
        feeds.mark_change_missed(feed, now)
        assert feeds.next_step(feed, now) == feeds.Watch(
            _feeds.RECHECK_WATCH_SECONDS
        )
        feeds.read_done(
            feed, now, answer_may_be_stale=False, has_changes=False
        )
        begun = now
        while not feeds.can_recheck(feed, now):
            now += 0.5
        pauses.append(now - begun)
    assert pauses == sorted(pauses)
    assert pauses[-1] == _checks.RECHECK_BACKOFF_SECONDS_MAX
    feeds.mark_change_missed(feed, now)
    feeds.read_done(feed, now, answer_may_be_stale=False, has_changes=True)
    assert feeds.can_recheck(feed, now)


@pytest.mark.parametrize(
    ("next_read_at", "last_answer_at", "limit"),
    [
        (0.0, 10.0, TIMING.lag_grace),
        (10.0 + 0.1, 10.0, 0.1 + TIMING.lag_grace),
        (99.0, 10.0, TIMING.watch_interval + TIMING.lag_grace),
        (0.0, 10.0 - 2.0 * QUIET, 0.0),
    ],
)
def test_reader_waits_for_its_own_watch_unless_stalled(
    next_read_at: float, last_answer_at: float, limit: float
) -> None:
    feed = _reader()
    feed.next_read_at = next_read_at
    assert feeds.peer_ahead_limit(feed, last_answer_at, 10.0) == pytest.approx(
        limit
    )
