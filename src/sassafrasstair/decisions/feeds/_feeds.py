"""The source of one daemon's updates: the store, or another daemon.

Every VM (host) runs one daemon; its peers are all other daemons. The daemons
of a failure domain are ordered by a hash of their addresses (``_orders``). The
first is the reader: it reads and watches the store. Each other daemon is a
follower: it polls its parent, a daemon that precedes it and has up to six
followers. A backup reader is a daemon that reads the store although others
precede it, because these do not answer or have lost the store. ``_fallbacks``
defines when any other follower does so as a stand-in.

A daemon that does not answer is avoided for a while. So is one that has lost
the store, as long as another has not. ``_checks`` defines a lost store, a
stalled watch and a recheck.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _fallbacks
from sassafrasstair.decisions.feeds import _orders
from sassafrasstair.decisions.feeds import _types

if typing.TYPE_CHECKING:
    from collections import abc
    import random

STORE = ""
"""The parent of a daemon that reads the store itself."""
READERS_MAX = 3
"""Daemons of a failure domain that go on calling a store that does not answer
them. The others check it by turns (``_fallbacks``).

If all 195 daemons of a fleet called it once a second, the store would be
flooded when it recovers, and it charges for calls that it refuses too. If the
store refuses half of the hosts, all three are refused once in eight times;
the daemons of other failure domains then provide the changes."""
WATCH_SECONDS = 20.0
"""How long one watch waits. Checks, for which the store charges a tenth as
much as for a watch, detect an outage of the store in the meantime."""
BACKUP_WATCH_SECONDS = 5.0
"""How long a watch of a backup reader waits. Afterwards it chooses its parent
again, as a daemon that precedes it may be able to read again."""
RECHECK_WATCH_SECONDS = 0.1
"""How long a recheck waits. Whether the store answers it soon shows whether
the store still serves this daemon."""
RETRY_SECONDS = 0.25
"""Mean delay after a first failed call to the store."""
RETRY_SECONDS_MAX = 1.0
"""Greatest mean delay; it doubles with each further failed call."""
AVOID_SECONDS = 3.0
"""For how long a daemon that did not answer, is stopping, or has lost the
store is avoided. Then it is polled again, with a poll that is not held
open."""
VANISHED_HOST_SECONDS = 5.0
"""For how long a host is still considered after its entry has vanished.
Entries that expired while the store was unreachable are missing for two
seconds after its recovery. Without this delay, 78 of a fleet's 96 daemons knew
no daemon to follow and read the store (``tests/fleets``)."""
PEER_AGE_SECONDS_MAX = 10.0
"""The greatest age of the view of a parent that is followed. The age is how
long ago the store answered the reader from which the view originates. A
reader knows by its checks, or by those of another failure domain, when the
store last answered, and reports the store as lost after at most 5 s without
an answer. So an older view that is not reported as lost has one of two
causes: the parent follows a daemon that only appears to read the store, or,
if a host has different addresses at different daemons, it follows itself."""
FAILURES_TO_READ = 2
"""After how many consecutive daemons without an answer the store is read: if
half of the preceding VMs are gone, finding one that answers would otherwise
take longer than the propagation bound."""
START_SECONDS = 2.0
"""For how long a starting daemon reads the store without requiring the latest
state, for which the store charges a tenth. It stops when it finds in the
store its own entry or a daemon to follow, which sends it newer changes. When
all daemons start at once, the entries of the instances appear a little later;
without the wait, 195 daemons that know no other would all watch the store."""
START_READ_INTERVAL_SECONDS = 0.5
"""Time between two such reads."""
WAIT_SECONDS_MIN = 0.001
"""Shorter waits are skipped: a timer that fires early by a rounding error
would be set again and again."""
NEXT_PEER_DELAY_SECONDS = 0.05
"""Delay before the next daemon is polled after one did not answer."""
POLL_INTERVAL_SECONDS = 0.02
"""Delay between an answer and the next poll: changes come in series, and a
daemon that always answers at once must not be polled in a busy loop."""


@dataclasses.dataclass(slots=True)
class Feed:
    """State of one daemon's feed.

    ``hosts`` are the known daemons of this failure domain, and
    ``earlier_hosts`` those that precede ``own_host``. Of ``hosts``,
    ``listed_hosts`` have an entry in the view; ``vanished_since`` has the
    time at which the entries of the others vanished. ``avoided_until`` holds
    daemons that did not answer, are stopping or stayed behind, and
    ``without_store_until`` those that have lost the store or whose view is
    too old, each with the time until which it is passed over. ``own_listed``
    is whether this daemon's instance has been in the view.

    ``parent`` has been followed since ``parent_since``, and
    ``parent_answered`` is whether it has answered since then.
    ``parent_behind_since`` is when it was first seen to lag behind this
    daemon's view. ``failed_polls`` counts consecutive polls without an
    answer. ``next_read_at`` and ``next_poll_at`` are when the next call may
    be made, and ``retry_delay`` is the delay after the next failed read.
    Until ``use_store_until`` the store is read even if there are daemons to
    follow.

    ``needs_full_read`` is whether the next read must return the whole store.
    ``recheck_due`` is whether the next watch is a recheck, because a peer or
    a check showed newer changes than the watch. ``checks`` show whether the
    store answers, and ``checks_for_all`` is whether the reader of this
    failure domain also checks it on behalf of the other failure domains.
    ``has_stale_view`` is whether the view comes from an answer that may be
    seconds old, from which no watch can continue. ``fallback`` is when this
    daemon checks the store because its parents have lost it.
    """

    own_host: str
    timing: _types.Timing
    started_at: float
    hosts: frozenset[str] = frozenset()
    listed_hosts: frozenset[str] = frozenset()
    vanished_since: dict[str, float] = dataclasses.field(default_factory=dict)
    earlier_hosts: tuple[str, ...] = ()
    own_listed: bool = False
    needs_full_read: bool = True
    avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    without_store_until: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    parent: str | None = None
    parent_since: float = 0.0
    parent_answered: bool = False
    parent_behind_since: float = math.inf
    failed_polls: int = 0
    use_store_until: float = -math.inf
    next_read_at: float = -math.inf
    next_poll_at: float = -math.inf
    retry_delay: float = RETRY_SECONDS
    recheck_due: bool = False
    checks: _checks.Checks = dataclasses.field(default_factory=_checks.Checks)
    checks_for_all: bool = True
    has_stale_view: bool = False
    fallback: _fallbacks.Fallback = dataclasses.field(
        default_factory=_fallbacks.Fallback
    )


def new_feed(own_host: str, timing: _types.Timing, now: float) -> Feed:
    """Return the feed of a starting daemon."""
    return Feed(own_host, timing, now)


def learn_hosts(feed: Feed, hosts: frozenset[str], now: float) -> None:
    """Update the hosts of this failure domain from those in the view."""
    feed.own_listed = feed.own_listed or feed.own_host in hosts
    vanished = feed.vanished_since | dict.fromkeys(
        feed.listed_hosts - hosts, now
    )
    feed.listed_hosts = hosts
    feed.vanished_since = {
        host: since
        for host, since in vanished.items()
        if host not in hosts and now - since < VANISHED_HOST_SECONDS
    }
    known = hosts | feed.vanished_since.keys()
    if known == feed.hosts:
        return
    feed.hosts = known
    feed.earlier_hosts = _orders.earlier_hosts(feed.hosts, feed.own_host)
    for until_by_host in (feed.avoided_until, feed.without_store_until):
        for unknown in [
            host for host in until_by_host if host not in feed.hosts
        ]:
            del until_by_host[unknown]


def adopt_address(feed: Feed, own_host: str) -> None:
    """Use another address as this daemon's own.

    Called when a poll to that address reached this daemon itself. Otherwise
    the daemon would follow itself, and order the hosts of its failure domain
    differently from its peers.
    """
    feed.own_host = own_host
    feed.own_listed = feed.own_listed or own_host in feed.hosts
    feed.earlier_hosts = _orders.earlier_hosts(feed.hosts, own_host)


def next_step(feed: Feed, now: float) -> _types.Step:
    """Return the next step of the feed."""
    if is_starting(feed, now):
        return _sleep_until(feed.next_read_at, now) or _types.Read(
            allow_stale=True
        )
    parent = choose_parent(feed, now)
    if parent != feed.parent:
        feed.parent, feed.parent_since = parent, now
        feed.parent_answered = False
        feed.parent_behind_since = math.inf
        _checks.forget_unanswered(feed.checks)
    if parent == STORE:
        return _sleep_until(feed.next_read_at, now) or _store_step(feed)
    hold = feed.timing.poll_hold if feed.parent_answered else 0.0
    timeout = hold + feed.timing.poll_margin
    return _sleep_until(feed.next_poll_at, now) or _types.Poll(
        parent, hold, timeout
    )


def choose_parent(feed: Feed, now: float) -> str:
    """Return the daemon to follow, or ``STORE`` to read the store.

    If all available daemons that precede this one have lost the store, this
    daemon calls the store if they are fewer than ``READERS_MAX`` or if it is
    a stand-in. Any other follows one of them in spite of the loss, until its
    own check of the store is answered (``_fallbacks``).
    """
    if now < feed.use_store_until:
        return STORE
    available = [
        host
        for host in feed.earlier_hosts
        if _has_expired(feed.avoided_until, host, now)
    ]
    preferred = [
        host
        for host in available
        if _has_expired(feed.without_store_until, host, now)
    ]
    if preferred:
        return _orders.select_parent(preferred)
    if len(available) < READERS_MAX or feed.fallback.stands_in:
        return STORE
    return _orders.select_parent(available)


def read_done(
    feed: Feed, now: float, answer_may_be_stale: bool, has_changes: bool = True
) -> None:
    """Record an answer of the store to a read or watch.

    ``answer_may_be_stale`` is whether the call was a read with
    ``allow_stale``, and ``has_changes`` whether the answer has changes.
    """
    uses_start_interval = answer_may_be_stale or feed.has_stale_view
    interval = (
        START_READ_INTERVAL_SECONDS
        if uses_start_interval
        else feed.timing.watch_interval
    )
    feed.next_read_at = now + interval
    if answer_may_be_stale and not is_starting(feed, now):
        feed.next_read_at = now
    feed.retry_delay = RETRY_SECONDS
    feed.needs_full_read = False
    feed.has_stale_view = answer_may_be_stale
    feed.recheck_due = False
    _checks.record_store_answer(feed.checks, now, has_changes)


def read_failed(
    feed: Feed, now: float, history_gone: bool, rng: random.Random
) -> None:
    """Record a failed call to the store.

    If the store no longer has the history that a watch needs, the whole store
    is read at once. If it gives the same answer to a full read, that is
    retried with a delay like any other failure, to avoid a busy loop.
    """
    if history_gone and not feed.needs_full_read:
        feed.needs_full_read = True
        return
    feed.use_store_until = -math.inf
    feed.fallback.stands_in = False
    feed.failed_polls = 0
    feed.next_read_at = now + feed.retry_delay * (0.5 + rng.random())
    feed.retry_delay = min(RETRY_SECONDS_MAX, 2.0 * feed.retry_delay)


def peer_answered(
    feed: Feed,
    host: str,
    status: _types.PeerStatus,
    own_content_revision: int,
    now: float,
    rng: random.Random,
) -> None:
    """Record the status in a daemon's answer to a poll.

    ``own_content_revision`` is the content revision of this daemon's view
    before the changes of the answer are applied. The parent's view has all
    changes up to ``status.revision``; if that is less, it lacks a change that
    this view has. Its content revision may be less though it lacks nothing.
    """
    feed.parent_answered = True
    if status.revision >= 0:
        feed.has_stale_view = False
    feed.failed_polls = 0
    feed.next_poll_at = now + POLL_INTERVAL_SECONDS
    feed.avoided_until.pop(host, None)
    feed.without_store_until.pop(host, None)
    if status.leaving:
        feed.avoided_until[host] = now + _jitter(AVOID_SECONDS, rng)
    if status.lost is not None or status.age_seconds > PEER_AGE_SECONDS_MAX:
        feed.without_store_until[host] = now + _jitter(AVOID_SECONDS, rng)
        _fall_back(feed, status, now, rng)
    elif now - status.age_seconds > feed.parent_since:
        feed.fallback.stands_in = False
    _avoid_if_behind(
        feed, host, status.revision < own_content_revision, now, rng
    )


def peer_failed(feed: Feed, host: str, now: float, rng: random.Random) -> None:
    """Record that a daemon did not answer in time."""
    feed.avoided_until[host] = now + _jitter(AVOID_SECONDS, rng)
    feed.next_poll_at = now + _jitter(NEXT_PEER_DELAY_SECONDS, rng)
    feed.failed_polls += 1
    if feed.failed_polls >= FAILURES_TO_READ:
        feed.failed_polls = 0
        feed.use_store_until = now + _jitter(AVOID_SECONDS, rng)
        feed.next_read_at = max(
            feed.next_read_at, now + _jitter(NEXT_PEER_DELAY_SECONDS, rng)
        )


def expedite_recheck(feed: Feed, now: float) -> None:
    """Recheck at once, as a peer reported newer changes."""
    feed.next_read_at = min(feed.next_read_at, now)
    feed.recheck_due = True


def request_full_read(feed: Feed, now: float) -> bool:
    """Request a full read at once, for changes that no watch reports.

    Return False if a full read is already under way; it is not restarted.
    """
    if feed.needs_full_read:
        return False
    feed.needs_full_read = True
    feed.next_read_at = min(feed.next_read_at, now)
    return True


def is_stalled(feed: Feed, last_answer_at: float, now: float) -> bool:
    """Return whether the watch of the store counts as stalled.

    That is so if the store has answered no daemon for long, as far as this
    daemon knows. ``last_answer_at`` is when it last answered one.
    """
    return (
        now - last_answer_at
        > _checks.STALLED_QUIET_FACTOR * feed.timing.quiet_limit
    )


def peer_ahead_limit(feed: Feed, last_answer_at: float, now: float) -> float:
    """Return how long a peer may be ahead before this daemon polls it.

    A peer is ahead if it has changes that this daemon's view lacks. A
    reader's own watch delivers them at once, apart from the interval between
    two watches, and not at all if the store does not answer it.
    """
    if not reads_store(feed):
        return feed.timing.lag_limit
    if is_stalled(feed, last_answer_at, now):
        return 0.0
    delay = min(feed.timing.watch_interval, max(0.0, feed.next_read_at - now))
    return delay + feed.timing.lag_grace


def reader_hosts(hosts: abc.Iterable[str]) -> tuple[str, ...]:
    """Return which of a failure domain's hosts may have to read the store."""
    return _orders.first_hosts(hosts, READERS_MAX)


