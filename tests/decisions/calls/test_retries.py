from __future__ import annotations

import random

import msgspec
import pytest

from sassafrasstair import bundles
from sassafrasstair.decisions import calls
from sassafrasstair.decisions.calls import _retries
from sassafrasstair import outcomes
from tests.decisions.calls import samples

Outcome = outcomes.Outcome
Reason = outcomes.Reason
RNG = random.Random(1)


def _begin(
    rules: bundles.Bundle, taken: calls.Call, now: float = 0.0
) -> tuple[calls.Entrance, str, calls.Effect]:
    entrance = calls.new_entrance("me", "domain-a", "region")
    key, effect = calls.begin_call(
        entrance, rules, taken, samples.TARGETS, now, RNG
    )
    return entrance, key, effect


def _apply(
    entrance: calls.Entrance,
    rules: bundles.Bundle,
    key: str,
    sent: calls.Send,
    answer: calls.Answer,
) -> calls.Effect:
    effect = calls.apply_answer(
        entrance,
        rules,
        key,
        sent.attempt_id,
        answer,
        samples.TARGETS,
        0.1,
        RNG,
    )
    assert effect is not None
    return effect


@pytest.mark.parametrize(
    ("outcome", "reason", "once", "now", "retried"),
    [
        (Outcome.UNKNOWN, Reason.PEER_LOST, False, 0.1, True),
        (Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, False, 0.1, True),
        (Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, True, 0.1, True),
        (Outcome.UNKNOWN, Reason.PEER_LOST, True, 0.1, False),
        (Outcome.NOT_RUN, Reason.SHED_AT_CALLEE, False, 0.1, False),
        (Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, False, 0.1, False),
        (Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, False, 60.0, False),
    ],
)
def test_which_failures_are_retried(
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
    once: bool,
    now: float,
    retried: bool,
) -> None:
    rules = samples.bundle(once)
    entrance, key, sent = _begin(rules, samples.call())
    assert isinstance(sent, calls.Send)
    answer = calls.Answer(outcome, reason)
    effect = calls.apply_answer(
        entrance,
        rules,
        key,
        sent.attempt_id,
        answer,
        samples.TARGETS,
        now,
        RNG,
    )
    assert isinstance(effect, calls.Send if retried else calls.Refuse)
    if isinstance(effect, calls.Send):
        assert effect.target != sent.target
        assert effect.attempt_id != sent.attempt_id
    else:
        assert effect.outcome is outcome


@pytest.mark.parametrize(
    ("left", "leaf", "given"),
    [(0, False, 0), (1, False, 1), (2, False, 1), (3, False, 2), (3, True, 0)],
)
def test_retries_granted_to_an_attempt(
    left: int, leaf: bool, given: int
) -> None:
    assert _retries.retries_to_grant(left, leaf) == given


def test_chain_makes_no_more_than_its_allowance() -> None:
    """A lost attempt may have used its retries before it was lost.

    The entrance grants one of its two retries to the attempt, which is lost.
    If that retry did not count as spent, the chain could make three retries
    instead of two.
    """
    rules = samples.bundle()
    entrance, key, effect = _begin(rules, samples.call(retries=2))
    lost = calls.Answer(Outcome.UNKNOWN, Reason.PEER_LOST)
    sends = []
    while isinstance(effect, calls.Send):
        sends.append(effect)
        effect_or_none = calls.apply_answer(
            entrance,
            rules,
            key,
            effect.attempt_id,
            lost,
            samples.TARGETS,
            0.1,
            RNG,
        )
        assert effect_or_none is not None
        effect = effect_or_none
    own = len(sends) - 1
    assert own + sum(send.retries for send in sends) <= 2
    assert isinstance(effect, calls.Refuse)
    assert effect.retries_spent == 2


