"""Child tickets: nested at-most-once calls keep their ticket on a repeat.

The upstream that executes ticket T may call further at-most-once services.
If it repeats such a call, the repeat must carry the same child ticket, or
the child runs twice. The daemon in front of the upstream owns T and stores
each child ticket under the child's service and a key that the upstream
chooses.
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
"""Bounds, with ``MAX_CHILDREN``, the memory of one record's children."""


def find_child(
    owner: _owners.Owner, parent_ticket: str, service: str, key: str
) -> str | _messages.Refused | None:
    """Return the child ticket, or None if there is none yet.

    On None the caller takes a ticket and passes it to ``adopt_child``.
    Refused when the parent cannot have a new child: it has ended
    (PARENT_GONE, not run), its record is gone (PARENT_GONE, unknown), it
    has ``MAX_CHILDREN`` (TICKETS_FULL), or the key is too long.
    """
    record = _owners.find_record(owner, parent_ticket)
    if record is None:
        # A child may have run before the record was dropped.
        return _parent_gone(outcomes.Outcome.UNKNOWN)
    known = record.children.get((service, key))
    if known is not None:
        return known
    return _refuse_new_child(record, key)


def adopt_child(
    owner: _owners.Owner,
    parent_ticket: str,
    service: str,
    key: str,
    child_ticket: str,
) -> str | _messages.Refused:
    """Store a child ticket; return the one that must be used.

    The first ticket stays: when two repeats each took a ticket at the same
    time, both must send the same one. Refused as by ``find_child``; the
    caller then lets the ticket that it took expire unused.
    """
    known = find_child(owner, parent_ticket, service, key)
    if known is not None:
        return known
    record = _owners.find_record(owner, parent_ticket)
    assert record is not None
    record.children[service, key] = child_ticket
    return child_ticket


def _refuse_new_child(
    record: _records.Record, key: str
) -> _messages.Refused | None:
    if len(key) > MAX_KEY_CHARS:
        return _messages.Refused(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.MALFORMED
        )
    if record.result is not None:
        # The parent was answered, or no caller waits for it any more. The
        # work of a child started now would not show in any answer.
        return _parent_gone(outcomes.Outcome.NOT_RUN)
    if len(record.children) >= MAX_CHILDREN:
        return _messages.Refused(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.TICKETS_FULL
        )
    return None


def _parent_gone(outcome: outcomes.Outcome) -> _messages.Refused:
    return _messages.Refused(outcome, outcomes.Reason.PARENT_GONE)
