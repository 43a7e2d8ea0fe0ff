from __future__ import annotations

import random

import pytest

from sassafrasstair import bundles
from sassafrasstair.decisions import calls
from sassafrasstair import outcomes

BUNDLE = bundles.Bundle(
    format=1,
    mesh="m",
    version=1,
    supersedes=0,
    failure_domains={"pos-a": "tt-north"},
    services={"pricer": bundles.Service(slots=1, connections=1)},
    classes={
        "lookup": bundles.RequestClass(
            service="pricer", importance=9, deadline_ms=1_000, retries=1
        )
    },
    tenants={},
)
TARGETS = [
    calls.Target(vm, "pricer", "pos-a", "tt-north") for vm in ("a", "b")
]


@pytest.mark.parametrize(
    ("first", "expected"), [("unknown", "unknown"), ("not run", "not run")]
)
def test_a_lost_attempt_leaves_the_call_unknown(
    first: str, expected: str
) -> None:
    """The outcome of the last attempt must not hide that an earlier one ran.

    The first attempt is lost after it ran. The entrance retries at another
    instance, which can't be reached and so did not run it. The caller must
    not be told that the request was not run.
    """
    rng = random.Random(1)
    entrance = calls.new_entrance("i", "pos-a", "tt-north")
    call = calls.Call("1", "pricer", "lookup", "t", "c", 9.0, retries=1)
    key, effect = calls.begin_call(entrance, BUNDLE, call, TARGETS, 0.0, rng)
    ends = [
        calls.Answer(outcomes.Outcome(first), outcomes.Reason.PEER_LOST),
        calls.Answer(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.PEER_UNREACHABLE
        ),
    ]
    for end in ends:
        assert isinstance(effect, calls.Send)
        now_effect = calls.apply_answer(
            entrance, BUNDLE, key, effect.attempt_id, end, TARGETS, 1.0, rng
        )
        assert now_effect is not None
        effect = now_effect
    assert isinstance(effect, calls.Refuse)
    assert effect.outcome.value == expected
