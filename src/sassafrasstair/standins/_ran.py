"""What a stand-in upstream ran: the oracle for once-only work."""

from __future__ import annotations

import collections

import msgspec


class Ran(msgspec.Struct, frozen=True):
    """How often each ticket and each request's nonce was run."""

    service: str
    tickets: dict[str, int] = msgspec.field(
        default_factory=lambda: collections.Counter()
    )
    nonces: dict[str, int] = msgspec.field(
        default_factory=lambda: collections.Counter()
    )


def note(ran: Ran, nonce: str, ticket: str) -> None:
    """Note that work was begun for a request."""
    ran.nonces[nonce] = ran.nonces.get(nonce, 0) + 1
    if ticket:
        ran.tickets[ticket] = ran.tickets.get(ticket, 0) + 1
