"""Applies changes of policy and instances to the view, and logs them."""

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

REFUSED_ITEMS_MAX = 1_000
"""How many keys of unusable items are remembered with their revision, so that
each item is logged once."""
LOGGED_CHARACTERS_MAX = 200
"""Characters of a key or reason in a log line; keys in the store are no
longer than this."""


def take_reading(daemon: _state.Daemon, reading: _dialect.Reading) -> None:
    """Apply an answer of the store to the view."""
    now = daemon.clock.monotonic()
    record_store_answer(daemon, now)
    log_refused_items(daemon, reading.refused)
    if views.UNORDERED < reading.revision < daemon.view.revision:
        _log_outdated_reading(daemon, reading)
    apply = views.replace_all if reading.whole else views.apply_changes
    news = apply(
        daemon.view, reading.changes, reading.revision, reading.content, now
    )
    views.note_ahead(daemon.view, reading.latest)
    apply_news(daemon, news, "store")


def take_stale_reading(
    daemon: _state.Daemon, reading: _dialect.Reading
) -> None:
    """Apply an answer that may be seconds old, and so from an earlier era.

    It is applied without its revisions, which do not show what is known. They
    tell only how late its entries may be.
    """
    unordered = dataclasses.replace(
        reading,
        revision=views.UNORDERED,
        content=views.UNORDERED,
        latest=max(reading.latest, reading.revision),
    )
    take_reading(daemon, unordered)


def take_delta(
    daemon: _state.Daemon,
    status: feeds.PeerStatus,
    delta: views.Delta,
    host: str,
) -> bool:
    """Apply the changes of a peer; return whether any had an effect."""
    now = daemon.clock.monotonic()
    views.note_store_recovering(daemon.view, status.recovering_seconds, now)
    news = views.take_delta(daemon.view, delta, now)
    apply_news(daemon, news, f"peer {host}")
    return bool(news)


def record_store_answer(
    daemon: _state.Daemon, now: float, age: float = 0.0
) -> None:
    """Record an answer of the store, given to any daemon ``age`` ago."""
    lost_seconds = views.lost_store_seconds(daemon.view, now) or 0.0
    was_lost = views.store_answered(daemon.view, now, age)
    # Followers that are in doubt of the store, too, learn of it at once.
    was_suspected = feeds.confirm_store(daemon.feed, now - age)
    if was_lost:
        _counters.count_state_change(daemon.counters, "store_back")
        daemon.journal.note(
            "store_back",
            revision=views.number_in_era(daemon.view.revision),
            away=lost_seconds,
            source=_status.parent_name(daemon.feed.parent),
        )
    if was_lost or was_suspected:
        _polls.answer_all(daemon)


def record_store_failure(
    daemon: _state.Daemon, since: float, reason: str, detail: str
) -> None:
    """Record that the store has not answered since ``since``."""
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
    started_at: float,
) -> None:
    """Log a call to the store that has failed."""
    now = daemon.clock.monotonic()
    daemon.journal.request(
        "store_call_failed",
        error.reason.value,
        verb=verb,
        waited=now - started_at,
        age=_status.view_age(daemon, now),
    )


def _log_outdated_reading(
    daemon: _state.Daemon, reading: _dialect.Reading
) -> None:
    """Log an answer that is dropped, as it is older than the view."""
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
    daemon: _state.Daemon, items: abc.Iterable[_dialect.RefusedItem]
) -> None:
    """Log and count each unusable item, once per revision."""
    for item in items:
        if item.key and not _is_new_refusal(daemon, item):
            continue
        reason = item.reason.partition(":")[0]
        _counters.count_refused_item(daemon.counters, reason)
        daemon.journal.request(
            "item_refused",
            reason,
            key=item.key[:LOGGED_CHARACTERS_MAX],
            revision=item.revision,
            detail=item.reason[:LOGGED_CHARACTERS_MAX],
        )


def apply_news(
    daemon: _state.Daemon,
    changes: abc.Sequence[tuple[views.News, str]],
    source: str,
) -> None:
    """Log changes of the view and update the state that depends on it.

    The held polls of peers that lack the changes are answered.
    """
    for news, key in changes:
        _counters.count_state_change(daemon.counters, news.value)
        if news is views.News.RESTARTED:
            calls.record_restart(daemon.routes, key, daemon.clock.monotonic())
            daemon.last_notices.pop(key, None)
        _log_news(daemon, news, key, source)
    if not changes:
        return
    view, settings = daemon.view, daemon.settings
    previous_hosts = daemon.hosts
    daemon.hosts = views.other_hosts(view, daemon.feed.own_host)
    if daemon.hosts != previous_hosts:
        _state.update_slack_parts(daemon)
    daemon.services = views.count_services(view)
    daemon.least_importance = views.least_importance(view)
    hosts_by_domain = views.hosts_by_domain(view)
    own_domain_hosts = hosts_by_domain.pop(
        settings.failure_domain, frozenset()
    )
    feeds.learn_hosts(daemon.feed, own_domain_hosts, daemon.clock.monotonic())
    daemon.foreign_readers = [
        reader
        for hosts in hosts_by_domain.values()
        for reader in feeds.reader_hosts(hosts)
    ]
    daemon.feed.checks_for_all = feeds.is_first(
        {*own_domain_hosts, daemon.feed.own_host}, daemon.foreign_readers
    )
    _polls.answer_outdated(daemon)


def _log_news(
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
        # A restored store reuses the revisions of refused items.
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
        **_instance_fields(views.instance_by_id(view, key)),
    )


def _is_new_refusal(daemon: _state.Daemon, item: _dialect.RefusedItem) -> bool:
    """Return whether the item was not yet refused at this revision."""
    if daemon.refused_items.get(item.key) == item.revision:
        return False
    daemon.refused_items.pop(item.key, None)
    daemon.refused_items[item.key] = item.revision
    if len(daemon.refused_items) > REFUSED_ITEMS_MAX:
        del daemon.refused_items[next(iter(daemon.refused_items))]
    return True


def _instance_fields(
    instance: views.Instance | None,
) -> dict[str, str | int | float]:
    """Return the fields of an instance in a log line.

    Two entries with the same address, or an instance with few slots, explain
    failures that the id alone does not.
    """
    if instance is None:
        return {}
    return {
        "service": instance.service,
        "address": f"{instance.host}:{instance.port}",
        "slots": instance.slots,
        "cold": instance.cold_seconds,
        "born": instance.born,
    }
