"""What daemons tell each other of quotas."""

from __future__ import annotations

import dataclasses
import math

Amounts = dict[str, float]
"""An amount for each customer, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What one daemon needs for one customer.

    ``demand`` is in requests a second, ``left`` are the tokens that it still
    has, and ``wanted`` those that it would have more.
    """

    customer: str
    demand: float
    left: int
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationRequest:
    """A daemon asks the allocator of its failure domain for tokens."""

    host: str
    needs: tuple[Need, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens for one customer; ``wait`` is how many seconds the next take."""

    customer: str
    tokens: int
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResponse:
    """The answer to an ``Ask``.

    ``redirect`` is the host to ask instead, '' if this is the right one.
    """

    redirect: str
    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """An allocator tells that of another failure domain what has changed.

    ``claims`` are the shares of the limits that it holds or wants, and
    ``demands`` are in requests a second. ``mark`` names its process and
    ``serial`` orders its updates. ``whole`` when customers that are not named
    have their share by right and no demand. ``adopting`` before it holds any
    share.
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
class Acknowledgement:
    """The answer to an ``Update``.

    ``redirect`` is the host that allocates for the domain that was asked, ''
    if it is this one, and ``occupied`` the one that does for the domain that
    asks, '' if it is the asking one. ``adopting`` as in ``Update``, of the
    one that answers. ``yours`` are the shares that are reserved for the domain
    that asks.
    """

    mark: str
    redirect: str
    occupied: str
    adopting: bool
    yours: Amounts


def is_valid(message: object) -> bool:
    """Return whether all amounts of a message can be reckoned with."""
    match message:
        case AllocationRequest():
            return all(
                _is_amount(need.demand) and need.left >= 0 <= need.wanted
                for need in message.needs
            )
        case GrantResponse():
            return all(
                grant.tokens >= 0 and _is_amount(grant.wait)
                for grant in message.grants
            )
        case Update():
            amounts = [*message.claims.values(), *message.demands.values()]
            return all(map(_is_amount, amounts))
        case Acknowledgement():
            return all(map(_is_amount, message.yours.values()))
    return False


def _is_amount(value: float) -> bool:
    return 0.0 <= value < math.inf
