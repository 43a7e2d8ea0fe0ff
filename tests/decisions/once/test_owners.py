from __future__ import annotations

import pytest

from sassafrasstair.decisions import once
from sassafrasstair import outcomes

DONE = once.Done(200, ((b"a", b"b"),), b"posted")
UPSTREAM_LOST = once.Unknown(outcomes.Reason.UPSTREAM_LOST)
QUEUE_FULL = once.NotRun(outcomes.Reason.QUEUE_FULL)
NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
Reason = outcomes.Reason


def make_owner(
    incarnation: str = "i1", records: int = 10, stored: int = 100_000
) -> once.Owner:
    return once.new_owner("vm-1", incarnation, b"s" * 16, records, stored)


def issue_ticket(
    owner: once.Owner, now: float = 0.0, lifetime: float = 60.0
) -> str:
    issued = once.issue_ticket(owner, "poster", "write-down", lifetime, now)
    assert isinstance(issued, once.Issued)
    return issued.ticket


def arrive(owner: once.Owner, ticket: str, now: float = 1.0) -> once.Arrival:
    return once.accept_arrival(owner, ticket, "write-down", now)


@pytest.mark.parametrize(
    ("end", "again"),
    [
        (None, once.Join()),
        (DONE, once.Replay(DONE)),
        (UPSTREAM_LOST, once.Refused(UNKNOWN, Reason.UPSTREAM_LOST)),
        (QUEUE_FULL, once.Refused(NOT_RUN, Reason.TICKET_VOID)),
    ],
)
def test_only_the_first_arrival_runs(
    end: once.Result | None, again: once.Arrival
) -> None:
    """Guards against a second execution of one ticket.

    A repeat arrives while the first request is executed or after that. It
    must get the same result and never run; after "not run" a delayed copy
    must not run either.
    """
    owner = make_owner()
    ticket = issue_ticket(owner)
    assert arrive(owner, ticket) == once.Run()
    if end is not None:
        assert once.finish_execution(owner, ticket, end, 2.0) == end
    assert arrive(owner, ticket, 3.0) == again
    assert arrive(owner, ticket, 4.0) == again


def test_a_restarted_owner_runs_nothing_of_its_predecessor() -> None:
    """Guards against a second execution after the owner restarted.

    The first attempt ran, the daemon lost its records, and the repeat reaches
    the new incarnation. It cannot tell whether the ticket ran, so it
    must answer unknown.
    """
    ticket = issue_ticket(make_owner("i1"))
    answer = arrive(make_owner("i2"), ticket)
    assert answer == once.Refused(UNKNOWN, Reason.OWNER_GONE)


@pytest.mark.parametrize(
    "forged",
    [
        "",
        "no ticket",
        "vm-1~i1~1~60000~poster~write-down~" + "0" * 32,
        "vm-1~i1~\u00b2~60000~poster~write-down~" + "0" * 32,
        "vm-1~i1~1~" + "9" * 30 + "~poster~write-down~0",
        "~" * 600,
    ],
)
def test_a_ticket_that_was_not_issued_is_not_run(forged: str) -> None:
    owner = make_owner()
    answer = arrive(owner, forged)
    assert answer == once.Refused(NOT_RUN, Reason.TICKET_INVALID)


def test_a_ticket_cannot_be_stretched() -> None:
    owner = make_owner()
    ticket = issue_ticket(owner)
    stretched = ticket.replace("~60000~", "~90000~")
    assert stretched != ticket
    answer = arrive(owner, stretched)
    assert answer == once.Refused(NOT_RUN, Reason.TICKET_INVALID)


def test_parse_names_the_owner() -> None:
    name = once.parse_ticket(issue_ticket(make_owner()))
    assert name == once.TicketTarget("vm-1", "i1", "poster", "write-down")
    assert once.parse_ticket("vm-1~i1") is None