def reads_store(feed: Feed) -> bool:
    """Return whether the daemon reads the store itself, or is starting."""
    return not feed.parent


def upcoming_parent_lost_store(feed: Feed, now: float) -> bool:
    """Return whether the parent that would be chosen now has lost the store.

    That parent may differ from ``feed.parent``, which is set by the next
    step. ``choose_parent`` says when it is chosen in spite of the loss.
    """
    parent = choose_parent(feed, now)
    return parent != STORE and not _has_expired(
        feed.without_store_until, parent, now
    )


def stands_in(feed: Feed) -> bool:
    """Return whether the daemon reads the store as a stand-in."""
    return feed.fallback.stands_in and reads_store(feed)


def confirm_store(feed: Feed, answered_at: float) -> bool:
    """Record when the store last answered; return whether it was in doubt."""
    return _fallbacks.confirm(feed.fallback, answered_at)


def _fall_back(
    feed: Feed, status: _types.PeerStatus, now: float, rng: random.Random
) -> None:
    """Use the store, or schedule a check of it, as a parent has lost it."""
    if feed.fallback.stands_in:
        if _fallbacks.should_resume(feed.fallback):
            feed.use_store_until = now + _jitter(AVOID_SECONDS, rng)
        return
    unanswered = status.age_seconds if status.lost is None else status.lost
    suspect_store(feed, now - unanswered, now, rng)


