"""Tests of views that are updated from the store and from peers."""

from __future__ import annotations

import dataclasses

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views

LIMITS = policies.ClientLimits(1, 1, 1.0, 1.0)


def _policy(version: int) -> policies.Policy:
    return policies.Policy(version, (), LIMITS)


def _instance(
    instance_id: str,
    state: views.InstanceState = views.InstanceState.READY,
    host: str = "",
    since: int = 1,
) -> views.Instance:
    return views.Instance(
        instance_id,
        "s",
        host or f"host-{instance_id}",
        1,
        since,
        "d",
        "r",
        8,
        state,
        0.0,
    )


def _view_of(*changes: views.Change, revision: int = 10) -> views.View:
    view = views.new_view()
    views.replace_all(view, changes, revision, revision, 100.0)
    return view


def _targets(view: views.View) -> set[str]:
    return {target.vm for target in views.targets(view, "s")}


def test_older_policy_is_ignored() -> None:
    """An outdated answer of the store arrives after a newer one.

    A daemon that applied it would handle requests by a policy that the
    operators have replaced.
    """
    view = _view_of(_policy(7))
    assert not views.apply_changes(view, [_policy(5)], 11, 11, 101.0)
    assert view.table is not None
    assert view.table.policy.version == 7


@pytest.mark.parametrize(
    ("age", "back"),
    [(0.0, True), (1.9, True), (2.1, False), (9.0, False)],
)
def test_answer_from_before_an_outage_does_not_end_it(
    age: float, back: bool
) -> None:
    """A follower polls a daemon that has not yet detected the outage.

    The follower logged "store_back away=4.53" and reported the store lost
    again 50 ms later, repeatedly during the outage. For two seconds after
    each, it treated removed instances as possibly alive.
    """
    view = _view_of(_policy(7))
    views.store_failed(view, 100.0)
    assert views.store_answered(view, 102.0, age) is back
    assert (view.store_lost_since > 102.0) is back
    assert (view.recovering_until > 102.0) is back


def test_policies_of_one_answer_are_one_update() -> None:
    """One watch returns eight policies that were confirmed in a series.

    A daemon logged the last of them eight times at once, "policy_in_force
    version=30" at 38.771 s, so that the log lines could not be counted.
    """
    view = _view_of(_policy(7))
    series = [_policy(version) for version in (9, 12, 30, 14)]
    updates = views.apply_changes(view, series, 20, 20, 101.0)
    assert updates == [(views.News.POLICY, "")]
    assert view.table is not None
    assert view.table.policy.version == 30


@pytest.mark.parametrize(
    ("revision", "taken"), [(9, False), (10, False), (11, True)]
)
def test_snapshot_is_adopted_only_if_it_is_newer(
    revision: int, taken: bool
) -> None:
    view = _view_of(_policy(7))
    snapshot = views.Snapshot(revision, revision, _policy(8), ())
    assert bool(views.adopt_snapshot(view, snapshot, 101.0)) is taken


def test_leaving_instance_gets_no_requests() -> None:
    view = _view_of(_instance("a"), _instance("b"))
    leaving = _instance("a", views.InstanceState.LEAVING)
    updates = views.apply_changes(view, [leaving], 11, 11, 101.0)
    assert updates == [(views.News.LEAVING, "a")]
    assert _targets(view) == {"b"}


def test_older_full_read_is_dropped() -> None:
    """A slow full read ends after a newer watch.

    Applied, it would restore an instance that has left in the meantime, and
    drop one that has joined.
    """
    view = _view_of(_instance("a"), _instance("b"))
    changes: list[views.Change] = [views.Removed("a"), _instance("c")]
    views.apply_changes(view, changes, 12, 12, 101.0)
    views.replace_all(view, [_instance("a"), _instance("b")], 11, 11, 101.1)
    assert _targets(view) == {"b", "c"}


def test_removed_instance_serves_on_only_without_another() -> None:
    view = _view_of(_instance("a"), _instance("b"))
    views.apply_changes(view, [views.Removed("a")], 11, 11, 101.0)
    assert _targets(view) == {"b"}
    views.apply_changes(view, [views.Removed("b")], 12, 12, 101.1)
    assert _targets(view) == {"a", "b"}
    updates = views.expire(view, 103.0)
    assert dict(updates) == {views.News.GONE: "b"}
    assert _targets(view) == set()


def test_entries_that_expired_during_an_outage_are_kept() -> None:
    """An outage of the store lasts longer than the lifetime of entries.

    All entries are then missing for up to two seconds after the outage. A
    daemon that dropped the instances at once would refuse every request.
    """
    view = _view_of(_instance("a"), _instance("b"))
    assert views.store_failed(view, 101.0)
    assert not views.store_failed(view, 101.5)
    assert views.store_answered(view, 108.0)
    views.replace_all(view, [_instance("b")], 20, 20, 108.0)
    assert _targets(view) == {"a", "b"}
    views.apply_changes(view, [_instance("a")], 21, 21, 109.0)
    views.expire(view, 120.0)
    assert _targets(view) == {"a", "b"}


