"""Tests of what the soak takes for a late request, on made-up records."""

from __future__ import annotations

import dataclasses

import pytest

from tests.platform.soak import disruptions
from tests.platform.soak import drains

ENTRANCE = "127.20.1.2"
HOST = "127.20.1.3"
OTHER = "127.20.1.4"
INSTANCE = "i-1"
LEFT_AT = 100.0
PLANNED = disruptions.Kind.PLANNED
LINK = disruptions.Kind.LINK
STORE = disruptions.Kind.STORE


@dataclasses.dataclass(frozen=True)
class Case:
    """A request, and a disruption; seconds from when the instance left."""

    name: str
    sent: float
    arrives: float
    late: bool
    instance: str = INSTANCE
    host: str = ""
    kind: disruptions.Kind = PLANNED
    disrupted: float = 0.0
    returned: float = 0.0


CASES = (
    Case("too late", 2.0, 2.01, True),
    Case("just in time", 1.9, 2.0, False),
    Case("sent long before", 0.1, 2.01, True),
    Case("another instance", 2.0, 2.1, False, "i-2"),
    Case("back in the store", 2.0, 2.1, False, returned=1.0),
    Case("entrance just started", 2.0, 2.1, False, host=ENTRANCE),
    Case("started before", 3.1, 3.2, True, host=ENTRANCE),
    Case("last hop just started", 2.0, 2.1, False, host=HOST),
    Case("daemon that has no part", 2.0, 2.1, True, host=OTHER),
    Case("link cut", 2.0, 2.1, False, host=HOST, kind=LINK),
    Case(
        "instance disrupted",
        2.0,
        2.1,
        True,
        host=HOST,
        kind=disruptions.Kind.INSTANCE,
    ),
    Case("store away then", 4.0, 4.1, False, "i-1", "store", STORE, 1.5),
    Case("store back for long", 4.0, 4.1, True, "i-1", "store", STORE, 0.9),
    Case("store away before", 4.0, 4.1, False, "i-1", "store", STORE, -2.0),
    Case("store stable before", 4.0, 4.1, True, "i-1", "store", STORE, -3.1),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_late_request_at_a_leaving_instance_is_found(
    monkeypatch: pytest.MonkeyPatch, case: Case
) -> None:
    now = LEFT_AT
    monkeypatch.setattr(disruptions, "_now", lambda: now)
    monkeypatch.setattr(drains, "_now", lambda: now)
    record = disruptions.Record()
    oracle = drains.Oracle(record)
    now = LEFT_AT + case.disrupted
    if case.host:
        record.note(case.host, case.kind)
    now = LEFT_AT
    oracle.leaves(INSTANCE)
    now = LEFT_AT + 0.5
    # That it is gone as well does not give it more time.
    oracle.leaves(INSTANCE)
    if case.returned:
        oracle.returns(INSTANCE)
    now = LEFT_AT + case.arrives
    oracle.arrived(
        drains.Arrival(
            "q1", case.instance, ENTRANCE, HOST, LEFT_AT + case.sent
        )
    )
    assert len(oracle.broken()) == case.late


@pytest.mark.parametrize(
    ("still_ready", "stopped", "broken"),
    [(0, 2, 0), (1, 1, 0), (2, 8, 0), (2, 7, 1), (3, 12, 0), (4, 12, 1)],
)
def test_more_than_a_quarter_of_stopping_daemons_still_ready_is_found(
    still_ready: int, stopped: int, broken: int
) -> None:
    oracle = drains.Oracle(disruptions.Record())
    for number in range(stopped):
        oracle.stopped(number < still_ready)
    assert len(oracle.broken()) == broken
