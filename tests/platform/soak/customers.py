"""Customers of a soak: their keys, and what must hold of them."""

from __future__ import annotations

import dataclasses
import itertools
import math
import typing

if typing.TYPE_CHECKING:
    import random

REVOKE_SECONDS = 3.0
PROPAGATION_SECONDS = 2.0
WINDOW_SECONDS = 5.0
OVER = 0.25
SLACK = 10.0
LIMITED = "limited"
FREE = "free"
RATES = (6.0, 10.0)
"""Requests a second of the customer with a limit, by turns."""
KEYS_EACH = 3
_serial = itertools.count(1)


@dataclasses.dataclass
class Key:
    """One API key, and when it was added and taken away; loop times."""

    text: str
    customer: str
    added: float
    removed: float = math.inf


@dataclasses.dataclass
class Customers:
    """All keys that there ever were, and the runs of the limited customer.

    ``runs`` are instants at which a request was sent and ran.
    """

    rng: random.Random
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    rate: float = RATES[0]
    runs: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def add(self, customer: str, now: float) -> None:
        """Give a customer one more key."""
        key = Key(f"key-{next(_serial)}-{customer}", customer, now)
        self.keys[key.text] = key

    def revoke(self, now: float) -> None:
        """Take a key away, and give its customer another one."""
        key = self.rng.choice(self.valid())
        key.removed = now
        self.add(key.customer, now)

    def valid(self) -> list[Key]:
        """Return the keys that were not taken away."""
        return [key for key in self.keys.values() if key.removed == math.inf]

    def draw(self) -> str:
        """Return a key for a request, now and then one that is not valid."""
        drawn = self.rng.random()
        if drawn < 0.02:
            return "no-such-key"
        keys = list(self.keys.values()) if drawn < 0.2 else self.valid()
        return self.rng.choice(keys).text

    def policy(self) -> dict[str, object]:
        """Return the customers as the operator writes them."""
        limits: dict[str, dict[str, object]] = {
            LIMITED: {"rate_per_s": self.rate, "burst": self.rate},
            FREE: {"priority": 0},
        }
        return {
            name: limit
            | {
                "api_keys": [
                    key.text for key in self.valid() if key.customer == name
                ]
            }
            for name, limit in limits.items()
        }

    def broken_by_run(
        self, text: str, customer: str, sent_at: float, now: float
    ) -> str:
        """Return what is wrong with a run of a request with a key."""
        key = self.keys.get(text)
        if key is None:
            return "ROUTE: nobody has the key"
        if customer != key.customer:
            return f"UNASKED: customer {customer!r}"
        if sent_at > key.removed + REVOKE_SECONDS:
            return f"CONFIG: revoked {sent_at - key.removed:.2f} s before"
        if customer == LIMITED:
            self.runs.append((sent_at, now))
        return ""

    def may_be_denied(self, text: str, sent_at: float) -> bool:
        """Return whether a request with a key may be answered 401."""
        key = self.keys.get(text)
        if key is None or key.removed < math.inf:
            return True
        return sent_at < key.added + PROPAGATION_SECONDS

    def describe(self, text: str, sent_at: float) -> str:
        """Return how old a key was when a request with it was sent."""
        key = self.keys.get(text)
        if key is None:
            return "without a known key"
        return f"{sent_at - key.added:.3f} s after {text} was added"

    def most(self) -> int:
        """Return the most requests sent and run within one window."""
        runs = sorted(self.runs)
        return max(
            (
                sum(ran <= since + WINDOW_SECONDS for _, ran in runs[first:])
                for first, (since, _) in enumerate(runs)
            ),
            default=0,
        )


def allowed() -> float:
    """Return how many requests of the customer may run in one window."""
    rate = max(RATES)
    return (rate * WINDOW_SECONDS + rate) * (1.0 + OVER) + SLACK
