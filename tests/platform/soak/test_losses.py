"""Tests of what the soak takes for a lost request, on made-up records."""

from __future__ import annotations

import dataclasses
import typing

import pytest

from tests.platform.soak import disruptions
from tests.platform.soak import losses

HOST = "127.20.1.2"
OTHER = "127.20.1.3"
GRACE = 6.0
TIMEOUT = 5.0
TIMEOUTS = {"deep": TIMEOUT, "other": 0.1}
SIGNAL_AT = 100.0


@dataclasses.dataclass(frozen=True)
class Case:
    """A request; seconds from a signal, policy, or nothing at all.

    It is ``sent`` as a whole, ``ended``, and ``worked`` on from when it was
    sent until then, unless ``worked`` is None.
    """

    name: str
    sent: float
    ended: float
    worked: float | None = None
    ending: losses.Ending = losses.Ending.CLOSED
    broke_off: bool = False
    disrupted: bool = False
    was_open: bool = True
    kept: bool = True


class _World:
    """An oracle, on a clock that tests set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0.0
        monkeypatch.setattr(losses, "_now", lambda: self.now)
        monkeypatch.setattr(disruptions, "_now", lambda: self.now)
        self.record = disruptions.Record()
        self.oracle = losses.Oracle(self.record)
        self.oracle.configured(TIMEOUTS)

    def add(self, case: Case, key: str = "", at: float = SIGNAL_AT) -> None:
        """Note a request of ``HOST`` that the instance of ``OTHER`` runs."""
        self.now = at + case.sent
        key = key or case.name
        life = self.oracle.began(key, "deep", HOST, self.now, TIMEOUT)
        life.was_open = case.was_open
        life.kept = case.kept
        if case.worked is not None:
            with self.oracle.at_work(key, OTHER) as work:
                work.broke_off = case.broke_off
                self.now = at + case.worked
        if case.disrupted:
            self.record.note(OTHER, disruptions.Kind.LINK)
        self.now = at + case.ended
        life.end(case.ending)

    def signal(self, note: typing.Callable[[losses.Oracle], None]) -> None:
        """Note a signal or a policy at its time."""
        self.now = SIGNAL_AT
        note(self.oracle)

    def keys(self) -> list[str]:
        """Return which requests were lost."""
        broken = self.oracle.broken()
        return [line.split()[1].rstrip(":") for line in broken]


CLOSED = losses.Ending.CLOSED
REPLACED = losses.Ending.REPLACED
ANSWERED = losses.Ending.ANSWERED
LOST_AT_STOP = (
    Case("run and closed", 0.5, 0.9, 0.9),
    Case("run and replaced at once", 0.5, 0.6, 0.6, REPLACED),
    Case("read and closed", 0.5, 0.71),
    Case("sent late and replaced at the end", 3.01, 5.2, 5.2, REPLACED),
    Case("sent early and replaced before the end", 2.9, 4.9, 4.9, REPLACED),
    Case("closed just before the end", 5.0, 6.99, 6.99),
    Case("replaced just before its limit", -0.6, 4.399, 4.399, REPLACED),
)
KEPT_AT_STOP = (
    Case("answered", 0.5, 0.9, 0.9, ANSWERED),
    Case("not run and refused", 0.5, 0.9, None, REPLACED),
    Case("crossed the close", 0.5, 0.69),
    Case("on a connection that was closed", 0.5, 0.9, was_open=False),
    Case("sent early and replaced at the end", 2.9, 5.1, 5.1, REPLACED),
    Case("ended before the signal", -0.5, -0.1, -0.1),
    Case("timed out", 0.5, 5.5, 3.0, REPLACED),
    Case("broken off", 0.5, 0.9, 0.9, broke_off=True),
    Case("disrupted", 0.5, 0.9, 0.9, disrupted=True),
    Case("closed after the end", 5.0, 7.01, 7.01),
)
LOST_AT_STOP_OF_INSTANCE = (
    Case("replaced at work", 0.5, 0.9, 0.9, REPLACED),
    Case("sent before, replaced at work", -1.0, 3.9, 3.9, REPLACED),
)
KEPT_AT_STOP_OF_INSTANCE = (
    Case("replaced after its work", 0.5, 0.9, 0.8, REPLACED),
    Case("timed out", 0.5, 5.5, 5.5, REPLACED),
    Case("sent early and replaced at the end", 2.9, 5.1, 5.1, REPLACED),
)
LOST_AT_HANGUP = (
    Case("sent before", -0.5, 0.01, 0.01),
    Case("sent in time", 1.99, 3.5, 3.5),
    Case("read and closed", 0.5, 0.71),
)
KEPT_AT_HANGUP = (
    Case("answered", -0.5, 0.5, 0.5, ANSWERED),
    Case("ended before", -0.5, -0.01, -0.01),
    Case("sent too late", 2.01, 3.5, 3.5),
    Case("disrupted", 0.5, 0.9, 0.9, disrupted=True),
)
LOST_BESIDE_POLICY = (
    Case("sent before", -0.5, 0.01, 0.01),
    Case("cut just in time", 2.0, 2.99, 2.99),
    Case("read and closed", 0.5, 0.71),
    Case("with time left", -1.0, 2.49, 2.49),
)
KEPT_BESIDE_POLICY = (
    Case("answered", -0.5, 0.5, 0.5, ANSWERED),
    Case("replaced", 0.5, 0.9, 0.9, REPLACED),
    Case("cut before", -0.5, -0.01, -0.01),
    Case("cut later", 2.0, 3.01, 3.01),
    Case("crossed the close", 0.5, 0.69),
    Case("with little time left", -1.0, 2.51, 2.51),
    Case("broken off", 0.5, 0.9, 0.9, broke_off=True),
)
SIGNALS: dict[str, typing.Callable[[losses.Oracle], None]] = {
    "stop": lambda oracle: oracle.stops(HOST, GRACE),
    "stop of instance": lambda oracle: oracle.stops(OTHER, GRACE),
    "hangup": lambda oracle: oracle.hangs_up(HOST),
    "policy": lambda oracle: oracle.configured(TIMEOUTS),
}
TABLE = (
    *(("stop", case, True) for case in LOST_AT_STOP),
    *(("stop", case, False) for case in KEPT_AT_STOP),
    *(("stop of instance", case, True) for case in LOST_AT_STOP_OF_INSTANCE),
    *(("stop of instance", case, False) for case in KEPT_AT_STOP_OF_INSTANCE),
    *(("hangup", case, True) for case in LOST_AT_HANGUP),
    *(("hangup", case, False) for case in KEPT_AT_HANGUP),
    *(("policy", case, True) for case in LOST_BESIDE_POLICY),
    *(("policy", case, False) for case in KEPT_BESIDE_POLICY),
)


@pytest.mark.parametrize(
    ("signal", "case", "lost"),
    TABLE,
    ids=[f"{signal}-{case.name}" for signal, case, _ in TABLE],
)
def test_loss_around_planned_work_is_found(
    monkeypatch: pytest.MonkeyPatch, signal: str, case: Case, lost: bool
) -> None:
    world = _World(monkeypatch)
    world.signal(SIGNALS[signal])
    world.add(case, "q1")
    assert world.keys() == (["q1"] if lost else [])


@pytest.mark.parametrize("signal", sorted(SIGNALS))
def test_long_run_may_be_cut_at_the_end_of_a_stop_beside_other_work(
    monkeypatch: pytest.MonkeyPatch, signal: str
) -> None:
    """What excuses a loss at a stop excuses it at other planned work, too."""
    world = _World(monkeypatch)
    world.signal(SIGNALS["stop"])
    world.now += 2.5
    SIGNALS[signal](world.oracle)
    world.add(Case("", 2.9, 5.1, 5.1), "q1")
    assert world.keys() == []


@pytest.mark.parametrize("signal", ["stop", "hangup"])
def test_signal_of_another_daemon_covers_no_request(
    monkeypatch: pytest.MonkeyPatch, signal: str
) -> None:
    world = _World(monkeypatch)
    world.signal(
        lambda oracle: (
            oracle.stops(OTHER, GRACE)
            if signal == "stop"
            else oracle.hangs_up(OTHER)
        )
    )
    world.add(Case("", 0.5, 0.9, 0.9), "q1")
    assert world.keys() == []


@pytest.mark.parametrize(("elsewhere", "lost"), [(0, 4), (1, 4), (2, 0)])
def test_policy_may_cut_three_times_as_often_as_other_times(
    monkeypatch: pytest.MonkeyPatch, elsewhere: int, lost: int
) -> None:
    """Of ten requests each, four are cut beside the policy."""
    world = _World(monkeypatch)
    world.signal(SIGNALS["policy"])
    for number in range(10):
        beside = CLOSED if number < 4 else ANSWERED
        other = CLOSED if number < elsewhere else ANSWERED
        case = Case("", 0.5, 0.9, 0.9, beside, kept=False)
        world.add(case, f"beside-{number}")
        case = Case("", 50.5, 50.9, 50.9, other, kept=False)
        world.add(case, f"other-{number}")
    assert len(world.keys()) == lost


UNCOUNTED_CLOSES = (
    Case("broken off", 0.5, 0.9, 0.9, broke_off=True),
    Case("not passed on", 0.5, 0.9),
    Case("not kept", 0.5, 0.9, 0.9, kept=False),
    Case("answered", 0.5, 0.9, 0.9, ANSWERED),
)


@pytest.mark.parametrize(("count", "lost"), [(3, 0), (4, 4)])
def test_more_than_three_kept_connections_closed_are_lost(
    monkeypatch: pytest.MonkeyPatch, count: int, lost: int
) -> None:
    world = _World(monkeypatch)
    for number in range(count):
        world.add(
            Case("", 10.5 * number, 10.5 * number + 0.4, 0.9), f"{number}"
        )
    assert len(world.keys()) == lost


@pytest.mark.parametrize("case", UNCOUNTED_CLOSES, ids=lambda case: case.name)
def test_close_that_is_not_the_daemons_fault_does_not_count(
    monkeypatch: pytest.MonkeyPatch, case: Case
) -> None:
    world = _World(monkeypatch)
    for number in range(3):
        world.add(Case("", 0.5, 0.9, 0.9), f"{number}")
    world.add(case, "other")
    assert world.keys() == []


@pytest.mark.parametrize(
    ("host", "kind", "seconds", "lost"),
    [
        (HOST, disruptions.Kind.PLANNED, 2.9, 0),
        (HOST, disruptions.Kind.PLANNED, 3.1, 4),
        (HOST, disruptions.Kind.LINK, 2.9, 0),
        (OTHER, disruptions.Kind.INSTANCE, 2.9, 0),
        (OTHER, disruptions.Kind.PLANNED, 0.0, 4),
        (disruptions.STORE, disruptions.Kind.STORE, 2.9, 0),
    ],
)
def test_close_of_a_daemon_out_of_touch_does_not_count(
    monkeypatch: pytest.MonkeyPatch,
    host: str,
    kind: disruptions.Kind,
    seconds: float,
    lost: int,
) -> None:
    world = _World(monkeypatch)
    world.signal(lambda oracle: world.record.note(host, kind))
    for number in range(4):
        world.add(Case("", seconds, seconds + 0.4, seconds + 0.4), f"{number}")
    assert len(world.keys()) == lost
