from __future__ import annotations

import random

from sassafrasstair.decisions import calls
from sassafrasstair import outcomes
from tests.fuzz import worlds

LOST = calls.Answer(outcomes.Outcome.UNKNOWN, outcomes.Reason.PEER_LOST)
SHED = calls.Answer(outcomes.Outcome.NOT_RUN, outcomes.Reason.QUEUE_FULL)
DONE = calls.Answer(outcomes.Outcome.DONE, incarnation="2")


def test_late_and_doubled_answers_are_dropped() -> None:
    """A lookup is retried, and the first attempt's answer arrives late.

    If it were taken for the answer of the second attempt, the lookup would
    be refused although it is about to be answered, or the caller would get
    two answers.
    """
    entrance = calls.new_entrance("1", "a", "r")
    bundle = worlds.verify(worlds.envelope(1))
    rng = random.Random(1)
    targets = tuple(
        calls.Target(vm, "poster", vm[-1], "r")
        for vm in ("poster-a", "poster-b")
    )
    call = calls.Call("root", "poster", "lookup", "shop", "c", 9.0, retries=2)
    key, sent = calls.begin_call(entrance, bundle, call, targets, 0.0, rng)
    assert isinstance(sent, calls.Send)

    def answered(attempt_id: str, answer: calls.Answer) -> calls.Effect | None:
        return calls.apply_answer(
            entrance, bundle, key, attempt_id, answer, targets, 1.0, rng
        )

    again = answered(sent.attempt_id, LOST)
    assert isinstance(again, calls.Send)
    assert answered(sent.attempt_id, SHED) is None
    assert isinstance(answered(again.attempt_id, DONE), calls.Deliver)
    assert answered(again.attempt_id, DONE) is None
