"""Disruptions of a soak, and whether machines were in touch beside them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

STABLE_SECONDS = 3.0
"""A disruption counts for so long after its end."""
STORE = "store"
"""The host of disruptions of the store."""
LINK_WAIT_SECONDS = 0.5
"""A link is disrupted if what it carries waits longer."""


class Kind(enum.Enum):
    """What is disrupted."""

    PROCESS = "process"
    PLANNED = "start or planned stop"
    LINK = "link"
    LINK_WAIT = "what a link carries waits"
    INSTANCE = "instance"
    STORE = "store"


UNPLANNED = frozenset({Kind.PROCESS, Kind.LINK, Kind.INSTANCE})
OUT_OF_TOUCH = frozenset(
    {Kind.PROCESS, Kind.PLANNED, Kind.LINK, Kind.LINK_WAIT}
)
"""What takes the daemon of a VM out of touch, besides the store's."""


@dataclasses.dataclass(eq=False)
class Disruption:
    """One disruption; loop times."""

    host: str
    kind: Kind
    began_at: float
    ended_at: float = math.inf


class Record:
    """All disruptions of a soak, by VM."""

    def __init__(self) -> None:
        self._all: dict[str, list[Disruption]] = {}
        self._of_store: Disruption | None = None

    def begin(self, host: str, kind: Kind) -> Disruption:
        """Note a disruption that begins now."""
        disruption = Disruption(host, kind, _now())
        self._all.setdefault(host, []).append(disruption)
        return disruption

    def end(self, disruption: Disruption) -> None:
        """Note that a disruption ends now."""
        disruption.ended_at = _now()

    def note(self, host: str, kind: Kind) -> None:
        """Note a disruption of one moment."""
        self.end(self.begin(host, kind))

    def note_link_wait(self, hosts: abc.Iterable[str], seconds: float) -> None:
        """Note that links carried nothing for ``seconds`` until now."""
        if seconds <= LINK_WAIT_SECONDS:
            return
        for host in hosts:
            disruption = self.begin(host, Kind.LINK_WAIT)
            disruption.began_at -= seconds
            self.end(disruption)

    @contextlib.contextmanager
    def disrupted(self, host: str, kind: Kind) -> abc.Iterator[None]:
        """Note a disruption for as long."""
        disruption = self.begin(host, kind)
        try:
            yield
        finally:
            self.end(disruption)

    def set_store(self, disturbed: bool) -> None:
        """Note whether the store is disturbed from now on."""
        if disturbed and self._of_store is None:
            self._of_store = self.begin(STORE, Kind.STORE)
        elif not disturbed and self._of_store is not None:
            self.end(self._of_store)
            self._of_store = None

    def had(
        self,
        hosts: abc.Iterable[str],
        kinds: frozenset[Kind],
        since: float,
        until: float,
    ) -> bool:
        """Return whether VMs were disrupted then, or shortly before."""
        return any(
            each.kind in kinds
            and each.began_at <= until
            and each.ended_at >= since - STABLE_SECONDS
            for host in hosts
            for each in self._all.get(host, ())
        )

    def store_was_stable(self, since: float, until: float) -> bool:
        """Return whether the store was undisturbed, and some time before."""
        return not self.had([STORE], frozenset({Kind.STORE}), since, until)

    def in_touch(
        self, hosts: abc.Iterable[str], since: float, until: float
    ) -> bool:
        """Return whether the daemons of VMs were in touch all the while."""
        if not self.store_was_stable(since, until):
            return False
        return not self.had(hosts, OUT_OF_TOUCH, since, until)


def _now() -> float:
    return asyncio.get_running_loop().time()
