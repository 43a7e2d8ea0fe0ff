from __future__ import annotations

import asyncio
import types
import typing

import pytest

from sassafrasstair import clocks
from sassafrasstair import daemons
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _transfers

Reason = outcomes.Reason
BODY_DIGEST = _attempts.new_digest(b"whole").digest()
LONG_BODY_DIGEST = _attempts.new_digest(b"wholerest").digest()


def answer(
    attempt_id: str, body: bytes, *, has_more_parts: bool = False
) -> daemons.RunAnswer:
    return daemons.RunAnswer(
        attempt_id=attempt_id,
        incarnation="2",
        outcome=outcomes.Outcome.DONE.value,
        reason=Reason.NONE.value,
        status=200,
        body=body,
        has_more_parts=has_more_parts,
        digest=BODY_DIGEST,
    )


@pytest.mark.parametrize(
    ("attempt_id", "body", "reason"),
    [
        ("1.1", b"whole", Reason.NONE),
        ("1.1", b"who", Reason.ANSWER_CUT_SHORT),
        ("9.1", b"whole", Reason.PEER_LOST),
    ],
)
def test_truncated_or_foreign_answer_is_rejected(
    attempt_id: str, body: bytes, reason: outcomes.Reason
) -> None:
    """A truncated answer or one to another attempt is not passed on.

    A body may be cut short between two daemons, or the answer to an earlier
    attempt may arrive in place of this one's.
    """
    transfer = _transfers.Transfer("1.1", "vm-2", 1_000)
    result, upstream_answer = _transfers._check_reply(
        transfer, answer(attempt_id, body)
    )
    assert result.reason is reason
    assert (upstream_answer is None) is (reason is not Reason.NONE)


@pytest.mark.parametrize(
    ("parts", "is_whole"),
    [
        ([daemons.AnswerPart(b"rest", True, LONG_BODY_DIGEST)], True),
        ([daemons.AnswerPart(b"re", True, LONG_BODY_DIGEST)], False),
        (
            [daemons.AnswerPart(b"re"), daemons.AnswerPart(b"", is_lost=True)],
            False,
        ),
        ([daemons.NoContent()], False),
    ],
)
def test_incomplete_long_answer_raises(
    parts: list[daemons.Message], is_whole: bool
) -> None:
    """A long answer that is damaged or cut short raises an error."""
    left = list(parts)

    async def exchange(
        vm: str, message: daemons.Message, _: float
    ) -> typing.Any:
        if isinstance(message, daemons.AnswerFetch):
            return left.pop(0)
        return daemons.NoContent()

    clock = clocks.SystemClock()
    entry = typing.cast("typing.Any", types.SimpleNamespace())
    entry.exchange, entry.clock = exchange, clock

    async def scenario() -> bytes:
        deadline = clock.monotonic() + 10.0
        begun = answer("1.1", b"whole", has_more_parts=True)
        rest = _transfers._answer_parts(entry, "vm-2", begun, deadline)
        return b"".join([part async for part in rest])

    if is_whole:
        assert asyncio.run(scenario()) == b"rest"
        return
    with pytest.raises(_transfers.AnswerBroken):
        asyncio.run(scenario())