@pytest.mark.parametrize("retries", [0, 1, 2])
@pytest.mark.parametrize("burst", [1, 20])
def test_attempts_that_were_not_sent_spend_no_retry(
    retries: int, burst: int
) -> None:
    """Calls were refused after two of them, though instances were left."""
    budget = bundles.RetryBudget(burst=burst)
    rules = msgspec.structs.replace(samples.bundle(), retry_budget=budget)
    entrance, key, effect = _begin(rules, samples.call(retries=retries))
    unsent = calls.Answer(Outcome.NOT_RUN, Reason.PEER_UNREACHABLE)
    tried = []
    while isinstance(effect, calls.Send):
        tried.append(effect.target.vm)
        effect = _apply(entrance, rules, key, effect, unsent)
    assert sorted(tried) == ["vm-a", "vm-b", "vm-c"]
    assert isinstance(effect, calls.Refuse)
    assert effect.outcome is Outcome.NOT_RUN
    assert effect.reason is Reason.PEER_UNREACHABLE
    assert effect.retries_spent == 0
    assert entrance.budgets["intake"].tokens == burst


@pytest.mark.parametrize(
    ("retries", "attempts"), [(0, 2), (1, 3)], ids=["none", "one"]
)
def test_attempts_that_were_not_sent_allow_no_further_retry(
    retries: int, attempts: int
) -> None:
    """Lost attempts spend retries as ever, whatever was not sent between."""
    rules = samples.bundle()
    entrance, key, effect = _begin(rules, samples.call(retries=retries))
    unsent = calls.Answer(Outcome.NOT_RUN, Reason.PEER_UNREACHABLE)
    lost = calls.Answer(Outcome.UNKNOWN, Reason.PEER_LOST, incarnation="1")
    made = 0
    while isinstance(effect, calls.Send):
        answer = lost if made % 2 else unsent
        made += 1
        effect = _apply(entrance, rules, key, effect, answer)
    assert made == attempts
    assert isinstance(effect, calls.Refuse)
    assert effect.outcome is Outcome.UNKNOWN
    assert effect.retries_spent == retries


@pytest.mark.parametrize(
    "answer",
    [
        calls.Answer(Outcome.UNKNOWN, Reason.PEER_UNREACHABLE),
        calls.Answer(
            Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, incarnation="1"
        ),
        calls.Answer(Outcome.NOT_RUN, Reason.UPSTREAM_UNREACHABLE),
    ],
    ids=["unknown", "answered", "upstream"],
)
def test_attempts_that_were_sent_spend_a_retry(answer: calls.Answer) -> None:
    rules = samples.bundle()
    entrance, key, effect = _begin(rules, samples.call(retries=0))
    assert isinstance(effect, calls.Send)
    assert isinstance(
        _apply(entrance, rules, key, effect, answer), calls.Refuse
    )


def test_budget_is_a_share_of_successes() -> None:
    rules = bundles.RetryBudget(ratio=0.1, burst=2)
    budget = _retries.new_budget(rules)
    assert [_retries.spend(budget) for _ in range(3)] == [True, True, False]
    for _ in range(11):
        _retries.earn(budget, rules)
    assert [_retries.spend(budget) for _ in range(2)] == [True, False]


def test_retry_after_is_spread_and_grows() -> None:
    refusal = bundles.Refusal(
        retry_after_min_ms=1_000, retry_after_max_ms=4_000
    )
    rng = random.Random(1)
    drawn = {
        repeat: [
            _retries.retry_after(refusal, repeat, rng) for _ in range(200)
        ]
        for repeat in (0, 1, 9)
    }
    assert 1.0 <= min(drawn[0]) < 1.2 and 3.8 < max(drawn[0]) <= 4.0
    assert 2.0 <= min(drawn[1]) and max(drawn[1]) <= 8.0
    assert max(drawn[9]) <= 32.0


def test_callers_own_repeats_are_bounded() -> None:
    _, _, effect = _begin(samples.bundle(), samples.call(repeat=2))
    assert isinstance(effect, calls.Refuse)
    assert effect.reason is Reason.TOO_MANY_REPEATS
