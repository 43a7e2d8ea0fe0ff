"""Service times of routes at instances, as their daemons report them.

They tell at which instances a request can be expected to meet its objective.
An instance that has reported none for the route, or none for a while, is
taken for a usual one until a request shows how fast it is.
"""

from __future__ import annotations

import dataclasses
import math
import statistics
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages
    from sassafrasstair.decisions.calls import _peers

# The 90th percentile of a service time in multiples of its mean, as of a
# lognormal distribution with a sigma of 0.8.
SLOW_REQUEST_FACTOR = 2.0
# A round trip to another failure domain of the region.
CROSSING_SECONDS = 0.003
# A reported time is used as it is for this long, and then decays to the
# median of the instances with this half-life. It spares instances that are
# known to be slow a stream of requests that test them.
VALID_SECONDS = 30.0
DECAY_HALF_LIFE = 2.0
# Routes kept for one instance; the one heard of least recently is dropped.
ROUTES_MAX = 64


class RouteTime(typing.NamedTuple):
    """The usual service time of a route, and when it was reported."""

    seconds: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class RouteSpeeds:
    """What a route's requests can expect at the instances of a service.

    ``completion`` is the time in seconds by VM within which nine of ten
    requests are answered that don't wait for a slot. ``slowest`` is the
    greatest of them, 0 if no instance has reported the route.
    ``all_reported`` is set if each instance has.
    """

    completion: dict[str, float]
    slowest: float
    all_reported: bool


def observe_route_seconds(
    routes: _peers.Routes, vm: str, route: str, seconds: float, now: float
) -> None:
    """Record the usual service time of ``route`` that ``vm`` has reported."""
    peer = routes.peers.get(vm)
    if peer is None or seconds <= 0.0:
        return
    peer.route_times.pop(route, None)
    peer.route_times[route] = RouteTime(seconds, now)
    if len(peer.route_times) > ROUTES_MAX:
        del peer.route_times[next(iter(peer.route_times))]


def of_route(
    routes: _peers.Routes,
    grouped: _peers.SortedTargets,
    route: str,
    now: float,
) -> RouteSpeeds:
    """Return the speeds of ``route``, kept for as long as ``grouped`` is."""
    speeds = grouped.speeds_by_route.get(route)
    if speeds is None:
        speeds = _new_speeds(routes, grouped.usable, route, now)
        grouped.speeds_by_route[route] = speeds
    return speeds


def _new_speeds(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    route: str,
    now: float,
) -> RouteSpeeds:
    reported = {
        target.vm: peer.route_times[route]
        for target in targets
        if (peer := routes.peers.get(target.vm)) is not None
        and route in peer.route_times
    }
    if not reported:
        return RouteSpeeds({}, 0.0, False)
    prior = _prior(list(reported.values()), now)
    completion = {}
    for target in targets:
        seconds = _expected(reported.get(target.vm), prior, now)
        completion[target.vm] = SLOW_REQUEST_FACTOR * seconds
        if target.failure_domain != routes.failure_domain:
            completion[target.vm] += CROSSING_SECONDS
    all_reported = len(reported) == len(targets)
    return RouteSpeeds(completion, max(completion.values()), all_reported)


def _prior(reported: abc.Sequence[RouteTime], now: float) -> float:
    """Return the time at a usual instance, from valid reports if any is."""
    valid = [each for each in reported if now - each.heard_at < VALID_SECONDS]
    return statistics.median(each.seconds for each in valid or reported)


def _expected(reported: RouteTime | None, prior: float, now: float) -> float:
    if reported is None:
        return prior
    stale_seconds = now - reported.heard_at - VALID_SECONDS
    if stale_seconds <= 0.0:
        return reported.seconds
    decay = math.exp2(-stale_seconds / DECAY_HALF_LIFE)
    return prior + decay * (reported.seconds - prior)