def test_a_handler_that_wakes_late_does_not_run_an_expired_ticket() -> None:
    """Guards against a second execution with an outdated instant.

    The process pauses after the handler of a repeat has read the clock. The
    ticket then expires and its record is dropped. At the old instant the
    ticket looks valid and unused, and would run twice.
    """
    owner = make_owner()
    ticket = issue_ticket(owner)
    assert arrive(owner, ticket, 1.0) == once.Run()
    once.finish_execution(owner, ticket, DONE, 2.0)
    once.expire(owner, 61.0)
    answer = arrive(owner, ticket, 59.0)
    assert answer == once.Refused(UNKNOWN, Reason.TICKET_EXPIRED)


def test_an_execution_longer_than_its_ticket_keeps_its_record() -> None:
    owner = make_owner(records=1)
    ticket = issue_ticket(owner)
    arrive(owner, ticket)
    once.expire(owner, 100.0)
    assert arrive(owner, ticket, 100.0) == once.Join()
    full = once.issue_ticket(owner, "poster", "write-down", 60.0, 100.0)
    assert full == once.Refused(NOT_RUN, Reason.TICKETS_FULL)
    assert once.finish_execution(owner, ticket, DONE, 101.0) == DONE
    answer = arrive(owner, ticket, 102.0)
    assert answer == once.Refused(UNKNOWN, Reason.TICKET_EXPIRED)
    issue_ticket(owner, 102.0)


def test_issue_stops_at_the_bound_and_frees_with_expiry() -> None:
    owner = make_owner(records=3)
    tickets = [issue_ticket(owner) for _ in range(3)]
    full = once.issue_ticket(owner, "poster", "write-down", 60.0, 1.0)
    assert full == once.Refused(NOT_RUN, Reason.TICKETS_FULL)
    for ticket in tickets:
        arrive(owner, ticket)
        once.finish_execution(owner, ticket, DONE, 2.0)
    assert len(owner.records.by_serial) == 3
    issue_ticket(owner, 61.0)
    assert not owner.records.by_serial
    assert owner.records.stored_bytes == 0


@pytest.mark.parametrize(
    ("reason", "told"),
    [
        (Reason.UPSTREAM_REFUSED, NOT_RUN),
        (Reason.UPSTREAM_UNREACHABLE, NOT_RUN),
        (Reason.CANCELLED, UNKNOWN),
        (Reason.DEADLINE_PASSED, UNKNOWN),
    ],
)
def test_not_run_after_dispatch_is_the_upstreams_word(
    reason: outcomes.Reason, told: outcomes.Outcome
) -> None:
    """Guards against "not run" for a request that may have run.

    A request is cancelled after dispatch because its caller went away. The
    upstream has the bytes and has not confirmed the cancellation. After "not
    run" the caller would send the request again.
    """
    owner = make_owner()
    ticket = issue_ticket(owner)
    arrive(owner, ticket)
    assert once.dispatched(owner, ticket, 1.0)
    once.finish_execution(owner, ticket, once.NotRun(reason), 2.0)
    answer = arrive(owner, ticket, 3.0)
    assert isinstance(answer, once.Refused)
    assert answer.outcome is told


def test_what_was_voided_or_sent_is_not_sent() -> None:
    """Guards against sending a cancelled request, or one request twice.

    A request is cancelled in the queue and its caller is told "not run". The
    effect that starts it may already be under way when the process pauses.
    """
    owner = make_owner()
    voided, sent = issue_ticket(owner), issue_ticket(owner)
    arrive(owner, voided)
    once.finish_execution(owner, voided, once.NotRun(Reason.CANCELLED), 1.0)
    assert not once.dispatched(owner, voided, 2.0)
    arrive(owner, sent)
    assert once.dispatched(owner, sent, 2.0)
    assert not once.dispatched(owner, sent, 2.0)
    assert not once.dispatched(owner, issue_ticket(owner), 2.0)


def test_the_first_end_counts() -> None:
    owner = make_owner()
    ticket = issue_ticket(owner)
    arrive(owner, ticket)
    once.finish_execution(owner, ticket, UPSTREAM_LOST, 2.0)
    assert once.finish_execution(owner, ticket, DONE, 3.0) == UPSTREAM_LOST
    assert once.finish_execution(owner, "none", DONE, 3.0) != DONE


