"""All capacity figures of one run, as tables and as one JSON object."""

from __future__ import annotations

import dataclasses
import gc
import json
import time
import typing

from sassafrasstair.bench import _capacity_slopes
from sassafrasstair.bench import _capacity_spreads

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bench import _capacity_fleets

Figures = dict[str, float]
TARGET = 1_300
SIZES = (100, 400, TARGET)
OUTAGE_DAEMONS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """Figures that one run gave, and the seconds that it took."""

    name: str
    figures: Figures
    seconds: float


def sections(daemons: int = TARGET) -> abc.Iterator[Section]:
    """Run everything in turn, the largest fleet of ``daemons``."""
    # Millions of small objects live through each run: the cycle collector
    # would walk them again and again and finds nothing.
    gc.disable()
    try:
        for name, run in _slopes().items():
            yield _timed(name, run)
        yield from _fleet_sections(daemons)
    finally:
        gc.enable()


def rows(section: Section) -> list[str]:
    """Return the table of one section."""
    lines = [f"{section.name} ({section.seconds:.1f} s)"]
    lines += [
        f"  {name:44}{value:14,.3f}" for name, value in section.figures.items()
    ]
    return lines


def as_json(found: abc.Iterable[Section]) -> str:
    """Return all figures as one JSON object."""
    figures = {
        section.name: {
            name: round(value, 4) for name, value in section.figures.items()
        }
        for section in found
    }
    return json.dumps(figures)


def _slopes() -> dict[str, abc.Callable[[], Figures]]:
    return {
        "processor_time": _capacity_slopes.message_times,
        "wire_bytes": _capacity_slopes.message_bytes,
        "members_memory": _capacity_slopes.members_memory,
        "targets_memory": _capacity_slopes.targets_memory,
        "bundle_memory": _capacity_slopes.bundle_memory,
        "tickets_memory": _capacity_slopes.tickets_memory,
    }


def _fleet_sections(daemons: int) -> abc.Iterator[Section]:
    for size in SIZES:
        if size < daemons:
            made = _capacity_spreads.fleet_of(size)
            yield _timed(f"in_force_{size}", _on(made, "in_force"))
    made = _capacity_spreads.fleet_of(daemons)
    for name in (
        "steady",
        "in_force",
        "regions_apart",
        "rack_lost",
        "domain_lost",
    ):
        yield _timed(f"{name}_{daemons}", _on(made, name))
    del made
    smaller = min(daemons, OUTAGE_DAEMONS)
    yield _timed(
        f"platform_outage_{smaller}",
        lambda: _capacity_spreads.outage(smaller),
    )
    yield _timed(
        f"all_start_{daemons}", lambda: _capacity_spreads.all_start(daemons)
    )


def _on(made: _capacity_fleets.Fleet, name: str) -> abc.Callable[[], Figures]:
    run = getattr(_capacity_spreads, name)
    return lambda: run(made)


def _timed(name: str, run: abc.Callable[[], Figures]) -> Section:
    begun = time.perf_counter()
    figures = run()
    return Section(name, figures, time.perf_counter() - begun)