def suspect_store(
    feed: Feed, since: float, now: float, rng: random.Random
) -> None:
    """Schedule a check of the store, in the order of the hosts."""
    turn = len(feed.earlier_hosts) - 1
    _fallbacks.suspect(feed.fallback, feed.timing, since, turn, now, rng)


def _avoid_if_behind(
    feed: Feed, host: str, is_behind: bool, now: float, rng: random.Random
) -> None:
    """Avoid a parent whose view stays behind that of this daemon."""
    if not is_behind:
        feed.parent_behind_since = math.inf
        return
    feed.parent_behind_since = min(feed.parent_behind_since, now)
    if now - feed.parent_behind_since >= feed.timing.lag_limit:
        feed.avoided_until[host] = now + _jitter(AVOID_SECONDS, rng)


def _store_step(feed: Feed) -> _types.Step:
    if feed.needs_full_read or feed.has_stale_view:
        return _types.Read(allow_stale=False)
    if feed.recheck_due:
        return _types.Watch(RECHECK_WATCH_SECONDS)
    return _types.Watch(
        BACKUP_WATCH_SECONDS if feed.earlier_hosts else WATCH_SECONDS
    )


def is_starting(feed: Feed, now: float) -> bool:
    """Return whether the daemon has just started and knows no host."""
    knows_no_host = not feed.own_listed and not feed.earlier_hosts
    return knows_no_host and now - feed.started_at < START_SECONDS


def _sleep_until(not_before: float, now: float) -> _types.Sleep | None:
    remaining = not_before - now
    return _types.Sleep(remaining) if remaining >= WAIT_SECONDS_MIN else None


def _has_expired(
    until_by_host: abc.Mapping[str, float], host: str, now: float
) -> bool:
    return until_by_host.get(host, -math.inf) <= now


def _jitter(seconds: float, rng: random.Random) -> float:
    """Return ``seconds`` with jitter, so that calls don't coincide."""
    return seconds * (0.5 + rng.random())
