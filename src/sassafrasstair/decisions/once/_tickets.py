"""The text form of a ticket, with a tag that only its owner can make.

``vm~incarnation~serial~expiry~service~class~tag``: the expiry is in
milliseconds of the owner's monotonic clock, the tag is a keyed BLAKE2b of
the text before it.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

MAX_TICKET_CHARS = 512
_SEPARATOR = "~"
_FIELDS = 7
_TAG_BYTES = 16
_MAX_DIGITS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class TicketTarget:
    """The owner of a ticket and its class, as an entrance reads them.

    None of it is verified: only the owner can check the tag.
    """

    vm: str
    incarnation: str
    service: str
    request_class: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket as its owner reads it; ``expiry`` is in milliseconds."""

    target: TicketTarget
    serial: int
    expiry: int


def encode(ticket: Ticket, secret: bytes) -> str:
    """Return the text of ``ticket``, tagged with the owner's secret."""
    target = ticket.target
    fields = (
        target.vm,
        target.incarnation,
        str(ticket.serial),
        str(ticket.expiry),
        target.service,
        target.request_class,
    )
    text = _SEPARATOR.join(fields)
    return f"{text}{_SEPARATOR}{_tag(text, secret)}"


def decode(text: str) -> Ticket | None:
    """Return the fields of a well-formed ticket; the tag is not checked."""
    if len(text) > MAX_TICKET_CHARS or not text.isascii():
        return None
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELDS or not all(fields):
        return None
    vm, incarnation, serial, expiry, service, request_class, _ = fields
    if not (_is_number(serial) and _is_number(expiry)):
        return None
    target = TicketTarget(vm, incarnation, service, request_class)
    return Ticket(target, int(serial), int(expiry))


def parse_ticket(text: str) -> TicketTarget | None:
    """Return the owner and class of a ticket, or None if malformed."""
    ticket = decode(text)
    return None if ticket is None else ticket.target


def is_genuine(text: str, secret: bytes) -> bool:
    """Return whether the tag of ``text`` was made with ``secret``."""
    signed, _, tag = text.rpartition(_SEPARATOR)
    return hmac.compare_digest(tag, _tag(signed, secret))


def is_valid_field(field: str) -> bool:
    """Return whether ``field`` can be part of a ticket."""
    return bool(field) and field.isascii() and _SEPARATOR not in field


def _is_number(field: str) -> bool:
    return field.isdigit() and len(field) <= _MAX_DIGITS


def _tag(text: str, secret: bytes) -> str:
    mac = hashlib.blake2b(text.encode(), key=secret, digest_size=_TAG_BYTES)
    return mac.hexdigest()
