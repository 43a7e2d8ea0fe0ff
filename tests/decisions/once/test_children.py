from __future__ import annotations

from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from tests.decisions.once import test_owners

GONE = outcomes.Reason.PARENT_GONE


def test_a_repeated_child_call_carries_the_same_ticket() -> None:
    """The poster's call to the ledger times out and it calls again.

    With a fresh ticket the ledger would post the write-down twice.
    """
    owner = test_owners.make_owner()
    parent = test_owners.take(owner)
    test_owners.use(owner, parent)
    assert once.find_child(owner, parent, "ledger", "1") is None
    assert once.adopt_child(owner, parent, "ledger", "1", "c1") == "c1"
    assert once.adopt_child(owner, parent, "ledger", "1", "c2") == "c1"
    assert once.find_child(owner, parent, "ledger", "1") == "c1"
    assert once.find_child(owner, parent, "ledger", "2") is None


def test_an_ended_parent_gets_no_new_child() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.take(owner)
    test_owners.use(owner, parent)
    once.adopt_child(owner, parent, "ledger", "1", "c1")
    once.finish_execution(owner, parent, test_owners.LOST, 1.0)
    assert once.find_child(owner, parent, "ledger", "1") == "c1"
    refused = once.Refused(outcomes.Outcome.NOT_RUN, GONE)
    assert once.adopt_child(owner, parent, "ledger", "2", "c2") == refused


def test_a_parent_without_record_leaves_the_child_unknown() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.take(owner)
    refused = once.Refused(outcomes.Outcome.UNKNOWN, GONE)
    assert once.find_child(owner, parent, "ledger", "1") == refused


def test_children_of_one_execution_are_bounded() -> None:
    owner = test_owners.make_owner()
    parent = test_owners.take(owner)
    test_owners.use(owner, parent)
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
