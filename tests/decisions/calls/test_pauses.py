"""Detection of pauses of the own process."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import calls


@pytest.mark.parametrize(
    ("heartbeats", "waited", "expected"),
    [
        (0, 0.001, True),
        (0, 0.05, True),
        (0, 0.45, False),
        (1, 1.0, False),
        (3, 0.5, False),
        (4, 0.5, True),
        (9, 0.5, True),
    ],
)
def test_wait_counts_only_if_the_process_ran(
    heartbeats: int, waited: float, expected: bool
) -> None:
    """A stalled process mistook its own delay for that of a peer."""
    assert calls.ran_enough(heartbeats, waited) is expected
