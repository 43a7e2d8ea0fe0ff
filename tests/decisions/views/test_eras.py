"""Tests of what a view keeps when the store is restored from a copy."""

from __future__ import annotations

import dataclasses
import math

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.decisions.views import _views

BEFORE, AFTER = views.pack_revision(1, 90), views.pack_revision(2, 20)
READY = views.Instance(
    "i", "s", "h", 1, 1, "d", "r", 8, views.InstanceState.READY, 0.0
)
LEAVING = dataclasses.replace(READY, state=views.InstanceState.LEAVING)
OTHER = dataclasses.replace(READY, id="o", host="h2")
LIMITS = policies.ClientLimits(1, 1, 1.0, 1.0)


def _view_of(*changes: views.Change) -> views.View:
    view = views.new_view()
    views.replace_all(view, changes, BEFORE, BEFORE, 100.0)
    return view


def _restore(view: views.View, *changes: views.Change) -> None:
    views.replace_all(view, changes, AFTER, AFTER, 103.0)


def _targets(view: views.View) -> set[str]:
    return {target.vm for target in views.targets(view, "s")}


def test_policy_survives_a_restore_of_the_store() -> None:
    """A daemon reverted to a policy that had been replaced."""
    old, new = (policies.Policy(version, (), LIMITS) for version in (5, 7))
    view = _view_of(new)
    _restore(view, old)
    assert views.active_version(view) == 7
    assert views.delta_since(view, BEFORE).policy == new


def test_policy_written_again_reaches_a_follower_that_read_the_copy() -> None:
    """A daemon that started from the copy kept its policy until the next."""
    old, new = (policies.Policy(version, (), LIMITS) for version in (5, 7))
    reader = _view_of(new)
    _restore(reader, old)
    follower = views.new_view()
    _restore(follower, old)
    written = AFTER + 1
    views.apply_changes(reader, [new], written, written, 104.0)
    delta = views.delta_since(reader, follower.revision)
    views.take_delta(follower, delta, 104.0)
    assert views.active_version(follower) == 7


OLD, NEW = (policies.Policy(version, (), LIMITS) for version in (5, 7))
RERUN = dataclasses.replace(READY, born=6, port=2)
LOST_CHANGES = [
    pytest.param(OLD, NEW, NEW, id="policy"),
    pytest.param(READY, LEAVING, LEAVING, id="leaving"),
    pytest.param(
        dataclasses.replace(READY, born=5), RERUN, RERUN, id="later run"
    ),
    pytest.param(
        dataclasses.replace(READY, born=5),
        RERUN,
        dataclasses.replace(RERUN, cold_seconds=1.0),
        id="heartbeat of a later run",
    ),
]


def _poll(
    peer: views.View, poller: views.View
) -> list[tuple[views.News, str]]:
    delta = views.delta_since(peer, poller.revision)
    return views.take_delta(poller, delta, 104.0)


def _contents(view: views.View) -> tuple[int, list[views.Instance]]:
    return views.active_version(view), list(view.instances.values())


@pytest.mark.parametrize("is_full_read", [False, True])
@pytest.mark.parametrize(("before", "after", "written"), LOST_CHANGES)
def test_lost_change_reaches_followers_that_read_the_copy(
    before: views.Change,
    after: views.Change,
    written: views.Change,
    is_full_read: bool,
) -> None:
    """Daemons kept the copy's state, below those that kept the later one."""
    reader, middle = _view_of(after), _view_of(after)
    _restore(reader, before)
    _poll(reader, middle)
    below_reader, below_middle = views.new_view(), views.new_view()
    _restore(below_reader, before)
    _restore(below_middle, before)
    take = views.replace_all if is_full_read else views.apply_changes
    take(reader, [written], AFTER + 1, AFTER + 1, 104.0)
    assert _poll(reader, middle)
    _poll(reader, below_reader)
    _poll(middle, below_middle)
    assert _contents(below_reader) == _contents(reader)
    assert _contents(below_middle) == _contents(reader)


