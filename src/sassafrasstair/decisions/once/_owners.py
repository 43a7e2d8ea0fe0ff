"""The owner of tickets: the one daemon incarnation that may execute them.

A ticket names its owner, and only that process in that incarnation ever
executes it, so the answer to "has it run?" is in one memory. That is why
a pause of the process cannot make a ticket run twice: nobody takes its
tickets over meanwhile, so when it wakes its records are still the truth.
``arrive`` checks and records in one step without an await, so two
arrivals cannot both find that there is no record.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.once import _messages
from sassafrasstair.decisions.once import _records
from sassafrasstair.decisions.once import _tickets
from sassafrasstair import outcomes

MAX_STORED_BYTES = 8 * 1024 * 1024
MIN_SECRET_BYTES = 16
_MILLISECONDS = 1000

_SAID_BY_UPSTREAM = frozenset(
    {
        outcomes.Reason.UPSTREAM_REFUSED,
        outcomes.Reason.UPSTREAM_UNREACHABLE,
    }
)
"""After dispatch, "not run" is believed for these reasons only."""


@dataclasses.dataclass(slots=True)
class Counts:
    """How often each decision was taken since the start."""

    issued: int = 0
    full: int = 0
    ran: int = 0
    joined: int = 0
    replayed: int = 0
    voided: int = 0
    unknown: int = 0
    invalid: int = 0
    expired: int = 0
    owner_gone: int = 0
    # Always 0 unless something else is broken.
    not_sent: int = 0
    not_run_disbelieved: int = 0
    ended_twice: int = 0


@dataclasses.dataclass(slots=True)
class Owner:
    """State of one incarnation; ``latest`` is the greatest instant seen."""

    vm: str
    incarnation: str
    secret: bytes
    records: _records.Records
    counts: Counts = dataclasses.field(default_factory=Counts)
    last_serial: int = 0
    latest_instant: float = 0.0
    leaving: bool = False


def new_owner(
    vm: str,
    incarnation: str,
    secret: bytes,
    max_records: int,
    max_stored_bytes: int = MAX_STORED_BYTES,
) -> Owner:
    """Return an owner with no records.

    ``incarnation`` and ``secret`` must be fresh random values at each
    start: an incarnation that came back with empty memory would execute
    tickets again. Raises ``ValueError`` on names that cannot stand in a
    ticket and on a short secret.
    """
    if not (_tickets.can_name(vm) and _tickets.can_name(incarnation)):
        raise ValueError("vm and incarnation must be ASCII without '~'")
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"secret needs {MIN_SECRET_BYTES} bytes or more")
    records = _records.Records(max_records, max_stored_bytes)
    return Owner(vm, incarnation, secret, records)


def issue_ticket(
    owner: Owner,
    service: str,
    request_class: str,
    lifetime: float,
    now: float,
) -> _messages.Issued | _messages.Refused:
    """Issue a ticket that can be executed within ``lifetime`` seconds.

    Refused as NOT_RUN with TICKETS_FULL when the records could outgrow
    their bound, and with LEAVING when the owner is about to stop.
    """
    expire(owner, now)
    if owner.leaving:
        return _not_run(outcomes.Reason.LEAVING)
    if not _records.has_room(owner.records):
        owner.counts.full += 1
        return _not_run(outcomes.Reason.TICKETS_FULL)
    owner.last_serial += 1
    owner.counts.issued += 1
    expiry = int((owner.latest_instant + lifetime) * _MILLISECONDS)
    _records.count_issued(owner.records, expiry)
    name = _tickets.TicketTarget(
        owner.vm, owner.incarnation, service, request_class
    )
    ticket = _tickets.Ticket(name, owner.last_serial, expiry)
    return _messages.Issued(_tickets.encode(ticket, owner.secret), lifetime)


def stop_issuing(owner: Owner) -> None:
    """Issue no more tickets: the owner is about to stop."""
    owner.leaving = True


def accept_arrival(
    owner: Owner, ticket: str, request_class: str, now: float
) -> _messages.Arrival:
    """Take a request that arrived with ``ticket`` and say what it does.

    ``Run`` is returned at most once for a ticket, and is recorded in the
    same step. The caller must not await between this and acting on it.
    """
    _advance(owner, now)
    read = _tickets.decode(ticket)
    if read is None:
        owner.counts.invalid += 1
        return _not_run(outcomes.Reason.TICKET_INVALID)
    if (read.target.vm, read.target.incarnation) != (
        owner.vm,
        owner.incarnation,
    ):
        # The incarnation that could know is gone, with its memory.
        owner.counts.owner_gone += 1
        return _unknown(outcomes.Reason.OWNER_GONE)
    if not _tickets.is_genuine(ticket, owner.secret):
        # Never issued, so never executed under this name.
        owner.counts.invalid += 1
        return _not_run(outcomes.Reason.TICKET_INVALID)
    record = owner.records.by_serial.get(read.serial)
    if read.target.request_class != request_class:
        return _misused(owner, read, record)
    if record is None:
        return _first(owner, read)
    return _again(owner, record)


def refuse_arrival(
    owner: Owner,
    ticket: str,
    request_class: str,
    reason: outcomes.Reason,
    now: float,
) -> _messages.Arrival:
    """Take a request that this daemon will not run, for ``reason``.

    Failure: the owner refuses a repeat as "not run" for want of memory,
    while an earlier use of the ticket is executed. A ticket that was not
    run before is void from now on; for any other one the result is what
    ``arrive`` gives, and never ``Run``.
    """
    arrival = accept_arrival(owner, ticket, request_class, now)
    if not isinstance(arrival, _messages.Run):
        return arrival
    finish_execution(owner, ticket, _messages.NotRun(reason), now)
    return _not_run(reason)


def dispatched(owner: Owner, ticket: str, now: float) -> bool:
    """Note that the first byte goes to the upstream next.

    False means that it must not be sent: the ticket was voided since
    (cancelled while it waited), or it was sent before. Called right
    before the dispatch, without an await in between.
    """
    _advance(owner, now)
    record = find(owner, ticket)
    if record is None or record.result is not None or record.dispatched:
        owner.counts.not_sent += 1
        return False
    record.dispatched = True
    return True


def finish_execution(
    owner: Owner, ticket: str, result: _messages.Result, now: float
) -> _messages.Result:
    """Note how the execution ended; return what callers must be told.

    The first end counts. "Not run" after the dispatch becomes unknown
    unless the upstream itself said so or was never reached.
    """
    _advance(owner, now)
    read = _tickets.decode(ticket)
    record = find(owner, ticket)
    if read is None or record is None:
        return _messages.Unknown(outcomes.Reason.TICKET_INVALID)
    if record.result is not None:
        owner.counts.ended_twice += 1
        return _as_told(record.result, result)
    result = _believe(owner, record, result)
    _records.store(owner.records, read.serial, record, result)
    if isinstance(result, _messages.NotRun):
        owner.counts.voided += 1
    if isinstance(result, _messages.Unknown):
        owner.counts.unknown += 1
    return result


def expire(owner: Owner, now: float) -> None:
    """Drop the records of expired tickets; cheap, called often."""
    _advance(owner, now)
    _records.drop_expired(owner.records, owner.latest_instant)


def find(owner: Owner, ticket: str) -> _records.Record | None:
    """Return the record of a ticket of this owner, or None."""
    read = _tickets.decode(ticket)
    if read is None or read.target.incarnation != owner.incarnation:
        return None
    if not _tickets.is_genuine(ticket, owner.secret):
        return None
    return owner.records.by_serial.get(read.serial)


def _advance(owner: Owner, now: float) -> None:
    # Failure: a handler reads the clock, waits, and calls late with an
    # instant from before an expiry that was already acted upon; the
    # record is gone but the ticket looks valid, and it runs twice. Time
    # therefore never goes back for an owner.
    owner.latest_instant = max(owner.latest_instant, now)


def _is_expired(owner: Owner, read: _tickets.Ticket) -> bool:
    return owner.latest_instant * _MILLISECONDS >= read.expiry


def _first(owner: Owner, read: _tickets.Ticket) -> _messages.Arrival:
    if _is_expired(owner, read):
        # Its record may have been dropped, so nobody can say.
        owner.counts.expired += 1
        return _unknown(outcomes.Reason.TICKET_EXPIRED)
    _records.add(owner.records, read.serial, read.expiry)
    owner.counts.ran += 1
    return _messages.Run()


def _again(owner: Owner, record: _records.Record) -> _messages.Arrival:
    result = record.result
    if result is None:
        owner.counts.joined += 1
        return _messages.Join()
    if isinstance(result, _messages.NotRun):
        # Failure: a copy of a refused request arrives late and runs,
        # though its caller was told that it was not run.
        return _not_run(outcomes.Reason.TICKET_VOID)
    if isinstance(result, _messages.Unknown):
        return _unknown(result.reason)
    owner.counts.replayed += 1
    return _messages.Replay(result)


def _misused(
    owner: Owner, read: _tickets.Ticket, record: _records.Record | None
) -> _messages.Refused:
    # The ticket is for another class. "Not run" is true only if it is
    # voided in the same step; otherwise another copy might still run.
    owner.counts.invalid += 1
    reason = outcomes.Reason.TICKET_INVALID
    if record is None and not _is_expired(owner, read):
        record = _records.add(owner.records, read.serial, read.expiry)
        result = _messages.NotRun(reason)
        _records.store(owner.records, read.serial, record, result)
    if record is not None and isinstance(record.result, _messages.NotRun):
        return _not_run(reason)
    return _unknown(reason)


def _believe(
    owner: Owner, record: _records.Record, result: _messages.Result
) -> _messages.Result:
    if not record.dispatched or not isinstance(result, _messages.NotRun):
        return result
    if result.reason in _SAID_BY_UPSTREAM:
        return result
    owner.counts.not_run_disbelieved += 1
    return _messages.Unknown(result.reason)


def _as_told(
    kept: _messages.Result | _messages.Summary, late: _messages.Result
) -> _messages.Result:
    if isinstance(kept, _messages.Summary):
        return late
    return kept


def _not_run(reason: outcomes.Reason) -> _messages.Refused:
    return _messages.Refused(outcomes.Outcome.NOT_RUN, reason)


def _unknown(reason: outcomes.Reason) -> _messages.Refused:
    return _messages.Refused(outcomes.Outcome.UNKNOWN, reason)
