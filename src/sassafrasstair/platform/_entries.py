"""Entries of instances in the store, each field checked.

Whoever else writes there may leave out fields, give them other types or
name states and services that nobody knows. Such an entry names no instance;
its reason is kept for the log.
"""

from __future__ import annotations

import ipaddress
import math
import re
import typing

from sassafrasstair.decisions import views
from sassafrasstair.platform import _checks

if typing.TYPE_CHECKING:
    from collections import abc

INSTANCES_PREFIX = "servers/"
SLOTS_MAX = 1_000_000
"""More work at once than any instance takes; a greater number is garbage."""
COLD_SECONDS_MAX = 86_400.0
"""An instance that stays slow for a day has not just started."""
_NAME = re.compile(r"[!-~]{1,200}")
"""Ids and services travel in header fields, where a blank or a line end
would begin another field."""
_STATES = {
    "ready": views.InstanceState.READY,
    "draining": views.InstanceState.LEAVING,
}
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")


class EntryError(Exception):
    """An entry that names no instance; ``reason`` is one of a few words."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_instance(
    key: str, value: bytes, created: int, regions: abc.Mapping[str, str]
) -> views.Instance:
    """Return the instance that an entry names; raises ``EntryError``.

    ``created`` is the store's revision at which the key was first written.
    """
    fields = _fields(value)
    zone = _name(fields, "zone")
    host, port = _address(fields)
    _name(fields, "version")
    _whole(fields, "seq", 0)
    return views.Instance(
        _checked_id(key),
        _name(fields, "service"),
        host,
        port,
        created,
        zone,
        regions.get(zone, ""),
        _whole(fields, "slots", 1, SLOTS_MAX),
        _state(fields),
        _cold_seconds(fields),
        _whole(fields, "born", 1) if "born" in fields else 0,
    )


def _checked_id(key: str) -> str:
    """Return the id in a key of the store; raises ``EntryError``."""
    found = key.removeprefix(INSTANCES_PREFIX)
    if _NAME.fullmatch(found) is None:
        raise EntryError("id")
    return found


def _fields(value: bytes) -> dict[str, object]:
    try:
        return _checks.decode_object(value)
    except _checks.JsonObjectError as error:
        raise EntryError(error.reason) from error


def _name(fields: abc.Mapping[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or _NAME.fullmatch(value) is None:
        raise EntryError(name)
    return value


def _whole(
    fields: abc.Mapping[str, object],
    name: str,
    least: int,
    most: float = math.inf,
) -> int:
    value = fields.get(name)
    # true and false are numbers in Python, but not in the store.
    if isinstance(value, bool) or not isinstance(value, int):
        raise EntryError(name)
    if not least <= value <= most:
        raise EntryError(name)
    return value


def _address(fields: abc.Mapping[str, object]) -> tuple[str, int]:
    host, _, digits = _name(fields, "address").rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise EntryError("address") from error
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise EntryError("address")
    port = _checks.parse_port(digits)
    if port is None:
        raise EntryError("address")
    return host, port


def _state(fields: abc.Mapping[str, object]) -> views.InstanceState:
    value = fields.get("state")
    state = _STATES.get(value) if isinstance(value, str) else None
    if state is None:
        raise EntryError("state")
    return state


def _cold_seconds(fields: abc.Mapping[str, object]) -> float:
    value = fields.get("warmup_ms")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise EntryError("warmup_ms")
    if not 0.0 <= value / 1000 <= COLD_SECONDS_MAX:
        raise EntryError("warmup_ms")
    return value / 1000