@pytest.mark.parametrize(("before", "after", "written"), LOST_CHANGES)
def test_lost_change_reaches_followers_of_a_new_reader(
    before: views.Change, after: views.Change, written: views.Change
) -> None:
    """The reader stops between the restore and the write."""
    reader, heir = _view_of(after), _view_of(after)
    _restore(reader, before)
    _poll(reader, heir)
    follower = views.new_view()
    _restore(follower, before)
    views.apply_changes(heir, [written], AFTER + 1, AFTER + 1, 104.0)
    _poll(heir, follower)
    assert _contents(follower) == _contents(heir)


@pytest.mark.parametrize("is_full_read", [False, True])
def test_end_of_an_earlier_run_reaches_followers_that_read_the_copy(
    is_full_read: bool,
) -> None:
    """The later run had ended, so that the reader had no entry to remove."""
    reader = _view_of(RERUN, OTHER)
    views.apply_changes(
        reader, [views.Removed("i")], BEFORE + 1, BEFORE + 1, 101.0
    )
    copy = (dataclasses.replace(READY, born=5), OTHER)
    _restore(reader, *copy)
    follower = views.new_view()
    _restore(follower, *copy)
    if is_full_read:
        views.replace_all(reader, [OTHER], AFTER + 1, AFTER + 1, 104.0)
    else:
        views.apply_changes(
            reader, [views.Removed("i")], AFTER + 1, AFTER + 1, 104.0
        )
    _poll(reader, follower)
    assert list(follower.instances) == ["o"]


def test_lost_change_counts_once() -> None:
    """Each heartbeat of a kept instance would wake all daemons."""
    reader = _view_of(NEW, RERUN)
    _restore(reader, OLD, dataclasses.replace(READY, born=5))
    written: list[views.Change] = [NEW, RERUN]
    news = views.News.WRITTEN_AGAIN
    updates = views.apply_changes(reader, written, AFTER + 1, AFTER + 1, 104.0)
    assert updates == [(news, ""), (news, "i")]
    assert not views.apply_changes(
        reader, written, AFTER + 2, AFTER + 2, 104.5
    )


@pytest.mark.parametrize("born", [0, 5])
def test_leaving_instance_gets_no_requests_when_listed_ready_again(
    born: int,
) -> None:
    """The copy was made before the instance announced that it is leaving."""
    ready = dataclasses.replace(READY, born=born)
    view = _view_of(dataclasses.replace(LEAVING, born=born), OTHER)
    _restore(view, ready, OTHER)
    assert _targets(view) == {"o"}
    views.apply_changes(view, [ready], AFTER + 1, AFTER + 1, 104.0)
    assert _targets(view) == {"o"}


def test_later_run_under_the_id_of_a_leaving_instance_gets_requests() -> None:
    """The instance has restarted under the same id since it left."""
    view = _view_of(dataclasses.replace(LEAVING, born=5), OTHER)
    _restore(view, dataclasses.replace(READY, born=6), OTHER)
    assert _targets(view) == {"i", "o"}


@pytest.mark.parametrize("last", [READY, LEAVING])
def test_removed_instance_is_held_back_when_listed_again(
    last: views.Instance,
) -> None:
    """The copy was made before the entry was removed."""
    view = _view_of(last, OTHER)
    views.apply_changes(
        view, [views.Removed("i")], BEFORE + 1, BEFORE + 1, 101.0
    )
    _restore(view, READY, OTHER)
    assert _targets(view) == {"o"}
    views.replace_all(view, [READY, OTHER], AFTER + 1, AFTER + 1, 105.0)
    assert _targets(view) == {"o"}


def test_hold_back_ends_once_the_entry_changes() -> None:
    """The heartbeats of a running instance were lost for a while."""
    view = _view_of(READY, OTHER)
    views.apply_changes(
        view, [views.Removed("i")], BEFORE + 1, BEFORE + 1, 101.0
    )
    _restore(view, READY, OTHER)
    again = dataclasses.replace(READY, slots=7)
    views.apply_changes(view, [again], AFTER + 1, AFTER + 1, 104.0)
    assert _targets(view) == {"i", "o"}


def test_hold_back_ends_in_time_if_the_entry_stays() -> None:
    """A running instance renews its entry without changing it."""
    view = _view_of(READY, OTHER)
    views.apply_changes(
        view, [views.Removed("i")], BEFORE + 1, BEFORE + 1, 101.0
    )
    _restore(view, READY, OTHER)
    now = 103.0 + _views.HOLD_BACK_SECONDS
    views.expire(view, now - 0.1)
    assert _targets(view) == {"o"}
    assert (views.News.HOLD_BACK_ENDED, "i") in views.expire(view, now)
    assert _targets(view) == {"i", "o"}