@pytest.mark.parametrize("stored", [100_000, 10])
def test_a_large_answer_is_kept_as_its_digest(stored: int) -> None:
    owner = make_owner(stored=stored)
    ticket = issue_ticket(owner)
    arrive(owner, ticket)
    body = b"x" * (20_000 if stored > 10 else 20)
    assert once.finish_execution(owner, ticket, once.Done(201, (), body), 2.0)
    answer = arrive(owner, ticket, 3.0)
    assert isinstance(answer, once.Replay)
    assert isinstance(answer.result, once.Summary)
    assert (answer.result.status, answer.result.length) == (201, len(body))
    assert answer.result.reason is Reason.ANSWER_NOT_KEPT


@pytest.mark.parametrize(
    ("before", "told"),
    [(None, NOT_RUN), (DONE, UNKNOWN), (QUEUE_FULL, NOT_RUN)],
)
def test_a_ticket_of_another_class_is_settled_without_running(
    before: once.Result | None, told: outcomes.Outcome
) -> None:
    owner = make_owner()
    ticket = issue_ticket(owner)
    if before is not None:
        arrive(owner, ticket)
        once.finish_execution(owner, ticket, before, 1.0)
    answer = once.accept_arrival(owner, ticket, "upload", 2.0)
    assert answer == once.Refused(told, Reason.TICKET_INVALID)
    if told is NOT_RUN:
        late = arrive(owner, ticket, 3.0)
        assert late == once.Refused(NOT_RUN, Reason.TICKET_VOID)


def test_a_leaving_owner_issues_nothing() -> None:
    owner = make_owner()
    once.stop_issuing(owner)
    answer = once.issue_ticket(owner, "poster", "write-down", 60.0, 0.0)
    assert answer == once.Refused(NOT_RUN, Reason.LEAVING)


@pytest.mark.parametrize(
    ("vm", "secret"), [("a~b", b"s" * 16), ("", b"s" * 16), ("a", b"s")]
)
def test_new_owner_refuses_what_would_break_tickets(
    vm: str, secret: bytes
) -> None:
    with pytest.raises(ValueError, match=r"'~'|bytes"):
        once.new_owner(vm, "i1", secret, 10)


@pytest.mark.parametrize(("repeat", "told"), [(0, NOT_RUN), (1, UNKNOWN)])
def test_an_entrance_says_not_run_of_a_first_use_alone(
    repeat: int, told: outcomes.Outcome
) -> None:
    """Guards against "not run" for a ticket that runs afterwards.

    A caller repeats through a second entrance, which cannot reach the owner.
    The first attempt, through another entrance, is still on its way to the
    owner and runs after the refusal by the second entrance.
    """
    refused = once.entrance_refusal(repeat, Reason.PEER_UNREACHABLE)
    assert refused == once.Refused(told, Reason.PEER_UNREACHABLE)


def test_a_record_stays_until_its_ticket_expires() -> None:
    """Guards against a record that is dropped before its ticket expires.

    Expiry is counted in whole seconds. If it were rounded down, a repeat in
    the last half second of the ticket would run again.
    """
    owner = make_owner()
    ticket = issue_ticket(owner, lifetime=60.5)
    arrive(owner, ticket)
    once.finish_execution(owner, ticket, DONE, 2.0)
    once.expire(owner, 60.2)
    assert arrive(owner, ticket, 60.3) == once.Replay(DONE)


@pytest.mark.parametrize("before", [None, DONE])
def test_refuse_voids_what_never_ran_and_keeps_what_did(
    before: once.Result | None,
) -> None:
    owner = make_owner()
    ticket = issue_ticket(owner)
    expected: once.Arrival = once.Refused(NOT_RUN, Reason.BODY_MEMORY)
    later: once.Arrival = once.Refused(NOT_RUN, Reason.TICKET_VOID)
    if before is not None:
        arrive(owner, ticket)
        once.finish_execution(owner, ticket, before, 1.0)
        expected = later = once.Replay(DONE)
    answer = once.refuse_arrival(
        owner, ticket, "write-down", Reason.BODY_MEMORY, 1.0
    )
    assert answer == expected
    assert arrive(owner, ticket) == later