@pytest.mark.parametrize(("now", "stale"), [(100.5, False), (102.0, True)])
def test_store_is_unreachable_some_time_after_a_failed_call(
    now: float, stale: bool
) -> None:
    view = _view_of(_policy(1))
    views.store_failed(view, 100.0)
    assert views.is_store_unreachable(view, now) is stale


def test_store_counter_does_not_show_which_view_is_newer() -> None:
    """Unrelated writes advance the store's counter all the time.

    A daemon whose watch ended later seemed to be ahead, and the others
    repeatedly asked it for changes that they already had.
    """
    view = _view_of(_policy(1))
    views.apply_changes(view, [], 50, -1, 101.0)
    assert not views.is_behind(_view_of(_policy(1)), view.content_revision)


def test_snapshot_round_trip() -> None:
    view = _view_of(_policy(3), _instance("a"))
    other = views.new_view()
    views.adopt_snapshot(other, views.snapshot(view), 5.0)
    assert views.snapshot(other) == views.snapshot(view)
    assert dataclasses.asdict(views.snapshot(other))["revision"] == 10


@pytest.mark.parametrize("in_order", [True, False])
def test_instance_that_restarted_replaces_its_old_entry(
    in_order: bool,
) -> None:
    """All VMs lose power and restart before the old entries expire.

    Each instance restarts under another id at the same address. Half of the
    requests went to the old ids and were refused until their entries expired.
    """
    entries = [
        _instance("old", host="h", since=5),
        _instance("new", host="h", since=9),
    ]
    view = _view_of(*(entries if in_order else reversed(entries)))
    assert _targets(view) == {"new"}


def test_old_entry_that_vanishes_is_not_used_beside_its_successor() -> None:
    view = _view_of(_instance("old", host="h", since=5), _instance("b"))
    views.store_failed(view, 101.0)
    views.store_answered(view, 102.0)
    successor = _instance("new", host="h", since=11)
    views.apply_changes(view, [views.Removed("old"), successor], 11, 11, 102.1)
    assert _targets(view) == {"new", "b"}


def test_late_heartbeat_of_an_ended_instance_supersedes_no_other() -> None:
    """An instance has ended, and another runs at its address.

    A late heartbeat of the ended instance rewrites its entry, which is then
    the newer one. The running instance must be used again as soon as it has
    answered that it has another id.
    """
    view = _view_of(_instance("new", host="h", since=9), _instance("b"))
    late = _instance("old", host="h", since=11)
    views.apply_changes(view, [late], 11, 11, 101.0)
    assert _targets(view) == {"old", "b"}
    views.note_replaced(view, "old")
    assert _targets(view) == {"new", "b"}


def test_replaced_instance_is_used_again_only_after_its_entry_changed() -> (
    None
):
    """Another instance answered at its address, so it has ended.

    If that answer was wrong, a change of the entry shows that the instance
    is still running.
    """
    view = _view_of(_instance("a"), _instance("b"))
    assert views.note_replaced(view, "a") == [(views.News.REPLACED, "a")]
    assert views.note_replaced(view, "a") == []
    assert _targets(view) == {"b"}
    views.apply_changes(view, [_instance("a")], 11, 11, 101.0)
    assert _targets(view) == {"b"}
    changed = dataclasses.replace(_instance("a"), cold_seconds=1.0)
    views.apply_changes(view, [changed], 12, 12, 101.1)
    assert _targets(view) == {"a", "b"}


@pytest.mark.parametrize("state", list(views.InstanceState))
def test_run_under_the_same_id_starts_anew(
    state: views.InstanceState,
) -> None:
    """An instance crashes and restarts under the same id.

    Its entry was rewritten, but nothing marked it as another run, so the
    state recorded for the previous run was applied to the new one.
    """
    view = _view_of(dataclasses.replace(_instance("a", state), born=1000))
    again = dataclasses.replace(_instance("a"), born=2000)
    updates = views.apply_changes(view, [again], 11, 11, 101.0)
    assert updates == [(views.News.RESTARTED, "a")]
    assert views.born_at(view, "a") == 2000
    assert _targets(view) == {"a"}


@pytest.mark.parametrize("gone", [False, True])
def test_earlier_run_never_takes_the_place_of_a_later_one(gone: bool) -> None:
    """The store writes a late heartbeat of a run that has ended.

    It lists that run as leaving, so the current run would get no requests.
    """
    view = _view_of(dataclasses.replace(_instance("a"), born=2000))
    if gone:
        views.apply_changes(view, [views.Removed("a")], 11, 11, 101.0)
        views.expire(view, 110.0)
    late = dataclasses.replace(
        _instance("a", views.InstanceState.LEAVING, since=12), born=1000
    )
    updates = views.apply_changes(view, [late], 12, 12, 111.0)
    assert updates == [(views.News.OUTDATED, "a")]
    assert _targets(view) == (set() if gone else {"a"})


