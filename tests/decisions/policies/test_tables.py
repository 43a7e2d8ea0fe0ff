"""Tests of route lookup and of the choice of a service."""

from __future__ import annotations

import random
import typing

import pytest

from sassafrasstair.decisions import policies


def _route(name: str, host: str, prefix: str) -> policies.Route:
    share = policies.Share("s", 1.0)
    return policies.Route(name, host, prefix, True, 1.0, 1.0, 5, 2, (share,))


LIMITS = policies.ClientLimits(1000, 1000, 1.0, 1.0)
TABLE = policies.new_table(
    policies.Policy(
        1,
        (
            _route("short", "a.example", "/x/"),
            _route("long", "a.example", "/x/y/"),
            _route("other", "b.example", "/x/y/z/"),
            _route("root", "c.example", "/"),
        ),
        LIMITS,
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/", "short"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y/z/w", "long"),
        ("A.Example:80", "/x/1", "short"),
        ("a.example", "/xy/", None),
        ("a.example", "/", None),
        ("b.example", "/x/", None),
        ("c.example", "/anything", "root"),
        ("d.example", "/x/", None),
        ("a.example", "", None),
    ],
)
def test_longest_prefix_of_the_host_wins(
    host: str, path: str, name: str | None
) -> None:
    route = policies.match_route(TABLE, host, path)
    assert (None if route is None else route.name) == name


def test_services_are_chosen_by_weight() -> None:
    shares = (policies.Share("a", 90.0), policies.Share("b", 10.0))
    route = policies.Route("r", "h", "/", True, 1.0, 1.0, 5, 2, shares)
    rng = random.Random(1)
    drawn = [policies.choose_service(route, rng) for _ in range(4000)]
    assert drawn.count("b") / len(drawn) == pytest.approx(0.1, abs=0.02)


def test_many_routes_cost_no_more_lookups() -> None:
    """A policy with hundreds of routes made each request slower.

    The number of lookups depends only on the slashes in the path, so it is
    the same for one route as for a thousand.
    """

    class Counting(dict[str, policies.Route]):
        asked = 0

        def get(self, key: str, default: typing.Any = None) -> typing.Any:
            Counting.asked += 1
            return super().get(key, default)

    routes = tuple(_route(f"r{i}", "h", f"/{i}/") for i in range(1000))
    table = policies.new_table(policies.Policy(1, routes, LIMITS))
    table.routes_by_host["h"] = Counting(table.routes_by_host["h"])
    found = policies.match_route(table, "h", "/999/a/b")
    assert found is not None
    assert Counting.asked <= 4
