"""Items of the store, each decoded by itself.

One item that can't be read must not take with it the others that came in
the same answer: the daemon would then learn nothing more at all.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import typing

from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.platform import _checks
from sassafrasstair.platform import _documents
from sassafrasstair.platform import _entries

if typing.TYPE_CHECKING:
    from collections import abc

    import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item as it was written, or its removal.

    ``value`` is None when it is not bytes in base64.
    """

    key: str
    revision: int
    created_revision: int
    value: bytes | None
    removed: bool


class ItemError(Exception):
    """An item of which not even the key can be told."""


def decode_item(raw: msgspec.Raw) -> Item:
    """Return one item; raises ``ItemError``."""
    try:
        found = _checks.decode_object(raw)
    except _checks.JsonObjectError as error:
        raise ItemError(error.reason) from error
    key, revision = found.get("key"), _revision(found.get("revision"))
    if not isinstance(key, str) or not key:
        raise ItemError("key")
    if revision is None:
        raise ItemError("revision")
    created = _revision(found.get("created"))
    return Item(
        key,
        revision,
        revision if created is None else created,
        _value(found.get("value")),
        found.get("removed") is True,
    )


def decode_changes(
    items: abc.Iterable[Item], regions: abc.Mapping[str, str]
) -> tuple[tuple[views.Change, ...], tuple[forwarding.RefusedItem, ...]]:
    """Return what the items change, and which were refused, with why."""
    told: list[views.Change] = []
    refused: list[forwarding.RefusedItem] = []
    for item in items:
        try:
            change = _change(item, regions)
        except _entries.EntryError as error:
            # What stood there before is out of date, whatever this says.
            told.append(views.Unusable(_id(item.key)))
            refused.append(_refusal(item, error.reason))
        except _documents.PolicyError as error:
            # A policy that can't be read leaves the one before in force.
            refused.append(_refusal(item, str(error)))
        else:
            if change is not None:
                told.append(change)
    return tuple(told), tuple(refused)


def _change(item: Item, regions: abc.Mapping[str, str]) -> views.Change | None:
    if item.key == _documents.POLICY_KEY and not item.removed:
        if item.value is None:
            raise _documents.PolicyError("value")
        return _documents.decode_policy(item.value)
    if not item.key.startswith(_entries.INSTANCES_PREFIX):
        return None
    if item.removed:
        return views.Removed(_id(item.key))
    if item.value is None:
        raise _entries.EntryError("value")
    return _entries.decode_instance(
        item.key, item.value, item.created_revision, regions
    )


def _id(key: str) -> str:
    return key.removeprefix(_entries.INSTANCES_PREFIX)


def _refusal(item: Item, reason: str) -> forwarding.RefusedItem:
    return forwarding.RefusedItem(item.key, item.revision, reason)


def _revision(value: object) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


def _value(value: object) -> bytes | None:
    if not isinstance(value, str):
        return None
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        return None
