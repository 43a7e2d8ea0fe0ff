"""Tests of who reads on and who is given up when memory is scarce."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import memory

LIMIT = 60_000_000
MB = 1_000_000
NOW = 100.0
STATED, UNSTATED, UNREAD = memory.Kind


def _account(**parts: memory.Part) -> memory.Account[str]:
    account: memory.Account[str] = memory.new_account(LIMIT)
    for name, part in parts.items():
        memory.hold(account, name, part)
    memory.arrange(account)
    return account


def _stated(size: int, length: int) -> memory.Part:
    return memory.Part(STATED, size * MB, (length - size) * MB)


def _unstated(size: int) -> memory.Part:
    return memory.Part(UNSTATED, size * MB, size * MB)


def _unread(size: int, seconds: float) -> memory.Part:
    return memory.Part(UNREAD, size * MB, taken_at=NOW - seconds)


@pytest.mark.parametrize(
    ("parts", "waiting"),
    [
        pytest.param({"a": _unstated(20), "b": _unstated(9)}, "", id="room"),
        pytest.param(
            {"a": _unstated(25), "b": _unstated(20)}, "a", id="the greatest"
        ),
        pytest.param(
            {"a": _unstated(35), "b": _stated(5, 16)}, "a", id="not stated"
        ),
        pytest.param(
            {"a": _stated(1, 60), "b": _stated(35, 40)}, "a", id="long rest"
        ),
        pytest.param({"a": _unstated(50)}, "", id="the only one"),
        pytest.param(
            {"a": _unstated(20), "b": _unread(30, 0.1)},
            "a",
            id="behind unread",
        ),
        pytest.param(
            {"a": memory.Part(UNSTATED, 1000, 1000), "b": _unread(60, 0.1)},
            "",
            id="small",
        ),
    ],
)
def test_responses_that_fit_go_on_the_soonest_whole_first(
    parts: dict[str, memory.Part], waiting: str
) -> None:
    """The oldest read on before, and a body without end kept others back."""
    account = _account(**parts)
    waits = [name for name, part in account.parts.items() if part.waits]
    assert "".join(waits) == waiting


@pytest.mark.parametrize(
    ("parts", "victim"),
    [
        pytest.param({"a": _unstated(59)}, None, id="fits"),
        pytest.param({"a": _unstated(61)}, "a", id="the only one"),
        pytest.param(
            {"a": _unstated(20), "b": _stated(45, 50)}, "a", id="not stated"
        ),
        pytest.param(
            {"a": _unstated(30), "b": _unstated(40)}, "b", id="the greatest"
        ),
        pytest.param(
            {"a": _unstated(20), "b": _unread(45, 2.0)}, "b", id="not read"
        ),
        pytest.param(
            {"a": _unstated(45), "b": _unread(20, 2.0)}, "a", id="holds more"
        ),
        pytest.param(
            {"a": _unstated(20), "b": _unread(45, 0.5)}, "a", id="is read"
        ),
        pytest.param(
            {"a": _unread(20, 3.0), "b": _unread(45, 2.0)},
            "a",
            id="unread for longest",
        ),
        pytest.param(
            {"a": _stated(40, 50), "b": _stated(30, 31)}, "a", id="all stated"
        ),
        pytest.param(
            {"a": _stated(10, 45), "b": _unread(32, 2.0)},
            "b",
            id="makes room",
        ),
        pytest.param(
            {"a": _stated(10, 45), "b": _unread(32, 0.5)},
            None,
            id="waits for a reader",
        ),
        pytest.param(
            {"a": _stated(10, 15), "b": _unread(32, 2.0)},
            None,
            id="room beside unread",
        ),
    ],
)
def test_least_likely_sound_one_is_given_up(
    parts: dict[str, memory.Part], victim: str | None
) -> None:
    """A response without an end must cost no other."""
    assert memory.victim(_account(**parts), NOW) == victim


_PARTS = strategies.builds(
    memory.Part,
    strategies.sampled_from(memory.Kind),
    strategies.integers(1, LIMIT),
    strategies.integers(0, LIMIT),
    strategies.floats(NOW - 5.0, NOW),
)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcdef"), strategies.none() | _PARTS
    ),
    max_size=40,
)


@hypothesis.given(_STEPS)
def test_account_stays_within_its_limit_and_somebody_reads_on(
    steps: list[tuple[str, memory.Part | None]],
) -> None:
    """What is held is the sum of the parts, whatever comes and goes."""
    account: memory.Account[str] = memory.new_account(LIMIT)
    for name, part in steps:
        if part is None:
            memory.release(account, name)
        else:
            memory.hold(account, name, part)
        while (victim := memory.victim(account, NOW)) is not None:
            is_stated = account.parts[victim].kind is STATED
            kinds = {each.kind for each in account.parts.values()}
            assert not (is_stated and UNSTATED in kinds)
            memory.release(account, victim)
        memory.arrange(account)
        parts = account.parts.values()
        assert account.held_bytes == sum(each.size for each in parts)
        assert account.held_bytes <= LIMIT
        assert sum(memory.held_by_kind(account).values()) == account.held_bytes
        unread = any(each.kind is UNREAD for each in parts)
        going = any(
            not each.waits for each in parts if each.kind is not UNREAD
        )
        assert going or unread or not parts
