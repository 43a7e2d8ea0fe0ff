"""Items of the store, good ones among what another writer left there."""

from __future__ import annotations

import base64
import dataclasses
import json
import typing

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.platform import _items
from tests.platform import samples

BORN = 1_700_000_000_123
ENTRY = samples.ENTRY | {"born": BORN}
CONFIG: dict[str, object] = {
    "version": "r12",
    "routes": {"one": samples.ROUTE},
}
MISSING = object()


def _raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(value).encode())


def _changed(fields: dict[str, object], **news: object) -> dict[str, object]:
    changed = fields | news
    return {key: value for key, value in changed.items() if value != MISSING}


def _changes(
    *items: object,
) -> tuple[tuple[views.Change, ...], list[str]]:
    read, reasons = [], []
    for item in items:
        try:
            read.append(_items.decode_item(_raw(item)))
        except _items.ItemError as error:
            reasons.append(str(error))
    changes, refused = _items.decode_changes(read, samples.REGIONS)
    return changes, [*reasons, *(each.reason for each in refused)]


def test_good_entry_is_read_whole() -> None:
    changes, refused = _changes(samples.item("servers/i-1", ENTRY))
    assert not refused
    assert changes == (dataclasses.replace(samples.INSTANCE, born=BORN),)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *((name, MISSING) for name in ENTRY if name != "born"),
        *((name, None) for name in ENTRY),
        *((name, [1]) for name in ENTRY),
        ("state", "zombie"),
        ("state", 1),
        ("slots", 0),
        ("slots", -3),
        ("slots", 1.5),
        ("slots", True),
        ("slots", 10**12),
        ("address", "10.0.0.5"),
        ("address", "10.0.0.5:"),
        ("address", "10.0.0.5:0"),
        ("address", "10.0.0.5:99999"),
        ("address", "10.0.0.5:x"),
        ("address", ":80"),
        ("address", "vm-1:80"),
        ("address", "0.0.0.0:80"),
        ("address", "224.0.0.1:80"),
        ("address", 80),
        ("warmup_ms", -1),
        ("warmup_ms", "1"),
        ("warmup_ms", 1e300),
        ("warmup_ms", True),
        ("seq", -1),
        ("seq", "4"),
        ("service", ""),
        ("service", "a b"),
        ("service", "a\r\nX: y"),
        ("born", 1.5),
        ("born", True),
        ("born", "1700000000123"),
        ("born", 0),
        ("born", -5),
    ],
)
def test_entry_with_a_bad_field_names_no_instance(
    field: str, value: object
) -> None:
    """Another writer leaves an entry that looks like an instance.

    Taken, it would draw requests to an address where nobody answers, or
    spoil the sums over slots and warm-up times.
    """
    bad = samples.item("servers/bad", _changed(ENTRY, **{field: value}))
    good = samples.item("servers/good", ENTRY)
    changes, refused = _changes(bad, good)
    assert refused == [field]
    assert changes[0] == views.Unusable("bad")
    assert isinstance(changes[1], views.Instance)


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nb"])
def test_id_that_fits_no_header_field_names_no_instance(key: str) -> None:
    changes, refused = _changes(samples.item(key, ENTRY))
    assert refused == ["id"]
    assert not any(isinstance(each, views.Instance) for each in changes)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"value": "!!!!"}, "value"),
        ({"value": 7}, "value"),
        ({"value": None}, "value"),
        ({"value": MISSING}, "value"),
        ({"value": samples.encoded([1])}, "not_an_object"),
        ({"value": base64.b64encode(b"\xff{").decode()}, "not_json"),
        ({"value": base64.b64encode(b"[" * 9999).decode()}, "not_json"),
        ({"key": MISSING}, "key"),
        ({"key": 7}, "key"),
        ({"revision": "six"}, "revision"),
        ({"revision": True}, "revision"),
        ({"revision": MISSING}, "revision"),
    ],
)
def test_item_that_cannot_be_read_takes_no_other_with_it(
    change: dict[str, object], reason: str
) -> None:
    """One item of a page or watch is broken.

    The daemon refused the whole answer, asked again, got it again, and
    learnt nothing more at all.
    """
    bad = _changed(samples.item("servers/bad", ENTRY), **change)
    good = samples.item("servers/good", ENTRY)
    changes, refused = _changes(bad, good)
    assert refused == [reason]
    assert [each.id for each in changes if isinstance(each, views.Instance)]


@pytest.mark.parametrize("item", [7, None, "x", [1, 2], True])
def test_item_of_another_shape_is_passed_over(item: object) -> None:
    changes, refused = _changes(item, samples.item("servers/good", ENTRY))
    assert refused == ["not_an_object"]
    assert len(changes) == 1


@pytest.mark.parametrize(
    "change",
    [
        {"timeout_ms": 0},
        {"timeout_ms": -1},
        {"timeout_ms": 1e300},
        {"target_latency_ms": -1},
        {"max_attempts": 0},
        {"type": "odd"},
        {"host": ""},
        {"prefix": "a"},
        {"service": ""},
        {"traffic_split": [{"service": "s", "weight": -1}]},
        {"traffic_split": [{"service": "s", "weight": 0}]},
    ],
)
def test_policy_that_cannot_be_served_by_is_refused(
    change: dict[str, object],
) -> None:
    config = CONFIG | {"routes": {"one": _changed(samples.ROUTE, **change)}}
    changes, refused = _changes(samples.item("op/config", config))
    assert not changes
    assert len(refused) == 1
    assert refused[0].startswith("policy: ")


def test_policy_tells_its_services() -> None:
    config = CONFIG | {"services": {"s": {}, "t": {}}}
    changes, _ = _changes(samples.item("op/config", config))
    assert isinstance(changes[0], policies.Policy)
    assert changes[0].services == ("s", "t")


_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
_mutated = st.builds(
    lambda name, value: _changed(ENTRY, **{name: value}),
    st.sampled_from(sorted(ENTRY)),
    _json | st.just(MISSING),
)
_value = (
    st.binary(max_size=40).map(lambda raw: base64.b64encode(raw).decode())
    | _mutated.map(samples.encoded)
    | _json.map(samples.encoded)
    | _json
)
_item = (
    st.builds(
        lambda value, key, revision: {
            "key": key,
            "value": value,
            "revision": revision,
            "created": 1,
        },
        _value,
        st.just("servers/odd") | _json,
        st.just(7) | _json,
    )
    | _json
)


@given(st.lists(_item, max_size=4), st.lists(_item, max_size=4))
def test_good_entries_hold_among_any_others(
    before: list[typing.Any], after: list[typing.Any]
) -> None:
    good = samples.item("servers/good", ENTRY)
    policy = samples.item("op/config", CONFIG)
    others = [
        each
        for each in [*before, *after]
        if not (isinstance(each, dict) and each.get("key") == "op/config")
    ]
    changes, _ = _changes(policy, good, *others)
    view = views.new_view()
    views.replace_all(view, changes, 7, 7, 100.0)
    known = views.targets(view, "s")
    assert "good" in {target.vm for target in known}
    for target in known:
        instance = views.instance_by_id(view, target.vm)
        assert instance is not None
        assert instance.state is views.InstanceState.READY
        assert instance.slots > 0
        assert instance.cold_seconds >= 0.0
        assert 0 < instance.port < 65_536
