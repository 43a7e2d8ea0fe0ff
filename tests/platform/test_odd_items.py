"""Any item of the store costs that item alone, whatever it holds."""

from __future__ import annotations

import base64
import json
import typing

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.platform import _items
from sassafrasstair.platform import _settings
from sassafrasstair.platform import _store
from tests import odd_values
from tests.platform import golden_items
from tests.platform import samples
from tests.platform import test_settings

if typing.TYPE_CHECKING:
    from collections import abc

STATUS = feeds.PeerStatus(9, None, 0.0, False)
ENTRY = samples.ENTRY | {"born": 1_700_000_000_123}
CONFIG = golden_items.CONFIG
ROUTE = typing.cast("dict[str, dict[str, object]]", CONFIG["routes"])["r"]
TENANT = typing.cast("dict[str, dict[str, object]]", CONFIG["tenants"])["c"]
LIMITS = typing.cast("dict[str, object]", CONFIG["limits"])
DEPTH = 200_000
GOOD = [
    samples.item("op/config", CONFIG),
    samples.item("servers/good", ENTRY),
]


def _item(
    key: str, value: str, texts: abc.Mapping[str, str] | None = None
) -> str:
    """Return an item's JSON; ``texts`` replace the JSON of its fields."""
    encoded = base64.b64encode(value.encode()).decode()
    fields = {
        "key": json.dumps(key),
        "value": json.dumps(encoded),
        "revision": "7",
        "created": "7",
    } | dict(texts or {})
    inner = ",".join(f'"{name}":{text}' for name, text in fields.items())
    return "{" + inner + "}"


def _policy_texts() -> st.SearchStrategy[str]:
    """Return policies of which one part has odd values."""

    def with_part(path: tuple[str, ...], part: str) -> str:
        text = json.dumps(CONFIG)
        inner: typing.Any = CONFIG
        for name in path:
            inner = inner[name]
        return text.replace(json.dumps(inner), part, 1)

    def odd_part(
        path: tuple[str, ...], part: dict[str, object]
    ) -> st.SearchStrategy[str]:
        odd = odd_values.objects_like(part)
        return odd.map(lambda text: with_part(path, text))

    return (
        odd_values.objects_like(CONFIG)
        | odd_part(("routes", "r"), ROUTE)
        | odd_part(("tenants", "c"), TENANT)
        | odd_part(("limits",), LIMITS)
    )


_entries = st.builds(
    _item,
    st.just("servers/odd") | st.text(max_size=9).map("servers/{}".format),
    odd_values.objects_like(ENTRY) | odd_values.json_texts,
)
_policies = st.builds(
    _item, st.just("op/config"), _policy_texts() | odd_values.json_texts
)
_items_with_odd_fields = st.builds(
    lambda name, text: _item("servers/odd", json.dumps(ENTRY), {name: text}),
    st.sampled_from(["key", "value", "revision", "created", "removed"]),
    odd_values.json_texts,
)


def _decode(
    texts: list[str],
) -> tuple[tuple[views.Change, ...], tuple[forwarding.RefusedItem, ...]]:
    refused: list[forwarding.RefusedItem] = []
    raws = [msgspec.Raw(text.encode()) for text in texts]
    items = _store._decode_items(raws, refused)
    changes, more = _items.decode_changes(items, samples.REGIONS)
    return changes, (*refused, *more)


def _delta_for_followers(changes: tuple[views.Change, ...]) -> views.Delta:
    """Apply the changes, and return them as a follower receives them."""
    view = views.new_view()
    views.replace_all(view, changes, 9, 9, 100.0)
    delta = views.delta_since(view, -1)
    header = _feed_wire.encode_status(STATUS, delta.content)
    body = _feed_wire.encode_delta(delta)
    _, decoded = _feed_wire.decode_answer(header, body)
    assert decoded == delta
    return decoded


@given(st.lists(_entries | _items_with_odd_fields, min_size=1, max_size=3))
def test_odd_items_cost_no_other_item(odd: list[str]) -> None:
    """What is accepted of them can be sent to followers, who read the same."""
    good = [json.dumps(item) for item in GOOD]
    changes, refused = _decode([good[0], *odd, good[1]])
    assert not any(
        each.reason.startswith(_items.DECODER_FAULT) for each in refused
    )
    delta = _delta_for_followers(changes)
    assert delta.policy is not None
    assert "good" in {each.id for each in delta.instances}


