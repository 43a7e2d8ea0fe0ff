"""The repeats of all daemons together stay within the retry budget."""

from __future__ import annotations

import bisect
import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import requests

SERVICE = "s"
WINDOW = 10.0


def _hosts(count: int) -> list[str]:
    return [f"10.0.{number // 250}.{number % 250}" for number in range(count)]


def _windows(
    rules: requests.BudgetRules, known: dict[str, list[str]]
) -> dict[str, requests.Window]:
    return {
        own: requests.new_window(
            requests.slack_part(
                rules, SERVICE, [host for host in hosts if host != own], own
            )
        )
        for own, hosts in known.items()
    }


def _worst_excess(
    rules: requests.BudgetRules, sent: list[float], repeats: list[float]
) -> float:
    """Return the greatest number of repeats in a window beyond the budget.

    Requests are counted in the window itself, in the one before it, and in
    the one half a window earlier, and the greatest of these counts is used.
    """
    worst = -rules.slack
    for index, begin in enumerate(repeats):
        end = begin + WINDOW
        count = bisect.bisect_left(repeats, end) - index
        asked = max(
            bisect.bisect_left(sent, end - back)
            - bisect.bisect_left(sent, begin - back)
            for back in (0.0, WINDOW / 2, WINDOW)
        )
        worst = max(worst, count - rules.ratio * asked - rules.slack)
    return worst


@hypothesis.settings(max_examples=15, deadline=None)
@hypothesis.given(
    daemons=strategies.sampled_from([1, 5, 16, 65, 195]),
    slack=strategies.sampled_from([3.0, 20.0, 48.0, 213.0]),
    per_second=strategies.sampled_from([5, 100, 400]),
    failing=strategies.sampled_from([0.3, 1.0]),
    seed=strategies.integers(0, 1000),
)
def test_repeats_of_all_daemons_stay_within_the_budget(
    daemons: int, slack: float, per_second: int, failing: float, seed: int
) -> None:
    """Requests fail in bursts for half a minute while some daemons restart.

    Each daemon repeats what its own budget allows, and a restarted one has
    forgotten what it spent. In any window, all daemons together must stay
    within a part of the budget, which leaves room for the calls that
    repeated requests make.
    """
    rules = requests.BudgetRules(0.2, slack, WINDOW)
    rng = random.Random(seed)
    hosts = _hosts(daemons)
    windows = _windows(rules, dict.fromkeys(hosts, hosts))
    sent, repeats, restarts = [], [], 0
    for step in range(30 * per_second):
        now = 1000.3 + step / per_second
        own = rng.choice(hosts)
        if rng.random() < 0.2 / per_second:
            windows[own] = requests.new_window(windows[own].slack)
            restarts += 1
        requests.note_request(windows[own], now)
        sent.append(now)
        calm = step % (7 * per_second) < 2 * per_second
        if not calm and rng.random() < failing:
            if requests.allow_repeat(windows[own], rules, now):
                repeats.append(now)
    hypothesis.note(f"{len(repeats)} repeats, {restarts} restarts")
    margin = 0.5 * rules.slack
    assert _worst_excess(rules, sent, repeats) <= -margin + restarts


@pytest.mark.parametrize("daemons", [1, 16, 195, 1_333])
@pytest.mark.parametrize("slack", [0.0, 4.0, 48.0, 213.0])
def test_parts_of_the_slack_stay_within_the_share_of_a_hop(
    daemons: int, slack: float
) -> None:
    rules = requests.BudgetRules(0.2, slack, WINDOW)
    hosts = _hosts(daemons)
    windows = _windows(rules, dict.fromkeys(hosts, hosts))
    parts = sum(window.slack for window in windows.values())
    assert parts <= 0.2 * slack + 1e-9
    assert parts > 0.2 * slack - 1.0


def test_daemons_that_know_fewer_spend_no_more_than_they_know() -> None:
    """Two halves of the daemons are cut off from each other.

    Each half takes the daemons of the other for gone. The part of the slack
    for one hop is then spent at most twice, for which the budget leaves room.
    """
    rules = requests.BudgetRules(0.2, 213.0, WINDOW)
    hosts = _hosts(194)
    halves = hosts[:97], hosts[97:]
    known = {host: half for half in halves for host in half}
    windows = _windows(rules, known)
    assert sum(window.slack for window in windows.values()) <= 0.4 * 213.0


def test_repeat_of_a_second_partly_in_the_window_counts() -> None:
    """Two repeats 9.2 s apart fall into the same sliding window."""
    rules = requests.BudgetRules(0.2, 5.0, WINDOW)
    window = requests.new_window(1.0)
    assert requests.allow_repeat(window, rules, 1000.9)
    assert not requests.allow_repeat(window, rules, 1010.1)
    assert requests.allow_repeat(window, rules, 1011.0)
