"""Which requests are read while the daemon stops."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections import abc


class NotTaken(Exception):
    """The daemon stops and does not take the request."""


@dataclasses.dataclass(slots=True)
class Intake:
    """Requests whose bodies begin to arrive, and whether they are taken.

    Once ``leaving`` is set, only calls of this VM's upstream are taken, until
    ``ended`` is set. ``_reads`` has the time limit of each request that is
    being read, and whether the upstream makes it.
    """

    leaving: bool = False
    ended: bool = False
    _reads: dict[asyncio.Timeout, bool] = dataclasses.field(
        default_factory=dict
    )


def leave(intake: Intake) -> None:
    """Refuse what callers send; answers close their connections."""
    intake.leaving = True
    _refuse_half_read(intake)


def end(intake: Intake) -> None:
    """Refuse the calls of the upstream as well."""
    intake.ended = True
    _refuse_half_read(intake)


@contextlib.asynccontextmanager
async def reading(
    intake: Intake, of_upstream: bool, seconds: float
) -> abc.AsyncIterator[None]:
    """Read a request within a time limit.

    Raises ``TimeoutError``, and ``NotTaken`` once it isn't to be taken.
    """
    if _refuses(intake, of_upstream):
        raise NotTaken
    limit = asyncio.timeout(seconds)
    intake._reads[limit] = of_upstream
    try:
        async with limit:
            yield
    except TimeoutError as error:
        if _refuses(intake, of_upstream):
            raise NotTaken from error
        raise
    finally:
        del intake._reads[limit]


def _refuse_half_read(intake: Intake) -> None:
    now = asyncio.get_running_loop().time()
    for limit, of_upstream in intake._reads.items():
        if _refuses(intake, of_upstream) and not limit.expired():
            limit.reschedule(now)


def _refuses(intake: Intake, of_upstream: bool) -> bool:
    return intake.ended or (intake.leaving and not of_upstream)
