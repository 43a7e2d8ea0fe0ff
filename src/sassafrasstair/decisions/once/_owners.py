"""The owner of tickets: the one daemon incarnation that may execute them.

A ticket names its owner, and only that process in that incarnation ever
executes it, so one process alone knows whether it has run. A pause of the
process therefore cannot make a ticket run twice: no other process takes over
its tickets in the meantime, so its records are still correct afterwards.
``accept_arrival`` checks and records in one step without an await, so two
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

_TRUSTED_NOT_RUN_REASONS = frozenset(
    {
        outcomes.Reason.UPSTREAM_REFUSED,
        outcomes.Reason.UPSTREAM_UNREACHABLE,
    }
)
"""After the dispatch, "not run" is accepted for these reasons only."""


@dataclasses.dataclass(slots=True)
class Counts:
    """How often each decision was taken since the start.

    ``issued`` counts tickets issued, and ``full`` those refused for lack of
    room. ``ran`` counts first arrivals, including those that are refused and
    so not executed. ``joined`` counts arrivals during the execution, and
    ``replayed`` those that got the stored answer. ``voided`` counts results
    of "not run", and ``unknown`` results of unknown effect.

    ``invalid`` counts arrivals with a malformed or forged ticket or with one
    for another class, ``expired`` those with an expired ticket that has no
    record, and ``owner_gone`` those with a ticket of another daemon or
    incarnation.

    ``not_sent`` counts refused dispatches, ``not_run_disbelieved`` results of
    "not run" that became unknown, and ``ended_twice`` results after the first.
    """

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
    # A value other than 0 shows a fault elsewhere.
    not_sent: int = 0
    not_run_disbelieved: int = 0
    ended_twice: int = 0


@dataclasses.dataclass(slots=True)
class Owner:
    """State of one incarnation of the daemon.

    ``last_serial`` is that of the last ticket issued, ``latest_instant`` the
    latest instant that a caller has passed: the time of an owner never goes
    back. ``leaving`` is set when the owner is about to stop: it issues no more
    tickets, but still executes those that it has issued.
    """

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
    start: an incarnation that restarted with no records would execute
    tickets again. Raises ``ValueError`` on names that a ticket cannot
    contain and on a short secret.
    """
    if not (
        _tickets.is_valid_field(vm) and _tickets.is_valid_field(incarnation)
    ):
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

    Refused as NOT_RUN with TICKETS_FULL when the records could exceed
    their limit, and with LEAVING when the owner is about to stop.
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
    target = _tickets.TicketTarget(
        owner.vm, owner.incarnation, service, request_class
    )
    ticket = _tickets.Ticket(target, owner.last_serial, expiry)
    return _messages.Issued(_tickets.encode(ticket, owner.secret), lifetime)


def stop_issuing(owner: Owner) -> None:
    """Stop issuing tickets, because the owner is about to stop."""
    owner.leaving = True


def resume_issuing(owner: Owner) -> None:
    """Issue tickets again: the upstream that was to stop was replaced."""
    owner.leaving = False


def accept_arrival(
    owner: Owner, ticket: str, request_class: str, now: float
) -> _messages.Arrival:
    """Decide on a request that arrived with ``ticket``.

    ``Run`` is returned at most once for a ticket, and is recorded in the
    same step. The caller must not await between this and acting on it.
    """
    _advance_clock(owner, now)
    decoded = _tickets.decode(ticket)
    if decoded is None:
        owner.counts.invalid += 1
        return _not_run(outcomes.Reason.TICKET_INVALID)
    if (decoded.target.vm, decoded.target.incarnation) != (
        owner.vm,
        owner.incarnation,
    ):
        # The incarnation that knew is gone, and its records with it.
        owner.counts.owner_gone += 1
        return _unknown(outcomes.Reason.OWNER_GONE)
    if not _tickets.is_genuine(ticket, owner.secret):
        # A ticket that this owner did not issue was never executed.
        owner.counts.invalid += 1
        return _not_run(outcomes.Reason.TICKET_INVALID)
    record = owner.records.by_serial.get(decoded.serial)
    if decoded.target.request_class != request_class:
        return _reject_wrong_class(owner, decoded, record)
    if record is None:
        return _accept_first(owner, decoded)
    return _accept_repeat(owner, record)


def refuse_arrival(
    owner: Owner,
    ticket: str,
    request_class: str,
    reason: outcomes.Reason,
    now: float,
) -> _messages.Arrival:
    """Refuse a request that this daemon will not run, for ``reason``.

    A ticket that was not run before is void from now on: it can never be
    executed. For any other ticket the result is that of ``accept_arrival``,
    and never ``Run``. Otherwise the owner could refuse a repeat as "not run"
    for lack of memory while an earlier use of the ticket is executed.
    """
    arrival = accept_arrival(owner, ticket, request_class, now)
    if not isinstance(arrival, _messages.Run):
        return arrival
    finish_execution(owner, ticket, _messages.NotRun(reason), now)
    return _not_run(reason)


