from __future__ import annotations

import asyncio
import types
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import once
from sassafrasstair.runtime import _children
from sassafrasstair.runtime import _entries


def test_second_use_of_a_child_ticket_is_a_repeat() -> None:
    """A second use of a child ticket is marked as a repeat.

    An upstream repeats a child call whose first attempt was lost. If the
    callee's daemon is gone by then, the first use may still have run, so
    the entrance must not report the call as not run.
    """
    owner = once.new_owner("poster-1", "i", bytes(32), 10)
    parent = once.issue_ticket(owner, "poster", "write-down", 60.0, 0.0)
    assert isinstance(parent, once.Issued)
    once.accept_arrival(owner, parent.ticket, "write-down", 0.0)
    ledger = once.new_owner("ledger-1", "i", bytes(32), 10)
    child = once.issue_ticket(ledger, "ledger", "write-down", 60.0, 0.0)
    assert isinstance(child, once.Issued)
    once.adopt_child(owner, parent.ticket, "ledger", "", child.ticket)
    attempt = types.SimpleNamespace(
        message=types.SimpleNamespace(ticket=parent.ticket)
    )
    call = calls.Call("1", "ledger", "write-down", "t", "c", 9.0)
    prepared = _entries.PreparedCall(
        call, typing.cast("typing.Any", None), _any(attempt), None
    )
    entry = types.SimpleNamespace(callee=types.SimpleNamespace(owner=owner))
    request = types.SimpleNamespace(fields=types.SimpleNamespace(child_key=""))
    used = asyncio.run(
        _children.attach_child_ticket(_any(entry), prepared, _any(request))
    )
    assert isinstance(used, _entries.PreparedCall)
    assert (used.call.ticket, used.call.repeat) == (child.ticket, 1)


def _any(stub: types.SimpleNamespace) -> typing.Any:
    return stub
