"""Odd values in a message are an error of its decoder, or can be sent on."""

from __future__ import annotations

import base64
import typing

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasstair import bundles
from sassafrasstair import configservice
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _messages as fleet_messages
from sassafrasstair.decisions import quotas
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _wire
from sassafrasstair.forwarding import _work_wire
from sassafrasstair import keepalive
from sassafrasstair import notices
from tests.golden import messages
from tests import odd_values

_DECLARED = (
    msgspec.DecodeError,
    fleet.BadMessage,
    bundles.BundleError,
    configservice.PlatformError,
    _wire.WireError,
)
_PACKED = [
    name
    for name, codec in messages.CODECS.items()
    if name
    in (
        *("run", "run answer", "body part", "answer part", "ticket given"),
        *("pong", "control", "gossip", "gossip reply", "bundle reply"),
        *("members fetch", "members reply", "probe request", "members"),
        *("snapshot", "quota ask", "quota granted", "quota update"),
        *("quota acknowledged", "quota canvass"),
    )
]
_JSON = ["bundle", "envelope", "list of VMs"]
_FIELDS = ["ask", "state"]


def _check(name: str, data: bytes) -> None:
    """Decode odd data; what is accepted is the same when it is sent on."""
    again = messages.CODECS[name].decode_and_encode
    try:
        encoded = again(data)
    except _DECLARED:
        return
    assert again(encoded) == encoded


@pytest.mark.parametrize("name", _PACKED)
@hypothesis.given(st.data())
@hypothesis.settings(max_examples=60)
def test_odd_packed_message(name: str, data: st.DataObject) -> None:
    valid = messages.CODECS[name].encode()
    _check(name, data.draw(odd_values.packed_like(valid)))


@pytest.mark.parametrize("name", _JSON)
@hypothesis.given(st.data())
def test_odd_document(name: str, data: st.DataObject) -> None:
    valid = msgspec.json.decode(messages.CODECS[name].encode())
    first = valid[0] if isinstance(valid, list) else valid
    text = data.draw(odd_values.objects_like(first) | odd_values.json_texts)
    _check(name, (f"[{text}]" if isinstance(valid, list) else text).encode())


@pytest.mark.parametrize("name", _FIELDS)
@hypothesis.given(st.data())
def test_odd_field(name: str, data: st.DataObject) -> None:
    valid = messages.CODECS[name].encode()
    odd = odd_values.fields_like(valid) | odd_values.field_values
    _check(name, data.draw(odd))


@pytest.mark.parametrize("name", ["answer with changes", "answer with all"])
@hypothesis.given(st.data())
def test_odd_answer_to_a_poll(name: str, data: st.DataObject) -> None:
    field, _, body = messages.CODECS[name].encode().partition(b"\n")
    if data.draw(st.booleans()):
        field = data.draw(odd_values.fields_like(field))
    else:
        body = data.draw(odd_values.packed_like(body))
    _check(name, field.replace(b"\n", b"") + b"\n" + body)


@hypothesis.given(st.data())
def test_odd_crash_records(data: st.DataObject) -> None:
    valid = messages.CODECS["crash records"].encode()
    digest, _, encoded = valid.partition(b" ")
    odd = odd_values.packed_like(base64.b64decode(encoded))
    body = base64.b64encode(data.draw(odd))
    if data.draw(st.booleans()):
        digest = data.draw(odd_values.field_values.filter(len))
    _check("crash records", digest + b" " + body)


@hypothesis.given(odd_values.field_values, odd_values.field_values)
def test_odd_fields_of_peers_raise_wire_errors_only(
    first: bytes, second: bytes
) -> None:
    """A daemon that is faulty or newer sends what this one can't decode."""
    decoders: list[typing.Callable[[], object]] = [
        lambda: _feed_wire.decode_poll(b"after=" + first, second),
        lambda: _feed_wire.decode_answer(first, second),
        lambda: _confirmations._decode(first),
        lambda: _quota_wire.decode(first, quotas.Ask),
        lambda: _wire.decode_notice(
            {
                _wire.RATE_LIMIT_HEADER_LOWER: first,
                _wire.LEAVING_HEADER_LOWER: second,
            }
        ),
    ]
    for decode in decoders:
        try:
            decode()
        except _wire.WireError:
            pass
    assert 0 <= _wire.decode_trial(first) < 2**64
    _work_wire.decode_work({_work_wire.WORK_HEADER_LOWER: first})


@hypothesis.given(odd_values.field_values, odd_values.field_values)
def test_odd_fields_of_an_instance_raise_notice_errors_only(
    first: bytes, second: bytes
) -> None:
    """An instance's header field must not end the exchange."""
    try:
        notices.decode(first, second)
    except notices.NoticeError:
        pass
    seconds = keepalive.idle_seconds(b"timeout=" + first, 4.0)
    assert 0.0 <= seconds <= keepalive.SECONDS_MAX


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"9", 9), (5_000 * b"9", 0), (b"x", 0), (b"", 0), (None, 0)],
)
def test_trial_of_many_digits_is_no_trial(
    value: bytes | None, expected: int
) -> None:
    """An int of thousands of digits would raise and cost the connection."""
    assert _wire.decode_trial(value) == expected


def test_crash_record_that_cannot_be_sent_on_is_an_error() -> None:
    """Rounded up, the greatest duration of 64 bits no longer fits them."""
    valid = messages.CODECS["crash records"].encode()
    digest, _, encoded = valid.partition(b" ")
    (record,) = msgspec.msgpack.decode(base64.b64decode(encoded))
    record[7] = [2**64 - 1 for _ in record[7]]
    body = base64.b64encode(msgspec.msgpack.encode([record]))
    with pytest.raises(_wire.WireError):
        messages.CODECS["crash records"].decode_and_encode(
            digest + b" " + body
        )


def test_revision_that_cannot_be_raised_is_an_error() -> None:
    """A daemon overrides a rumour about itself with the next revision."""
    rumour = fleet.Rumour("vm-1", "i1", 2**64 - 1, 0)
    with pytest.raises(fleet.BadMessage):
        fleet_messages.decode_rumours(msgspec.msgpack.encode((rumour,)))


def test_amounts_whose_sum_is_infinite_are_an_error() -> None:
    """The allocator's next update would be refused by all other domains."""
    need = quotas.Need("c", 1e308, 0, 0)
    with pytest.raises(_wire.WireError):
        _quota_wire.decode(
            _quota_wire.encode(quotas.Ask("h", (need, need))), quotas.Ask
        )