def dispatched(owner: Owner, ticket: str, now: float) -> bool:
    """Record that the first byte is about to be sent to the upstream.

    False means that it must not be sent: the ticket was voided after its
    arrival (the request was cancelled while it waited), or it was sent before.
    Must be called directly before the dispatch, without an await in between.
    """
    _advance_clock(owner, now)
    record = find_record(owner, ticket)
    if record is None or record.result is not None or record.dispatched:
        owner.counts.not_sent += 1
        return False
    record.dispatched = True
    return True


def finish_execution(
    owner: Owner, ticket: str, result: _messages.Result, now: float
) -> _messages.Result:
    """Record how the execution ended; return the result for callers.

    The first result counts. "Not run" after the dispatch becomes unknown
    unless the upstream itself reported it or was never reached.
    """
    _advance_clock(owner, now)
    decoded = _tickets.decode(ticket)
    record = find_record(owner, ticket)
    if decoded is None or record is None:
        return _messages.Unknown(outcomes.Reason.TICKET_INVALID)
    if record.result is not None:
        owner.counts.ended_twice += 1
        return _result_to_report(record.result, result)
    result = _correct_result(owner, record, result)
    _records.store_result(owner.records, decoded.serial, record, result)
    if isinstance(result, _messages.NotRun):
        owner.counts.voided += 1
    if isinstance(result, _messages.Unknown):
        owner.counts.unknown += 1
    return result


def expire(owner: Owner, now: float) -> None:
    """Drop the records of expired tickets; cheap enough to call often."""
    _advance_clock(owner, now)
    _records.drop_expired(owner.records, owner.latest_instant)


def find_record(owner: Owner, ticket: str) -> _records.Record | None:
    """Return the record of a ticket of this owner, or None."""
    decoded = _tickets.decode(ticket)
    if decoded is None or decoded.target.incarnation != owner.incarnation:
        return None
    if not _tickets.is_genuine(ticket, owner.secret):
        return None
    return owner.records.by_serial.get(decoded.serial)


def _advance_clock(owner: Owner, now: float) -> None:
    # A handler may read the clock, wait, and pass an instant from before an
    # expiry that was already processed. The record is then gone, but the
    # ticket would look valid and run twice. The time of an owner therefore
    # never goes back.
    owner.latest_instant = max(owner.latest_instant, now)


def _is_expired(owner: Owner, decoded: _tickets.Ticket) -> bool:
    return owner.latest_instant * _MILLISECONDS >= decoded.expiry


def _accept_first(owner: Owner, decoded: _tickets.Ticket) -> _messages.Arrival:
    if _is_expired(owner, decoded):
        # Its record may have been dropped, so whether it ran is unknown.
        owner.counts.expired += 1
        return _unknown(outcomes.Reason.TICKET_EXPIRED)
    _records.add_record(owner.records, decoded.serial, decoded.expiry)
    owner.counts.ran += 1
    return _messages.Run()


def _accept_repeat(owner: Owner, record: _records.Record) -> _messages.Arrival:
    result = record.result
    if result is None:
        owner.counts.joined += 1
        return _messages.Join()
    if isinstance(result, _messages.NotRun):
        # A late copy of a refused request must not run, because its caller
        # was told that it was not run.
        return _not_run(outcomes.Reason.TICKET_VOID)
    if isinstance(result, _messages.Unknown):
        return _unknown(result.reason)
    owner.counts.replayed += 1
    return _messages.Replay(result)


def _reject_wrong_class(
    owner: Owner, decoded: _tickets.Ticket, record: _records.Record | None
) -> _messages.Refused:
    # The ticket is for another class. "Not run" is correct only if the
    # ticket is voided in the same step; otherwise another copy might run.
    owner.counts.invalid += 1
    reason = outcomes.Reason.TICKET_INVALID
    if record is None and not _is_expired(owner, decoded):
        record = _records.add_record(
            owner.records, decoded.serial, decoded.expiry
        )
        result = _messages.NotRun(reason)
        _records.store_result(owner.records, decoded.serial, record, result)
    if record is not None and isinstance(record.result, _messages.NotRun):
        return _not_run(reason)
    return _unknown(reason)


def _correct_result(
    owner: Owner, record: _records.Record, result: _messages.Result
) -> _messages.Result:
    if not record.dispatched or not isinstance(result, _messages.NotRun):
        return result
    if result.reason in _TRUSTED_NOT_RUN_REASONS:
        return result
    owner.counts.not_run_disbelieved += 1
    return _messages.Unknown(result.reason)


def _result_to_report(
    kept: _messages.Result | _messages.Summary, late: _messages.Result
) -> _messages.Result:
    if isinstance(kept, _messages.Summary):
        return late
    return kept


def _not_run(reason: outcomes.Reason) -> _messages.Refused:
    return _messages.Refused(outcomes.Outcome.NOT_RUN, reason)


def _unknown(reason: outcomes.Reason) -> _messages.Refused:
    return _messages.Refused(outcomes.Outcome.UNKNOWN, reason)
