"""Taking news of policy and instances into use, and telling it in the log."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _status

if typing.TYPE_CHECKING:
    from collections import abc

REFUSED_KEPT = 1_000
"""Keys of unusable items whose revision is remembered, so that each is
logged once."""
KEY_SHOWN = 200
"""Characters of a key or reason in a log line; the store takes no longer
keys."""


def take_reading(daemon: _state.Daemon, reading: _dialect.Reading) -> None:
    """Take an answer of the store."""
    now = daemon.clock.monotonic()
    record_store_answer(daemon, now)
    log_refused_items(daemon, reading.refused)
    if views.UNORDERED < reading.revision < daemon.view.revision:
        _note_outdated(daemon, reading)
    take = views.replace_all if reading.whole else views.apply_changes
    told = take(
        daemon.view, reading.changes, reading.revision, reading.content, now
    )
    apply_news(daemon, told, "store")


def take_stale_reading(
    daemon: _state.Daemon, reading: _dialect.Reading
) -> None:
    """Take an answer that may be seconds old, so from before the era.

    It says nothing of which changes are known.
    """
    unordered = dataclasses.replace(
        reading, revision=views.UNORDERED, content=views.UNORDERED
    )
    take_reading(daemon, unordered)


def take_delta(
    daemon: _state.Daemon,
    status: feeds.PeerStatus,
    delta: views.Delta,
    host: str,
) -> bool:
    """Take what a daemon told; return whether anything became different."""
    now = daemon.clock.monotonic()
    views.note_store_recovering(daemon.view, status.recovering_seconds, now)
    told = views.take_delta(daemon.view, delta, now)
    apply_news(daemon, told, f"peer {host}")
    return bool(told)


def record_store_answer(
    daemon: _state.Daemon, now: float, age: float = 0.0
) -> None:
    """Note a word of the store, that a daemon may have had ``age`` ago."""
    away = views.lost_store_seconds(daemon.view, now) or 0.0
    if views.store_answered(daemon.view, now, age):
        _counters.count_state_change(daemon.counters, "store_back")
        daemon.journal.note(
            "store_back",
            revision=views.number_in_era(daemon.view.revision),
            away=away,
            source=_status.parent_name(daemon.feed.parent),
        )
        _polls.answer_all(daemon)


def record_store_failure(
    daemon: _state.Daemon, since: float, reason: str, detail: str
) -> None:
    """Note that there has been no word of the store since then."""
    if views.store_failed(daemon.view, since):
        _counters.count_state_change(daemon.counters, "store_lost")
        daemon.journal.note(
            "store_lost",
            reason=reason,
            detail=detail,
            revision=views.number_in_era(daemon.view.revision),
        )
        _polls.answer_all(daemon)


def log_failed_call(
    daemon: _state.Daemon,
    verb: str,
    error: _dialect.SourceError,
    begun: float,
) -> None:
    """Log a call to the store that has no answer, once it is over."""
    now = daemon.clock.monotonic()
    daemon.journal.request(
        "store_call_failed",
        error.reason.value,
        verb=verb,
        waited=now - begun,
        age=_status.view_age(daemon, now),
    )


def _note_outdated(daemon: _state.Daemon, reading: _dialect.Reading) -> None:
    """Log an answer that is dropped, as older than what is known."""
    _counters.count_state_change(daemon.counters, "reading_outdated")
    daemon.journal.request(
        "reading_outdated",
        "whole" if reading.whole else "watch",
        read=views.number_in_era(reading.revision),
        read_era=views.era_of(reading.revision),
        era=views.era_of(daemon.view.revision),
        revision=views.number_in_era(daemon.view.revision),
    )


def log_refused_items(
    daemon: _state.Daemon, refused: abc.Iterable[_dialect.RefusedItem]
) -> None:
    """Log and count each item that could not be used, once a revision."""
    for refusal in refused:
        if refusal.key and not _is_new(daemon, refusal):
            continue
        reason = refusal.reason.partition(":")[0]
        _counters.count_refused_item(daemon.counters, reason)
        daemon.journal.request(
            "item_refused",
            reason,
            key=refusal.key[:KEY_SHOWN],
            revision=refusal.revision,
            detail=refusal.reason[:KEY_SHOWN],
        )


def apply_news(
    daemon: _state.Daemon,
    told: abc.Sequence[tuple[views.News, str]],
    source: str,
) -> None:
    """Log what became different, take it into use and tell it on."""
    for news, key in told:
        _counters.count_state_change(daemon.counters, news.value)
        if news is views.News.RESTARTED:
            calls.record_restart(daemon.routes, key, daemon.clock.monotonic())
        _log(daemon, news, key, source)
    if not told:
        return
    view, settings = daemon.view, daemon.settings
    known = daemon.hosts
    daemon.hosts = views.other_hosts(view, daemon.feed.own_host)
    if daemon.hosts != known:
        _state.update_slack_parts(daemon)
    daemon.services = views.count_services(view)
    daemon.least_importance = views.least_importance(view)
    hosts = views.hosts_by_domain(view)
    near = hosts.pop(settings.failure_domain, frozenset())
    feeds.learn_hosts(daemon.feed, near, daemon.clock.monotonic())
    daemon.foreign_readers = [
        reader for far in hosts.values() for reader in feeds.reader_hosts(far)
    ]
    daemon.feed.checks_for_all = feeds.is_first(
        {*near, daemon.feed.own_host}, daemon.foreign_readers
    )
    _polls.answer_outdated(daemon)


def _log(
    daemon: _state.Daemon, news: views.News, key: str, source: str
) -> None:
    view = daemon.view
    if news is views.News.POLICY and view.table is not None:
        daemon.journal.note(
            "policy_in_force",
            version=view.table.policy.version,
            routes=len(view.table.policy.routes),
            revision=views.number_in_era(view.revision),
            source=source,
        )
        return
    if news is views.News.RESTORED:
        # The revisions that refused items had are given out again.
        daemon.refused_items.clear()
        daemon.journal.note(
            news.value,
            era=views.era_of(view.revision),
            revision=views.number_in_era(view.revision),
            source=source,
        )
        return
    daemon.journal.note(
        news.value,
        instance=key,
        revision=views.number_in_era(view.revision),
        source=source,
        **_shown(views.instance_by_id(view, key)),
    )


def _is_new(daemon: _state.Daemon, refusal: _dialect.RefusedItem) -> bool:
    """Return whether the item had not been refused at this revision."""
    if daemon.refused_items.get(refusal.key) == refusal.revision:
        return False
    daemon.refused_items.pop(refusal.key, None)
    daemon.refused_items[refusal.key] = refusal.revision
    if len(daemon.refused_items) > REFUSED_KEPT:
        del daemon.refused_items[next(iter(daemon.refused_items))]
    return True


def _shown(known: views.Instance | None) -> dict[str, str | int | float]:
    """Return what a log line tells of an instance.

    Two entries with one address, or one instance with few slots, explain
    failures that the id alone does not.
    """
    if known is None:
        return {}
    return {
        "service": known.service,
        "address": f"{known.host}:{known.port}",
        "slots": known.slots,
        "cold": known.cold_seconds,
        "born": known.born,
    }
