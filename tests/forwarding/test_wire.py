"""Tests of encoding and validation of messages between daemons."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire
from sassafrasstair import notices
from sassafrasstair import outcomes

ASK = _wire.RequestMetadata(7, "i-1", "lookup", 5.25, 1.5, 0.5)
STATE = _wire.CalleeState(
    7,
    False,
    calls.LoadReport(0.5, 0.0, 20.0, 0.03),
    0.4,
    0.25,
    True,
    requests.Ending.REFUSED,
    outcomes.Reason.UPSTREAM_REFUSED,
)
INSTANCE = views.Instance(
    "i", "s", "10.0.0.1", 80, 3, "d", "r", 8, views.InstanceState.READY, 0.0, 9
)
POLICY = policies.Policy(
    3,
    (
        policies.Route(
            "r", "h", "/", True, 1.0, 1.0, 5, 2, (policies.Share("s", 1.0),)
        ),
    ),
    policies.ClientLimits(1, 1, 1.0, 1.0),
)


def test_decoding_reverses_encoding() -> None:
    assert _wire.decode_metadata(_wire.encode_metadata(ASK)) == ASK
    assert _wire.decode_state(_wire.encode_state(STATE)) == STATE
    snapshot = views.Snapshot(5, 4, POLICY, (INSTANCE,))
    assert (
        _feed_wire.decode_snapshot(_feed_wire.encode_snapshot(snapshot))
        == snapshot
    )


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"7 i-1 lookup 5.25 1.5",
        b"7 i-1 lookup inf 1.5 0.5",
        b"7 i-1 lookup 5.25 nan 0.5",
        b"7 i-1 lookup 5.25 -1 0.5",
        b"7 i-1 lookup 5.25 1.5 1e999",
        b"x i-1 lookup 5.25 1.5 0.5",
    ],
)
def test_invalid_metadata_is_refused(value: bytes) -> None:
    with pytest.raises(_wire.WireError):
        _wire.decode_metadata(value)


@pytest.mark.parametrize(
    "notice",
    [
        notices.NO_NOTICE,
        notices.Notice(37.7),
        notices.Notice(leaving=True),
        notices.Notice(0.0, True),
    ],
)
def test_notice_is_decoded_as_it_was_encoded(notice: notices.Notice) -> None:
    fields = _wire.notice_fields(notice)
    headers = {name.lower(): value for name, value in fields}
    assert _wire.decode_notice(headers) == notice


def test_invalid_notice_is_refused() -> None:
    with pytest.raises(_wire.WireError):
        _wire.decode_notice({_wire.RATE_LIMIT_HEADER_LOWER: b"-1"})


@pytest.mark.parametrize("bad", [b"inf", b"nan", b"-1", b"x"])
@pytest.mark.parametrize("at", range(2, 7))
def test_state_with_an_invalid_number_is_refused(at: int, bad: bytes) -> None:
    """One infinite load would corrupt a route's average permanently."""
    parts = _wire.encode_state(STATE).split(b" ")
    parts[at] = bad
    with pytest.raises(_wire.WireError):
        _wire.decode_state(b" ".join(parts))


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""},
        {"service": ""},
        {"host": ""},
        {"port": 0},
        {"port": 99_999},
        {"slots": 0},
        {"cold_seconds": -1.0},
        {"cold_seconds": float("inf")},
        {"cold_seconds": float("nan")},
        {"born": -1},
    ],
)
def test_invalid_instance_is_left_out_of_a_snapshot(
    change: dict[str, object],
) -> None:
    bad = dataclasses.replace(INSTANCE, **change)  # type: ignore[arg-type]
    snapshot = views.Snapshot(5, 4, POLICY, (bad, INSTANCE))
    found = _feed_wire.decode_snapshot(_feed_wire.encode_snapshot(snapshot))
    assert found.instances == (INSTANCE,)


def test_snapshot_with_an_invalid_policy_is_refused() -> None:
    route = dataclasses.replace(POLICY.routes[0], timeout=float("inf"))
    policy = dataclasses.replace(POLICY, routes=(route,))
    body = _feed_wire.encode_snapshot(views.Snapshot(5, 4, policy, ()))
    with pytest.raises(_wire.WireError, match="policy"):
        _feed_wire.decode_snapshot(body)


def test_snapshots_of_the_version_before_and_of_this_one_are_understood() -> (
    None
):
    """Daemons of two versions run side by side during a rollout."""
    snapshot = views.Snapshot(5, 4, POLICY, (INSTANCE,))
    built = msgspec.to_builtins(snapshot)
    del built["instances"][0]["born"]
    del built["policy"]["services"]
    found = _feed_wire.decode_snapshot(msgspec.msgpack.encode(built))
    assert found.instances[0].born == 0
    built["instances"][0]["field_of_tomorrow"] = 1
    assert _feed_wire.decode_snapshot(msgspec.msgpack.encode(built)) == found


@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    for decode in (
        _wire.decode_metadata,
        _wire.decode_state,
        _feed_wire.decode_snapshot,
    ):
        try:
            decode(data)
        except _wire.WireError:
            continue