def test_lapsed_entry_that_comes_back_with_another_start_is_another_run() -> (
    None
):
    view = _view_of(dataclasses.replace(_instance("a"), born=1000))
    views.apply_changes(view, [views.Removed("a")], 11, 11, 101.0)
    same = dataclasses.replace(_instance("a"), born=1000)
    assert views.apply_changes(view, [same], 12, 12, 101.2) == [
        (views.News.ADDED, "a")
    ]
    views.apply_changes(view, [views.Removed("a")], 13, 13, 101.4)
    other = dataclasses.replace(_instance("a"), born=3000)
    assert views.apply_changes(view, [other], 14, 14, 101.6) == [
        (views.News.RESTARTED, "a")
    ]


def test_replaced_instance_is_used_again_after_its_restart() -> None:
    view = _view_of(dataclasses.replace(_instance("a"), born=1000))
    views.note_replaced(view, "a")
    assert _targets(view) == set()
    again = dataclasses.replace(_instance("a"), born=2000)
    views.apply_changes(view, [again], 11, 11, 101.0)
    assert _targets(view) == {"a"}


def test_peer_that_is_behind_restores_no_earlier_run() -> None:
    """A peer has read an old entry from the store at a later revision.

    A daemon of the previous version, which sends no start time, must not
    erase the known start time either.
    """
    view = _view_of(dataclasses.replace(_instance("a"), born=2000))
    old = dataclasses.replace(_instance("a"), born=1000, slots=1)
    views.adopt_snapshot(view, views.Snapshot(11, 11, None, (old,)), 101.0)
    no_start = _instance("a")
    views.adopt_snapshot(
        view, views.Snapshot(12, 12, None, (no_start,)), 102.0
    )
    known = views.instance_by_id(view, "a")
    assert known is not None
    assert (known.born, known.slots) == (2000, 8)


@pytest.mark.parametrize(
    ("old", "new", "used"),
    [
        ((5, 2000), (9, 1000), "old"),
        ((5, 1000), (9, 2000), "new"),
        ((5, 0), (9, 2000), "new"),
        ((9, 2000), (5, 0), "old"),
    ],
)
def test_of_two_entries_with_one_address_the_later_start_counts(
    old: tuple[int, int], new: tuple[int, int], used: str
) -> None:
    """A restarted run rewrites its entry, which keeps its first revision."""
    entries = [
        dataclasses.replace(
            _instance(key, host="h", since=since), born=started
        )
        for key, (since, started) in {"old": old, "new": new}.items()
    ]
    assert _targets(_view_of(*entries)) == {used}


def test_instance_with_an_unreadable_entry_is_dropped() -> None:
    view = _view_of(_instance("a"), _instance("b"))
    updates = views.apply_changes(view, [views.Unusable("a")], 11, 11, 101.0)
    assert updates == [(views.News.UNUSABLE, "a")]
    assert _targets(view) == {"b"}
    assert (
        views.apply_changes(view, [views.Unusable("x")], 12, 12, 101.1) == []
    )


def test_entry_of_an_unknown_service_supersedes_no_instance() -> None:
    """A forged entry names an unknown service at a valid one's address."""
    route = policies.Route(
        "r", "h", "/", True, 1.0, 1.0, 5, 2, (policies.Share("s", 1.0),)
    )
    forged = dataclasses.replace(
        _instance("x", host="h", since=99), service="unknown"
    )
    view = _view_of(
        policies.Policy(1, (route,), LIMITS), _instance("a", host="h"), forged
    )
    assert _targets(view) == {"a"}
    assert views.count_services(view) == 1
    assert views.other_hosts(view, "other") == ["h"]


def test_starts_that_are_remembered_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "sassafrasstair.decisions.views._changes.STARTS_KEPT", 3
    )
    view = _view_of()
    for number in range(10):
        entry = dataclasses.replace(_instance(f"i{number}"), born=1 + number)
        views.apply_changes(view, [entry], 11 + number, 11 + number, 101.0)
    assert len(view.latest_starts) == 3


@pytest.mark.parametrize(
    ("said_born", "entry_born", "targeted"),
    [(5, 5, False), (5, 9, True), (0, 0, False), (0, 9, False)],
)
def test_run_that_said_it_leaves_gets_no_requests(
    said_born: int, entry_born: int, targeted: bool
) -> None:
    """Its entry still lists it as ready; a later run of the id is another."""
    view = views.new_view()
    entry = dataclasses.replace(_instance("one"), born=said_born)
    views.apply_changes(view, [entry], 1, 1, 0.0)
    views.note_said_to_leave(view, "one", said_born)
    assert not views.targets(view, "s")
    views.apply_changes(view, [views.Removed("one")], 2, 2, 1.0)
    again = dataclasses.replace(entry, born=entry_born)
    views.apply_changes(view, [again], 3, 3, 2.0)
    assert bool(views.targets(view, "s")) is targeted
