"""Bodies without end, from several instances at the pace of a network."""

from __future__ import annotations

import typing

import pytest

from tests.platform import endless
from tests.platform import faulty

if typing.TYPE_CHECKING:
    import pathlib

SECONDS = 10.0
MB = 1_000_000
FAILURES = frozenset({502, 503, 504})


def _load(per_second: float, *kinds: str, body: int = 0) -> faulty.Load:
    route = "order" if body else "faulty"
    paths = tuple(f"/{route}/{kind}" for kind in kinds)
    return faulty.Load(paths, 1.0 / per_second, body)


@pytest.mark.parametrize(
    ("load", "bytes_per_s"),
    [
        pytest.param(_load(30, "body_in_chunks"), 20 * MB, id="chunks"),
        pytest.param(_load(30, "body_until_the_end"), 20 * MB, id="no length"),
        pytest.param(
            _load(30, "body_of_great_length"), 20 * MB, id="great length"
        ),
        pytest.param(_load(4, "body_until_the_end"), 20 * MB, id="few"),
        pytest.param(_load(30, "body_in_chunks"), 2 * MB, id="slow"),
        pytest.param(_load(10, "body_in_chunks"), 5 * MB, id="ten"),
        pytest.param(_load(10, "body_in_chunks"), 0, id="fast"),
        pytest.param(
            _load(10, "body_of_great_length", body=4 * MB),
            20 * MB,
            id="uploads",
        ),
        pytest.param(
            _load(10, "body_until_the_end", body=4 * MB),
            20 * MB,
            id="uploads without length",
        ),
        pytest.param(
            _load(30, endless.STATED_BODY), 20 * MB, id="stated length"
        ),
        pytest.param(
            _load(30, *sorted(endless.ANSWERS)), 20 * MB, id="by turns"
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
    load = faulty.Load(("/faulty/body_until_the_end",), 0.1, patience=2.0)

    async def play(trial: faulty.Trial) -> None:
        await trial.play(load, SECONDS)
        print(trial.report())

    assert not faulty.run(tmp_path, play, 20 * MB).faults
