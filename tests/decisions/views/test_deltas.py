"""Tests of the changes that a daemon sends to a peer that is behind."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.decisions.views import _histories
from tests.decisions.views import test_views

KEYS = ("a", "b", "c", "d")
LIMITS = policies.ClientLimits(4096, 1_000_000, 2.0, 10.0)


def _instance(
    instance_id: str, slots: int, cold_seconds: float = 0.0
) -> views.Instance:
    state = views.InstanceState.READY
    return views.Instance(
        instance_id,
        "s",
        f"h-{instance_id}",
        1,
        1,
        "d",
        "r",
        slots,
        state,
        cold_seconds,
    )


def _policy(version: int) -> policies.Policy:
    return policies.Policy(version, (), LIMITS)


CHANGES = strategies.one_of(
    strategies.builds(
        _instance,
        strategies.sampled_from(KEYS),
        strategies.integers(1, 3),
        strategies.sampled_from([0.0, 1.5]),
    ),
    strategies.builds(views.Removed, strategies.sampled_from(KEYS)),
    strategies.builds(views.Unusable, strategies.sampled_from(KEYS)),
    strategies.builds(_policy, strategies.integers(1, 20)),
)
# A batch of changes, after which the follower may poll, or restart.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.lists(CHANGES, max_size=4),
        strategies.sampled_from(["ask", "wait", "restart", "reader_restarts"]),
    ),
    max_size=30,
)


def _same(one: views.View, other: views.View) -> bool:
    policy = [view.table and view.table.policy for view in (one, other)]
    slots = [
        {key: each.slots for key, each in view.instances.items()}
        for view in (one, other)
    ]
    return policy[0] == policy[1] and slots[0] == slots[1]


# A reader that restarted and found the store empty reported no changes, so
# its follower kept an instance that was gone.
@hypothesis.example(
    [
        ([_instance("a", 1)], "ask"),
        ([views.Removed("a")], "reader_restarts"),
    ]
)
@hypothesis.given(STEPS)
def test_follower_has_the_view_of_its_reader(
    steps: list[tuple[list[views.Change], str]],
) -> None:
    """A follower polls now and then, and either side may restart.

    Whatever it missed, one answer brings its view up to the reader's.
    """
    reader, follower = views.new_view(), views.new_view()
    store: dict[str, views.Change] = {}
    revision = 1
    for changes, action in steps:
        batch = []
        for change in changes:
            revision += 1
            batch.append(change)
            if isinstance(change, policies.Policy):
                store["policy"] = max(
                    change,
                    store.get("policy", change),
                    key=lambda one: getattr(one, "version", 0),
                )
            elif isinstance(change, views.Instance):
                store[change.id] = change
            else:
                store.pop(change.id, None)
        if action == "reader_restarts":
            reader = views.new_view()
            views.replace_all(
                reader, tuple(store.values()), revision, revision, 0.0
            )
        else:
            views.apply_changes(reader, batch, revision, revision, 0.0)
        if action == "restart":
            follower = views.new_view()
        if action != "wait":
            delta = views.delta_since(reader, follower.content_revision)
            views.take_delta(follower, delta, 0.0)
            assert _same(reader, follower)
            assert follower.content_revision == reader.content_revision


def test_cold_seconds_alone_are_no_change() -> None:
    """A starting instance rewrites its entry with each heartbeat.

    If these changes were sent on, the 195 instances of a fleet would wake all
    daemons 130 times a second.
    """
    view = views.new_view()
    views.replace_all(view, [_instance("a", 8, 3.0)], 10, 10, 0.0)
    assert (
        views.apply_changes(view, [_instance("a", 8, 1.5)], 11, 11, 0.0) == []
    )
    assert (view.content_revision, view.revision) == (10, 11)
    assert views.delta_since(view, 10).empty
    assert not views.is_behind(view, 11)


def test_changes_of_one_entry_coalesce() -> None:
    view = views.new_view()
    views.replace_all(view, [_instance("a", 1)], 10, 10, 0.0)
    for slots in range(2, 50):
        change = _instance("a", slots)
        views.apply_changes(view, [change], 10 + slots, 10 + slots, 0.0)
    delta = views.delta_since(view, 10)
    assert delta.instances == (_instance("a", 49),)
    assert not delta.whole


def test_follower_that_is_far_behind_gets_the_whole_view() -> None:
    """More instances were replaced than the history keeps removals.

    With a partial delta, a follower from before would never drop the
    instances whose removal is no longer in the history.
    """
    view = views.new_view()
    views.replace_all(view, [_instance("a", 1)], 1, 1, 0.0)
    for number in range(2, _histories.REMOVALS_KEPT + 10):
        key = f"i-{number}"
        views.apply_changes(
            view, [_instance(key, 1)], 2 * number, 2 * number, float(number)
        )
        views.apply_changes(
            view,
            [views.Removed(key)],
            2 * number + 1,
            2 * number + 1,
            float(number),
        )
    assert views.delta_since(view, 1).whole
    assert len(view.history.removals) == _histories.REMOVALS_KEPT
    recent = views.delta_since(view, view.content_revision - 4)
    assert not recent.whole
    assert recent.removed


def test_late_entry_of_an_earlier_run_keeps_the_removal() -> None:
    """A late heartbeat of an earlier run arrives after a removal.

    A follower that has not received the removal must still receive it.
    """
    view = test_views._view_of(_instance("b", 1))
    later_run = views.Instance(
        "a", "s", "h", 1, 1, "d", "r", 8, views.InstanceState.READY, 0.0, 50
    )
    earlier_run = views.Instance(
        "a", "s", "h", 1, 1, "d", "r", 8, views.InstanceState.READY, 0.0, 40
    )
    views.apply_changes(view, [later_run], 11, 11, 0.0)
    views.apply_changes(view, [views.Removed("a")], 12, 12, 0.0)
    views.apply_changes(view, [earlier_run], 13, 13, 0.0)
    assert views.delta_since(view, 11).removed == ("a",)


def test_later_era_replaces_the_view() -> None:
    """The revision number may be smaller after a restore.

    Compared without the era, the view ignored reads of the restored store.
    """
    view = views.new_view()
    before, after = views.pack_revision(1, 90), views.pack_revision(2, 20)
    views.replace_all(
        view, [_instance("a", 1), _instance("b", 1)], before, before, 0.0
    )
    updates = views.replace_all(view, [_instance("b", 1)], after, after, 1.0)
    assert updates[0] == (views.News.RESTORED, "")
    assert set(view.instances) == {"b"}
    assert (view.revision, view.content_revision) == (after, after)


def test_follower_of_an_earlier_era_gets_the_whole_view() -> None:
    """No history lists the entries that an older copy of the store lacks.

    With a partial delta, the follower kept the missing instances.
    """
    reader, follower = views.new_view(), views.new_view()
    before, after = views.pack_revision(1, 90), views.pack_revision(2, 20)
    for view in (reader, follower):
        views.replace_all(view, [_instance("a", 1)], before, before, 0.0)
    views.replace_all(reader, [], after, after, 1.0)
    delta = views.delta_since(reader, follower.revision)
    assert delta.whole
    views.take_delta(follower, delta, 1.0)
    assert not follower.instances
    assert follower.revision == after


def test_partial_delta_of_a_later_era_is_dropped() -> None:
    """A partial delta does not list the entries that a restore removed.

    With it, the view would have the new revision and still these entries.
    """
    view = views.new_view()
    before, after = views.pack_revision(1, 90), views.pack_revision(2, 20)
    views.replace_all(view, [_instance("a", 1)], before, before, 0.0)
    assert not views.take_delta(view, views.Delta(after, after), 1.0)
    assert view.revision == before
