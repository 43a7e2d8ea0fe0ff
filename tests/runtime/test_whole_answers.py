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
WHOLE = _attempts.new_digest(b"whole").digest()
ALL = _attempts.new_digest(b"wholerest").digest()


def answer(
    attempt_id: str, body: bytes, *, more: bool = False
) -> daemons.RunAnswer:
    return daemons.RunAnswer(
        attempt_id=attempt_id,
        incarnation="2",
        outcome=outcomes.Outcome.DONE.value,
        reason=Reason.NONE.value,
        status=200,
        body=body,
        more=more,
        digest=WHOLE,
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
    """A shopkeeper sees half a valuation, or another shop's.

    A body was cut on its way between two daemons, or the answer to an
    earlier attempt came where this one's was waited for.
    """
    transfer = _transfers.Transfer("1.1", "vm-2", 1_000)
    told, raw = _transfers._read(transfer, answer(attempt_id, body))
    assert told.reason is reason
    assert (raw is None) is (reason is not Reason.NONE)


@pytest.mark.parametrize(
    ("parts", "is_whole"),
    [
        ([daemons.AnswerPart(b"rest", True, ALL)], True),
        ([daemons.AnswerPart(b"re", True, ALL)], False),
        (
            [daemons.AnswerPart(b"re"), daemons.AnswerPart(b"", gone=True)],
            False,
        ),
        ([daemons.NoContent()], False),
    ],
)
def test_incomplete_long_answer_raises(
    parts: list[daemons.Message], is_whole: bool
) -> None:
    """A large survey photo arrives damaged and is taken for whole."""
    left = list(parts)

    async def ask(vm: str, message: daemons.Message, _: float) -> typing.Any:
        if isinstance(message, daemons.AnswerFetch):
            return left.pop(0)
        return daemons.NoContent()

    clock = clocks.SystemClock()
    entry = typing.cast("typing.Any", types.SimpleNamespace())
    entry.ask, entry.clock = ask, clock

    async def story() -> bytes:
        deadline = clock.monotonic() + 10.0
        begun = answer("1.1", b"whole", more=True)
        rest = _transfers._rest(entry, "vm-2", begun, deadline)
        return b"".join([part async for part in rest])

    if is_whole:
        assert asyncio.run(story()) == b"rest"
        return
    with pytest.raises(_transfers.AnswerBroken):
        asyncio.run(story())
