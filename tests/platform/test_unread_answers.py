"""Large answers that clients ask for and do not read."""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.platform import faulty

if typing.TYPE_CHECKING:
    import pathlib

SECONDS = 10.0
READ_GAP_SECONDS = 1.0
_NOTHING = faulty.Load(("/sound/x",), 1.0)


@pytest.mark.parametrize(
    ("ahead", "per_second"),
    [pytest.param(1, 4.0, id="one"), pytest.param(2, 3.0, id="ahead")],
)
def test_unread_answers_leave_memory_for_others(
    tmp_path: pathlib.Path, ahead: int, per_second: float
) -> None:
    """They were in no account, and a daemon held all of them."""

    async def play(trial: faulty.Trial) -> None:
        await asyncio.gather(
            trial.play(_NOTHING, SECONDS),
            trial.leave_unread(ahead, 1.0 / per_second, SECONDS),
            trial.read_large(READ_GAP_SECONDS, SECONDS),
        )
        trial.check_memory()
        print(trial.report())

    assert not faulty.run(tmp_path, play, 0.0).faults
