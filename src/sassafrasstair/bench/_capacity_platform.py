"""The platform on a virtual clock: keys, index, watches, counted calls."""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import fleet

KEYS = 3
"""bundles/all, bundles/staged and the VM list."""

BLOCKING_SECONDS = 60.0
LATENCY = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """What the platform holds at one index."""

    index: int
    bundles: tuple[bytes, ...]
    vms: tuple[fleet.Record, ...]


@dataclasses.dataclass(slots=True)
class Platform:
    """The platform; ``calls`` counts its calls in each second."""

    contents: Contents
    up: bool = True
    calls: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def publish(
        self,
        bundles: tuple[bytes, ...] | None = None,
        vms: tuple[fleet.Record, ...] | None = None,
    ) -> None:
        """Replace bundles or VM list and raise the index."""
        self.contents = Contents(
            self.contents.index + 1,
            self.contents.bundles if bundles is None else bundles,
            self.contents.vms if vms is None else vms,
        )

    def count(self, now: float) -> None:
        """Count one read, or one round of watches, of all keys."""
        self.calls[int(now)] += KEYS

    def peak(self, since: float = 0.0) -> int:
        """Return the most calls in one second from ``since`` on."""
        counts = [n for s, n in self.calls.items() if s >= int(since)]
        return max(counts, default=0)
