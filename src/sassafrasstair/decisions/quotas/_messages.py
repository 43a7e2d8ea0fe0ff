"""Messages about quotas between daemons."""

from __future__ import annotations

import dataclasses

AMOUNT_MAX = 1e12
"""Greatest amount in a message; sums of amounts stay finite."""
Amounts = dict[str, float]
"""An amount for each customer, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What one daemon needs for one customer.

    ``demand`` is in requests a second. ``left`` is the number of tokens that
    the daemon still holds, ``wanted`` the number that it asks for in addition.
    """

    customer: str
    demand: float
    left: int
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A daemon's request for tokens from the allocator of its failure domain.

    ``host`` is that of the daemon, and ``needs`` has one entry a customer.
    ``stamp`` is a vote for the allocator: the stamp of an earlier answer,
    or 0.
    """

    host: str
    needs: tuple[Need, ...]
    stamp: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens for one customer; ``wait`` is in seconds until the next token."""

    customer: str
    tokens: int
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The answer to an ``Ask``.

    ``redirect`` is the host to ask instead, or '' if the request went to the
    right host. ``stamp`` is the time of the answer on the allocator's clock,
    or 0 if the allocator needs no votes.
    """

    redirect: str
    grants: tuple[Grant, ...]
    stamp: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Canvass:
    """An allocator's request for the vote of a daemon of its domain.

    ``host`` is that of the allocator.
    """

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The changes that an allocator reports to that of another domain.

    ``domain`` and ``host`` are those of the sender. ``mark`` is the identity
    of its process: a restarted process has another. ``serial`` orders its
    updates. ``claims`` are the shares of the limits that it holds or wants,
    and ``demands`` are in requests a second. ``whole`` means that customers
    that are not listed have the equal share and no demand. ``adopting`` is set
    until the sender has adopted the share that its peers reserve for it.
    """

    domain: str
    host: str
    mark: str
    serial: int
    whole: bool
    adopting: bool
    claims: Amounts
    demands: Amounts


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """The answer to an ``Update``.

    ``mark`` is the identity of the process that answers, and ``adopting`` is
    its state as in ``Update``. ``redirect`` is the host that allocates for the
    domain of the receiver, or '' if the receiver does. ``occupied`` is the
    host that allocates for the domain of the sender, or '' if the sender does.
    ``yours`` are the shares that are reserved for the domain of the sender.
    """

    mark: str
    redirect: str
    occupied: str
    adopting: bool
    yours: Amounts


def is_valid(message: object) -> bool:
    """Return whether all amounts of a message are in range."""
    match message:
        case Ask():
            return _is_amount(message.stamp) and all(
                _is_amount(need.demand)
                and _is_amount(need.left)
                and _is_amount(need.wanted)
                for need in message.needs
            )
        case Granted():
            return _is_amount(message.stamp) and all(
                _is_amount(grant.tokens) and _is_amount(grant.wait)
                for grant in message.grants
            )
        case Update():
            amounts = [*message.claims.values(), *message.demands.values()]
            return all(map(_is_amount, amounts))
        case Acknowledged():
            return all(map(_is_amount, message.yours.values()))
        case Canvass():
            return True
    return False


def _is_amount(value: float) -> bool:
    return 0.0 <= value <= AMOUNT_MAX
