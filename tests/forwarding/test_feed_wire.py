"""What daemons tell each other of their views, on the wire."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire
from tests.forwarding import test_wire

WORD = feeds.PeerStatus(12, None, 0.5, False)


@pytest.mark.parametrize(
    "word",
    [
        WORD,
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
    ],
)
def test_decoded_answer_equals_what_was_encoded(
    word: feeds.PeerStatus, delta: views.Delta
) -> None:
    field = _feed_wire.encode_status(word, delta.content)
    body = _feed_wire.encode_delta(delta)
    found, told = _feed_wire.decode_answer(field, body)
    assert found == word
    assert told.content == delta.content
    assert told.instances == delta.instances
    assert (told.removed, told.unusable) == (delta.removed, delta.unusable)
    assert bool(body) is not delta.empty


@pytest.mark.parametrize(
    ("field", "body"),
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
    ],
)
def test_malformed_answer_is_an_error(field: bytes, body: bytes) -> None:
    with pytest.raises(_wire.WireError):
        _feed_wire.decode_answer(field, body)


@pytest.mark.parametrize(
    ("query", "field", "found"),
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
    query: bytes, field: bytes | None, found: tuple[int, float | None] | None
) -> None:
    if found is not None:
        assert _feed_wire.decode_poll(query, field) == found
        return
    with pytest.raises(_wire.WireError):
        _feed_wire.decode_poll(query, field)
