"""Tests of the headers and bodies of polls between daemons."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire
from tests.forwarding import test_wire

STATUS = feeds.PeerStatus(12, None, 0.5, False)


def _answer_ahead_to(revision: int) -> bytes:
    return _feed_wire.encode_delta(views.Delta(1, 2, True, ahead_to=revision))


@pytest.mark.parametrize(
    "status",
    [
        STATUS,
        feeds.PeerStatus(12, 3.25, 0.0, True, 4.5),
        feeds.PeerStatus(-1, 0.0, 0.0, False),
    ],
)
@pytest.mark.parametrize(
    "delta",
    [
        views.Delta(12, 9),
        views.Delta(12, 9, False, None, (test_wire.INSTANCE,), ("a",), ("b",)),
        views.Delta(12, 9, True, test_wire.POLICY, (test_wire.INSTANCE,)),
        views.Delta(12, 9, True, test_wire.POLICY, ahead_to=14),
    ],
)
def test_decoded_answer_equals_what_was_encoded(
    status: feeds.PeerStatus, delta: views.Delta
) -> None:
    header = _feed_wire.encode_status(status, delta.content)
    body = _feed_wire.encode_delta(delta)
    decoded_status, decoded = _feed_wire.decode_answer(header, body)
    assert decoded_status == status
    assert decoded.content == delta.content
    assert decoded.instances == delta.instances
    assert decoded.ahead_to == delta.ahead_to
    assert (decoded.removed, decoded.unusable) == (
        delta.removed,
        delta.unusable,
    )
    assert bool(body) is not delta.empty


@pytest.mark.parametrize(
    ("header", "body"),
    [
        (b"", b""),
        (b"1 2 - 0.0 0", b""),
        (b"x 2 - 0.0 0 0.0", b""),
        (b"1 2 nan 0.0 0 0.0", b""),
        (b"1 2 -3 0.0 0 0.0", b""),
        (b"1 2 - inf 0 0.0", b""),
        (b"1 2 - 0.0 0 -1", b""),
        (b"1 2 - 0.0 0 0.0", b"\xc1"),
        (b"\xff 2 - 0.0 0 0.0", b""),
        (b"1 2 - 0.0 0 0.0", _answer_ahead_to(-2)),
        (b"1 2 - 0.0 0 0.0", _answer_ahead_to(views.REVISION_MAX + 1)),
    ],
)
def test_malformed_answer_is_an_error(header: bytes, body: bytes) -> None:
    with pytest.raises(_wire.WireError):
        _feed_wire.decode_answer(header, body)


@pytest.mark.parametrize(
    ("query", "header", "expected"),
    [
        (b"after=-1", b"0.750", (-1, 0.75)),
        (b"after=7", None, (7, None)),
        (b"after=x", b"0", None),
        (b"after=7", b"-1", None),
        (b"after=7", b"1e9", None),
        (b"after=7", b"nan", None),
    ],
)
def test_decode_poll(
    query: bytes,
    header: bytes | None,
    expected: tuple[int, float | None] | None,
) -> None:
    if expected is not None:
        assert _feed_wire.decode_poll(query, header) == expected
        return
    with pytest.raises(_wire.WireError):
        _feed_wire.decode_poll(query, header)


@pytest.mark.parametrize(
    ("value", "expected"),
    [(None, None), (b"0.750", 0.75), (b"nan", ...), (b"-1", ...), (b"", ...)],
)
def test_decode_doubt(value: bytes | None, expected: object) -> None:
    headers = {} if value is None else {_feed_wire.DOUBT_HEADER_LOWER: value}
    if expected is ...:
        with pytest.raises(_wire.WireError):
            _feed_wire.decode_doubt(headers)
        return
    assert _feed_wire.decode_doubt(headers) == expected
