"""Bytes of messages, pages and stored items: other versions read them.

Plain data classes are encoded under the names of their fields. A daemon of
another version drops a field that it does not know and takes the default of
one that it misses, so a renamed field loses its data without an error.
"""

from __future__ import annotations

import pytest

from tests.golden import encoded
from tests.golden import messages


@pytest.mark.parametrize("name", messages.CODECS)
def test_message_is_encoded_as_before(name: str) -> None:
    assert messages.CODECS[name].encode() == encoded.ENCODED[name]


@pytest.mark.parametrize("name", messages.CODECS)
def test_message_is_decoded_as_before(name: str) -> None:
    found = encoded.ENCODED[name]
    assert messages.CODECS[name].decode_and_encode(found) == found


@pytest.mark.parametrize("name", encoded.WITHOUT_LATER_FIELDS)
def test_message_without_later_fields_is_decoded(name: str) -> None:
    """Daemons of two versions run beside each other during an upgrade."""
    found = messages.CODECS[name].decode_and_encode(
        encoded.WITHOUT_LATER_FIELDS[name]
    )
    assert found == encoded.ENCODED[name]


def test_each_message_has_its_bytes() -> None:
    assert list(messages.CODECS) == list(encoded.ENCODED)