@given(_policies)
def test_odd_policy_is_used_and_sent_on_or_refused(odd: str) -> None:
    changes, refused = _decode([odd, json.dumps(GOOD[1])])
    assert not any(
        each.reason.startswith(_items.DECODER_FAULT) for each in refused
    )
    used = [each for each in changes if isinstance(each, policies.Policy)]
    assert len(used) + len(refused) == 1
    delta = _delta_for_followers(changes)
    assert {each.id for each in delta.instances} == {"good"}
    assert (delta.policy is not None) == bool(used)


@pytest.mark.parametrize("digits", [21, 401, 5_000])
@pytest.mark.parametrize("field", ["warmup_ms", "slots", "seq", "born"])
def test_entry_with_a_number_of_many_digits_costs_no_update(
    field: str, digits: int
) -> None:
    """A number that neither 64 bits nor a float hold stopped all updates."""
    text = json.dumps(ENTRY | {field: "#"}).replace('"#"', digits * "9")
    odd = _item("servers/odd", text)
    changes, refused = _decode([odd, *(json.dumps(item) for item in GOOD)])
    assert all(each.reason == field for each in refused)
    assert "good" in {
        each.id for each in _delta_for_followers(changes).instances
    }


@pytest.mark.parametrize(
    "address",
    [
        *(f"10.0.0.9:{port}" for port in (0, -1, 65_536, 99_999, 2**64, "")),
        *(f"10.0.0.9:{port}" for port in ("+9", " 9", "9.0")),
        pytest.param("10.0.0.9:" + 5_000 * "9", id="many_digits"),
        *("10.0.0.9", ":9", "10.0.0.256:9", "[::1]:9", "0.0.0.0:9", "host:9"),
        *("224.0.0.1:9", "255.255.255.255:9", "", "10.0.0.9:\u0669"),
    ],
)
def test_entry_with_an_address_that_is_none_costs_itself_alone(
    address: str,
) -> None:
    odd = _item("servers/odd", json.dumps(ENTRY | {"address": address}))
    changes, refused = _decode([odd, *(json.dumps(item) for item in GOOD)])
    assert [each.reason for each in refused] == ["address"]
    delta = _delta_for_followers(changes)
    assert {each.id for each in delta.instances} == {"good"}


@pytest.mark.parametrize("field", [*ENTRY, "unknown"])
@pytest.mark.parametrize(
    "text",
    [DEPTH * "[" + DEPTH * "]", DEPTH * '{"a":' + "1" + DEPTH * "}"],
    ids=["lists", "tables"],
)
def test_deeply_nested_entry_costs_itself_alone(text: str, field: str) -> None:
    value = json.dumps(ENTRY | {field: "#"}).replace('"#"', text)
    odd = [_item("servers/odd", value), _item("servers/odd2", text)]
    changes, refused = _decode([*odd, *(json.dumps(item) for item in GOOD)])
    assert [each.key for each in refused] == ["servers/odd", "servers/odd2"]
    delta = _delta_for_followers(changes)
    assert {each.id for each in delta.instances} == {"good"}


@pytest.mark.parametrize("field", ["revision", "created"])
def test_item_with_a_revision_of_many_digits_is_not_passed_on(
    field: str,
) -> None:
    """An answer with such a number can't be encoded for followers."""
    odd = _item("servers/odd", json.dumps(ENTRY), {field: 21 * "9"})
    changes, _ = _decode([odd, *(json.dumps(item) for item in GOOD)])
    assert "good" in {
        each.id for each in _delta_for_followers(changes).instances
    }


@pytest.mark.parametrize(
    ("part", "field"),
    [
        ("limits", "max_header_bytes"),
        ("limits", "max_body_bytes"),
        ("routes", "max_attempts"),
        ("", "version"),
    ],
)
def test_policy_with_a_number_beyond_64_bits_is_refused(
    part: str, field: str
) -> None:
    """An answer with such a number can't be encoded for followers."""
    config = json.loads(json.dumps(CONFIG))
    inner = config[part] if part else config
    inner = inner["r"] if part == "routes" else inner
    inner[field] = "r" + 32 * "9" if field == "version" else 10**21
    changes, refused = _decode([json.dumps(samples.item("op/config", config))])
    assert [each.key for each in refused] == ["op/config"]
    assert not changes


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [line.partition("=")[0] for line in test_settings.TEXT.split()]
            ),
            odd_values.json_texts.filter(lambda text: len(text) < 9_999)
            | st.text(max_size=9),
        ),
        min_size=1,
        max_size=2,
    )
)
def test_odd_settings_are_decoded_or_refused(
    odd: list[tuple[str, str]],
) -> None:
    lines = "".join(f"{name}={value}\n" for name, value in odd)
    try:
        _settings.decode_settings(test_settings.TEXT + lines)
    except forwarding.SettingsError:
        pass
