"""Child tickets: the same once-only call deeper down, on each repeat.

The upstream that executes ticket T may call further once-only services.
If it repeats such a call, the repeat must carry the same child ticket, or
the child runs twice. The daemon in its slot is T's owner and remembers
the child by its service and a key that the upstream chooses.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.once import _messages
from sassafrasstair.decisions.once import _owners
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.once import _records

MAX_CHILDREN = 16
MAX_KEY_CHARS = 128
"""With ``MAX_CHILDREN``, bounds the memory of one record's children."""


def find_child(
    owner: _owners.Owner, parent_ticket: str, service: str, key: str
) -> str | _messages.Refused | None:
    """Return the child ticket, or None: take one and ``adopt`` it.

    Refused when the parent cannot have a new child: it has ended
    (PARENT_GONE, not run), its record is gone (PARENT_GONE, unknown), it
    has ``MAX_CHILDREN`` (TICKETS_FULL), or the key is too long.
    """
    record = _owners.find(owner, parent_ticket)
    if record is None:
        # A child may have run while the record was here.
        return _refused(outcomes.Outcome.UNKNOWN)
    known = record.children.get((service, key))
    if known is not None:
        return known
    return _refusal(record, key)


def adopt_child(
    owner: _owners.Owner,
    parent_ticket: str,
    service: str,
    key: str,
    child_ticket: str,
) -> str | _messages.Refused:
    """Remember a child ticket; return the one that must be used.

    The first one stays: when two repeats each took a ticket at once, both
    must send with the same. Refused as ``child`` is; the caller then
    lets the ticket that it took expire unused.
    """
    known = find_child(owner, parent_ticket, service, key)
    if known is not None:
        return known
    record = _owners.find(owner, parent_ticket)
    assert record is not None
    record.children[service, key] = child_ticket
    return child_ticket


def _refusal(record: _records.Record, key: str) -> _messages.Refused | None:
    if len(key) > MAX_KEY_CHARS:
        return _messages.Refused(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.MALFORMED
        )
    if record.result is not None:
        # Nobody waits for the parent's work, or it was answered: a child
        # started now would be work that no answer accounts for.
        return _refused(outcomes.Outcome.NOT_RUN)
    if len(record.children) >= MAX_CHILDREN:
        return _messages.Refused(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.TICKETS_FULL
        )
    return None


def _refused(outcome: outcomes.Outcome) -> _messages.Refused:
    return _messages.Refused(outcome, outcomes.Reason.PARENT_GONE)
