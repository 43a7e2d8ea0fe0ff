"""Decoding of the store's items, one by one.

An item that can't be decoded must not prevent the decoding of the others in
the same response: the daemon would then receive no more updates.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import typing

import msgspec

from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.platform import _checks
from sassafrasstair.platform import _documents
from sassafrasstair.platform import _entries

if typing.TYPE_CHECKING:
    from collections import abc

DECODER_FAULT = "decoder_fault"
"""The reason, up to its colon, for an item on which a decoder failed with an
error that it does not declare."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item as it was written, or its removal.

    ``revision`` is the store's revision of this write, ``created_revision``
    that of the first write to the key. ``value`` is None if it is not valid
    base64.
    """

    key: str
    revision: int
    created_revision: int
    value: bytes | None
    removed: bool


Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=views.NUMBER_MAX)]
"""A revision in the store's format, of one era."""


class _Key(msgspec.Struct, frozen=True):
    key: typing.Annotated[str, msgspec.Meta(min_length=1)]


class _Item(_Key, frozen=True):
    """An item in the store's format.

    What is untyped may be invalid without making the item invalid.
    """

    revision: Revision
    created: object = None
    value: object = None
    removed: object = False


_KEY_DECODER = msgspec.json.Decoder(_Key)
_ITEM_DECODER = msgspec.json.Decoder(_Item)


class ItemError(Exception):
    """An item that has no valid key or revision.

    ``key`` is its key, '' if that is not valid.
    """

    def __init__(self, reason: str, key: str) -> None:
        super().__init__(reason)
        self.key = key


def decode_item(raw: msgspec.Raw) -> Item:
    """Decode one item; raises ``ItemError``."""
    try:
        fields = _checks.decode_struct(_ITEM_DECODER, raw)
    except _checks.InvalidDataError as error:
        raise ItemError(error.reason, _decode_key(raw)) from error
    created = _check_revision(fields.created)
    return Item(
        fields.key,
        fields.revision,
        fields.revision if created is None else created,
        _decode_value(fields.value),
        fields.removed is True,
    )


def _decode_key(raw: msgspec.Raw) -> str:
    """Return the key of an item, '' if it has no valid one."""
    try:
        return _checks.decode_struct(_KEY_DECODER, raw).key
    except _checks.InvalidDataError:
        return ""


def decode_changes(
    items: abc.Iterable[Item], regions: abc.Mapping[str, str]
) -> tuple[tuple[views.Change, ...], tuple[forwarding.RefusedItem, ...]]:
    """Return the items' changes, and the refused items with the reasons."""
    decoded: list[views.Change] = []
    refused: list[forwarding.RefusedItem] = []
    for item in items:
        try:
            change = _decode_change(item, regions)
        except _entries.EntryError as error:
            # The entry before this one is out of date in any case.
            decoded.append(views.Unusable(_instance_id(item.key)))
            refused.append(_refused_item(item, error.reason))
        except _documents.PolicyError as error:
            # An invalid policy leaves the previous one in force.
            refused.append(_refused_item(item, str(error)))
        except Exception as error:
            # A fault in a decoder must not cost the other items.
            if item.key != _documents.POLICY_KEY:
                decoded.append(views.Unusable(_instance_id(item.key)))
            refused.append(_refused_item(item, describe_decoder_fault(error)))
        else:
            if change is not None:
                decoded.append(change)
    return tuple(decoded), tuple(refused)


def _decode_change(
    item: Item, regions: abc.Mapping[str, str]
) -> views.Change | None:
    if item.key == _documents.POLICY_KEY and not item.removed:
        if item.value is None:
            raise _documents.PolicyError("value")
        return _documents.decode_policy(item.value)
    if not item.key.startswith(_entries.INSTANCES_PREFIX):
        return None
    if item.removed:
        return views.Removed(_instance_id(item.key))
    if item.value is None:
        raise _entries.EntryError("value")
    return _entries.decode_instance(
        item.key, item.value, item.created_revision, regions
    )


def describe_decoder_fault(error: Exception) -> str:
    """Return the reason for an item on which a decoder failed."""
    return f"{DECODER_FAULT}: {error!r}"


def _instance_id(key: str) -> str:
    return key.removeprefix(_entries.INSTANCES_PREFIX)


def _refused_item(item: Item, reason: str) -> forwarding.RefusedItem:
    return forwarding.RefusedItem(item.key, item.revision, reason)


def _check_revision(value: object) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if 0 <= value <= views.NUMBER_MAX else None


def _decode_value(value: object) -> bytes | None:
    if not isinstance(value, str):
        return None
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        return None
