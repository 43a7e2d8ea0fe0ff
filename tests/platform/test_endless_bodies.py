"""Bodies without end, from several instances at the pace of a network."""

from __future__ import annotations

import typing

import pytest

from tests.platform import faulty

if typing.TYPE_CHECKING:
    import pathlib

SECONDS = 10.0
MB = 1_000_000
FAILURES = frozenset({502, 503, 504})


def _load(kind: str, per_second: float, body: int = 0) -> faulty.Load:
    route = "order" if body else "faulty"
    return faulty.Load(f"/{route}/{kind}", 1.0 / per_second, body)


@pytest.mark.parametrize(
    ("load", "bytes_per_s"),
    [
        pytest.param(_load("body_in_chunks", 30), 20 * MB, id="chunks"),
        pytest.param(_load("body_until_the_end", 30), 20 * MB, id="no length"),
        pytest.param(
            _load("body_of_great_length", 30), 20 * MB, id="great length"
        ),
        pytest.param(_load("body_until_the_end", 4), 20 * MB, id="few"),
        pytest.param(_load("body_in_chunks", 30), 2 * MB, id="slow"),
        pytest.param(_load("body_in_chunks", 10), 5 * MB, id="ten"),
        pytest.param(_load("body_in_chunks", 10), 0, id="fast"),
        pytest.param(
            _load("body_of_great_length", 10, 4 * MB), 20 * MB, id="uploads"
        ),
    ],
)
def test_bodies_without_end_leave_memory_for_sound_requests(
    tmp_path: pathlib.Path, load: faulty.Load, bytes_per_s: int
) -> None:
    """Parts of responses that had ended stayed, and daemons ran out of it."""

    async def play(trial: faulty.Trial) -> None:
        await trial.play(load, SECONDS)
        print(trial.report())

    trial = faulty.run(tmp_path, play, bytes_per_s)
    assert not trial.faults
    assert set(trial.statuses) <= FAILURES


def test_body_without_end_is_freed_when_its_caller_leaves(
    tmp_path: pathlib.Path,
) -> None:
    """What had come of it stayed until the collector ran."""
    load = faulty.Load("/faulty/body_until_the_end", 0.1, patience=2.0)

    async def play(trial: faulty.Trial) -> None:
        await trial.play(load, SECONDS)
        print(trial.report())

    assert not faulty.run(tmp_path, play, 20 * MB).faults
