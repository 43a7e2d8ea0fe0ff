"""Decoding of the store's items, valid and invalid."""

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
from sassafrasstair.platform import _documents
from sassafrasstair.platform import _entries
from sassafrasstair.platform import _items
from tests.platform import samples

if typing.TYPE_CHECKING:
    import types

BORN_MS = 1_700_000_000_123
ENTRY = samples.ENTRY | {"born": BORN_MS}
CONFIG: dict[str, object] = {
    "version": "r12",
    "routes": {"one": samples.ROUTE},
}
MISSING = object()


def _raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(value).encode())


def _with_fields(
    fields: dict[str, object], **overrides: object
) -> dict[str, object]:
    changed = fields | overrides
    return {key: value for key, value in changed.items() if value != MISSING}


def _decode_changes(
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


def test_valid_entry_is_decoded() -> None:
    changes, refused = _decode_changes(samples.item("servers/i-1", ENTRY))
    assert not refused
    assert changes == (dataclasses.replace(samples.INSTANCE, born=BORN_MS),)


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
        ("born", 10**21),
        ("warmup_ms", 10**400),
        ("slots", 10**400),
    ],
)
def test_entry_with_an_invalid_field_is_refused(
    field: str, value: object
) -> None:
    """Another program writes an invalid entry for an instance.

    If it were accepted, requests would go to an address without a server, or
    sums over slots and warm-up times would be wrong.
    """
    bad = samples.item("servers/bad", _with_fields(ENTRY, **{field: value}))
    good = samples.item("servers/good", ENTRY)
    changes, refused = _decode_changes(bad, good)
    assert refused == [field]
    assert changes[0] == views.Unusable("bad")
    assert isinstance(changes[1], views.Instance)


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nb"])
def test_id_not_valid_in_a_header_field_is_refused(key: str) -> None:
    changes, refused = _decode_changes(samples.item(key, ENTRY))
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
        ({"revision": 10**21}, "revision"),
    ],
)
def test_malformed_item_does_not_affect_others(
    change: dict[str, object], reason: str
) -> None:
    """One item of a page or watch is malformed.

    If the daemon rejected the whole response, it would repeat the request,
    get the same response, and receive no more updates.
    """
    bad = _with_fields(samples.item("servers/bad", ENTRY), **change)
    good = samples.item("servers/good", ENTRY)
    changes, refused = _decode_changes(bad, good)
    assert refused == [reason]
    assert [each.id for each in changes if isinstance(each, views.Instance)]


@pytest.mark.parametrize(
    ("module", "decoder", "key"),
    [
        (_entries, "decode_instance", "servers/bad"),
        (_documents, "decode_policy", "op/config"),
    ],
)
def test_item_on_which_a_decoder_fails_does_not_affect_others(
    monkeypatch: pytest.MonkeyPatch,
    module: types.ModuleType,
    decoder: str,
    key: str,
) -> None:
    """A decoder raises an error that it does not declare, for one item."""
    sound = getattr(module, decoder)

    def fail_once(*arguments: object) -> object:
        monkeypatch.setattr(module, decoder, sound)
        raise ZeroDivisionError("broken on purpose")

    monkeypatch.setattr(module, decoder, fail_once)
    changes, refused = _decode_changes(
        samples.item(key, ENTRY), samples.item("servers/good", ENTRY)
    )
    assert [each.id for each in changes if isinstance(each, views.Instance)]
    assert [reason.partition(":")[0] for reason in refused] == [
        _items.DECODER_FAULT
    ]
    is_entry = key.startswith(_entries.INSTANCES_PREFIX)
    assert (views.Unusable("bad") in changes) is is_entry


@pytest.mark.parametrize("item", [7, None, "x", [1, 2], True])
def test_item_that_is_no_object_is_refused(item: object) -> None:
    changes, refused = _decode_changes(
        item, samples.item("servers/good", ENTRY)
    )
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
def test_policy_with_an_invalid_route_is_refused(
    change: dict[str, object],
) -> None:
    config = CONFIG | {
        "routes": {"one": _with_fields(samples.ROUTE, **change)}
    }
    changes, refused = _decode_changes(samples.item("op/config", config))
    assert not changes
    assert len(refused) == 1
    assert refused[0].startswith("policy: ")


def test_services_of_a_policy_are_decoded() -> None:
    config = CONFIG | {"services": {"s": {}, "t": {}}}
    changes, _ = _decode_changes(samples.item("op/config", config))
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
_entry_with_random_field = st.builds(
    lambda name, value: _with_fields(ENTRY, **{name: value}),
    st.sampled_from(sorted(ENTRY)),
    _json | st.just(MISSING),
)
_value = (
    st.binary(max_size=40).map(lambda raw: base64.b64encode(raw).decode())
    | _entry_with_random_field.map(samples.encoded)
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
def test_valid_entry_is_kept_among_any_other_items(
    before: list[typing.Any], after: list[typing.Any]
) -> None:
    good = samples.item("servers/good", ENTRY)
    policy = samples.item("op/config", CONFIG)
    others = [
        each
        for each in [*before, *after]
        if not (isinstance(each, dict) and each.get("key") == "op/config")
    ]
    changes, _ = _decode_changes(policy, good, *others)
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