def test_instance_that_reappears_within_an_era_is_not_held_back() -> None:
    """The entry of an instance expired and was written again."""
    view = _view_of(READY, OTHER)
    views.apply_changes(
        view, [views.Removed("i")], BEFORE + 1, BEFORE + 1, 101.0
    )
    views.apply_changes(view, [READY], BEFORE + 2, BEFORE + 2, 103.0)
    assert _targets(view) == {"i", "o"}


def test_instance_that_the_copy_lacks_is_used_until_it_writes_again() -> None:
    """An instance had joined after the copy was made.

    It got no requests for seconds after the restore.
    """
    view = _view_of(READY, OTHER)
    _restore(view, OTHER)
    assert _targets(view) == {"i", "o"}
    views.expire(view, 103.0 + _views.LAPSED_SECONDS)
    assert _targets(view) == {"o"}
    views.apply_changes(view, [READY], AFTER + 1, AFTER + 1, 105.0)
    assert _targets(view) == {"i", "o"}


def test_revision_without_an_era_is_dropped_after_a_restore() -> None:
    """A daemon of the previous version sends revisions without an era.

    They count as revisions of an earlier era.
    """
    view = _view_of(READY)
    _restore(view, OTHER)
    known = (READY, LEAVING, OTHER)
    for revision in (90, views.NUMBER_MAX):
        delta = views.Delta(revision, revision, True, None, known)
        assert not views.take_delta(view, delta, 105.0)
        snapshot = views.Snapshot(revision, revision, None, known)
        assert not views.adopt_snapshot(view, snapshot, 105.0)
    assert view.revision == AFTER


def test_earlier_run_in_the_copy_is_ignored() -> None:
    """The copy was made before the instance restarted under its id."""
    later = dataclasses.replace(READY, born=6, port=2)
    view = _view_of(later)
    _restore(view, dataclasses.replace(READY, born=5))
    assert views.instance_by_id(view, "i") == later


def test_instance_that_the_copy_lacks_and_that_has_died_is_gone() -> None:
    """An instance that the copy lacks never writes its entry again.

    No removal is reported for an entry that does not exist.
    """
    view = _view_of(READY, OTHER)
    _restore(view, OTHER)
    updates = views.expire(view, 103.0 + _views.LAPSED_SECONDS)
    assert updates == [(views.News.GONE, "i")]
    assert _targets(view) == {"o"}


@pytest.mark.parametrize(
    ("confirmed_at", "may_lack"),
    [(100.0, True), (101.9, True), (102.0, False), (104.0, False)],
)
def test_first_policy_may_be_that_of_an_older_copy(
    confirmed_at: float, may_lack: bool
) -> None:
    """A daemon that started right after a restore denied a valid key."""
    view = views.new_view()
    assert views.may_lack_changes(view)
    policy = policies.Policy(5, (), LIMITS)
    views.replace_all(view, [policy], AFTER, AFTER, 100.0)
    assert views.apply_confirmation(view, 5, confirmed_at)
    assert views.may_lack_changes(view) is may_lack


def test_stale_state_does_not_settle_a_view() -> None:
    """A stale read shows nothing of when the store was restored."""
    view = views.new_view()
    policy = policies.Policy(5, (), LIMITS)
    stale = views.UNORDERED
    views.replace_all(view, [policy], stale, stale, 90.0)
    views.replace_all(view, [policy], AFTER, AFTER, 100.0)
    views.apply_confirmation(view, 5, 101.9)
    assert views.may_lack_changes(view)


def test_peer_in_a_later_era_confirms_nothing() -> None:
    """A daemon that started after a restore confirmed a lost policy."""
    view = _view_of(policies.Policy(5, (), LIMITS))
    confirmation = views.Confirmation(5, 0.1)
    assert not views.receive_confirmation(view, confirmation, 104.0, AFTER)
    assert views.unconfirmed_seconds(view, 104.0) == math.inf
    assert views.receive_confirmation(view, confirmation, 104.0, BEFORE)
    assert views.unconfirmed_seconds(view, 104.0) == pytest.approx(0.1)
