"""A short soak of fixed seeds, and each seed that ever failed."""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.platform.soak import scenario

if typing.TYPE_CHECKING:
    import pathlib

SHORT_SECONDS = 6.0
SEEDS = (1, 2)
FAILED_ONCE: tuple[tuple[int, float, str], ...] = ()
"""Seeds that showed a fault: seed, seconds and the cause."""


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_breaks_no_promise(
    seed: int, tmp_path: pathlib.Path
) -> None:
    report = asyncio.run(scenario.run(seed, SHORT_SECONDS, tmp_path))
    assert report.broken == ()
    assert report.served > 0


@pytest.mark.parametrize(("seed", "seconds", "cause"), FAILED_ONCE)
def test_seed_that_failed_breaks_no_promise(
    seed: int, seconds: float, cause: str, tmp_path: pathlib.Path
) -> None:
    report = asyncio.run(scenario.run(seed, seconds, tmp_path))
    assert report.broken == (), cause
