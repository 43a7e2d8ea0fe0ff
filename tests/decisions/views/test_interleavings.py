"""Tests of views that are updated by the store and peers in any order."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views

VIEWS = 3
KEYS = ("a", "b")
LIMITS = policies.ClientLimits(4096, 1_000_000, 2.0, 10.0)
POLICY = "policy"
_State = policies.Policy | views.Instance | None
_Step = tuple[str, str | int, str | int]
"""An action, the daemon or key that it concerns, and a detail of it."""


@dataclasses.dataclass
class _Store:
    """All states of each entry: ``log[r - 1]`` is the change at ``r``."""

    log: list[tuple[str, _State]] = dataclasses.field(default_factory=list)

    @property
    def revision(self) -> int:
        return len(self.log)

    def state(self, key: str, revision: int) -> _State:
        """Return the state of an entry as of a revision."""
        found = [state for one, state in self.log[:revision] if one == key]
        return found[-1] if found else None

    def page(self, keys: tuple[str, ...], revision: int) -> list[views.Change]:
        """Return the entries of some keys as of a revision."""
        states = [self.state(key, revision) for key in keys]
        return [state for state in states if state is not None]

    def changes(self, after: int) -> list[views.Change]:
        """Return the changes after a revision."""
        return [
            views.Removed(key) if state is None else state
            for key, state in self.log[after:]
        ]

    def write(self, key: str, step: str) -> None:
        """Write the next state of an entry."""
        state = self.state(key, self.revision)
        if key == POLICY:
            version = self.revision + 1
            self.log.append((key, policies.Policy(version, (), LIMITS)))
        elif not isinstance(state, views.Instance) or step == "restart":
            self.log.append((key, _instance(key, self.revision + 1)))
        elif step == "remove":
            self.log.append((key, None))
        elif step == "leave":
            leaving = views.InstanceState.LEAVING
            state = dataclasses.replace(state, state=leaving)
            self.log.append((key, state))
        else:
            slots = state.slots + (step == "resize")
            self.log.append((key, dataclasses.replace(state, slots=slots)))


def _instance(key: str, born: int) -> views.Instance:
    state = views.InstanceState.READY
    return views.Instance(
        key, "s", f"h-{key}", 1, 1, "d", "r", 1, state, 0.0, born
    )


@dataclasses.dataclass
class _Daemon:
    """A view, and answers to its polls that have not arrived yet."""

    view: views.View = dataclasses.field(default_factory=views.new_view)
    answers: list[views.Delta] = dataclasses.field(default_factory=list)

    def read(self, store: _Store, lag: int, stale: bool) -> None:
        """Read the store in two pages, the second ``lag`` changes later."""
        revision = max(0, store.revision - lag)
        items = [
            *store.page(KEYS[:1], revision),
            *store.page((*KEYS[1:], POLICY), store.revision),
        ]
        known = views.UNORDERED if stale else revision
        views.replace_all(self.view, items, known, known, 0.0)
        views.note_ahead(self.view, store.revision)

    def watch(self, store: _Store) -> None:
        """Read the changes after the view's revision."""
        changes = store.changes(self.view.revision)
        content = store.revision if changes else views.UNORDERED
        views.apply_changes(self.view, changes, store.revision, content, 0.0)

    def take_answers(self) -> None:
        """Apply all answers of peers."""
        for delta in self.answers:
            views.take_delta(self.view, delta, 0.0)
        self.answers.clear()


def _run_step(
    daemons: list[_Daemon], store: _Store, action: str, own: int, detail: int
) -> None:
    """Run one step of a daemon; only one without a revision reads stale."""
    daemon = daemons[own]
    is_ordered = daemon.view.revision >= 0
    match action:
        case "restart":
            daemons[own] = _Daemon()
        case "read" | "stale" if action == "read" or not is_ordered:
            daemon.read(store, detail, action == "stale")
        case "watch" if is_ordered:
            daemon.watch(store)
        case "poll" | "late" if detail != own:
            peer = daemons[detail].view
            answer = views.delta_since(peer, daemon.view.revision)
            daemon.answers.append(answer)
    if action in {"poll", "deliver"}:
        daemon.take_answers()


def _has_lost_nothing(view: views.View, store: _Store, key: str) -> bool:
    """Return whether a view has an entry's state at its revision or later."""
    if view.revision < 0:
        return True
    own: _State = view.instances.get(key)
    if key == POLICY:
        own = None if view.table is None else view.table.policy
    later = range(view.revision, store.revision + 1)
    return own in [store.state(key, revision) for revision in later]


_WHO = strategies.integers(0, VIEWS - 1)
WRITES = strategies.tuples(
    strategies.just("write"),
    strategies.sampled_from((*KEYS, POLICY)),
    strategies.sampled_from(
        ["heartbeat", "resize", "leave", "remove", "restart"]
    ),
)
READS = strategies.tuples(
    strategies.sampled_from(["read", "stale"]), _WHO, strategies.integers(0, 3)
)
POLLS = strategies.tuples(
    strategies.sampled_from(["poll", "late"]), _WHO, _WHO
)
OTHERS = strategies.tuples(
    strategies.sampled_from(["watch", "restart", "deliver"]),
    _WHO,
    strategies.just(0),
)
STEPS = strategies.lists(
    strategies.one_of(WRITES, READS, POLLS, OTHERS), max_size=40
)


# A starting daemon had read a policy, and its parent sent it an earlier state.
@hypothesis.example(
    [
        ("read", 0, 0),
        ("write", POLICY, ""),
        ("write", "a", ""),
        ("stale", 1, 0),
        ("poll", 1, 0),
        ("watch", 1, 0),
        ("poll", 0, 1),
    ]
)
# A later page of a full read had a policy of after the first page.
@hypothesis.example(
    [
        ("read", 0, 0),
        ("write", POLICY, ""),
        ("read", 1, 1),
        ("watch", 1, 0),
        ("poll", 0, 1),
    ]
)
# A peer passes on what it read too early, and its follower meets the event.
@hypothesis.example(
    [
        ("read", 0, 0),
        ("write", POLICY, ""),
        ("read", 1, 1),
        ("poll", 2, 1),
        ("watch", 2, 0),
        ("poll", 0, 2),
    ]
)
@hypothesis.given(STEPS)
def test_view_has_all_changes_up_to_its_revision(steps: list[_Step]) -> None:
    """A daemon went on to a revision without the policy written before it.

    Its peer had read the policy when it started, and took the store's event
    of it for no change.
    """
    daemons = [_Daemon() for _ in range(VIEWS)]
    store = _Store([(POLICY, policies.Policy(1, (), LIMITS))])
    for action, who, detail in steps:
        if action == "write":
            store.write(str(who), str(detail))
            continue
        _run_step(daemons, store, action, int(who), int(detail))
        for view in (daemon.view for daemon in daemons):
            assert all(
                _has_lost_nothing(view, store, key) for key in (*KEYS, POLICY)
            )
