from __future__ import annotations

from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from tests.decisions.once import test_owners

GONE = outcomes.Reason.PARENT_GONE


def test_a_repeated_child_call_carries_the_same_ticket() -> None:
    """Guards against a child call that runs twice.

    The parent's call times out and is repeated. With a new ticket the child
    service would execute it again.
    """
    owner = test_owners.make_owner()
    parent = test_owners.issue_ticket(owner)
    test_owners.arrive(owner, parent)
    assert once.find_child(owner, parent, "ledger", "1") is None
    assert once.adopt_child(owner, parent, "ledger", "1", "c1") == "c1"
    assert once.adopt_child(owner, parent, "ledger", "1", "c2") == "c1"
    assert once.find_child(owner, parent, "ledger", "1") == "c1"
    assert once.find_child(owner, parent, "ledger", "2") is None


def test_an_ended_parent_gets_no_new_child() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.issue_ticket(owner)
    test_owners.arrive(owner, parent)
    once.adopt_child(owner, parent, "ledger", "1", "c1")
    once.finish_execution(owner, parent, test_owners.UPSTREAM_LOST, 1.0)
    assert once.find_child(owner, parent, "ledger", "1") == "c1"
    refused = once.Refused(outcomes.Outcome.NOT_RUN, GONE)
    assert once.adopt_child(owner, parent, "ledger", "2", "c2") == refused


def test_a_parent_without_record_leaves_the_child_unknown() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.issue_ticket(owner)
    refused = once.Refused(outcomes.Outcome.UNKNOWN, GONE)
    assert once.find_child(owner, parent, "ledger", "1") == refused


def test_children_of_one_execution_are_bounded() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.issue_ticket(owner)
    test_owners.arrive(owner, parent)
    adopted = [
        once.adopt_child(owner, parent, "ledger", str(key), "c")
        for key in range(17)
    ]
    assert adopted[-2:] == [
        "c",
        once.Refused(outcomes.Outcome.NOT_RUN, outcomes.Reason.TICKETS_FULL),
    ]
    assert isinstance(
        once.find_child(owner, parent, "ledger", "k" * 129), once.Refused
    )
