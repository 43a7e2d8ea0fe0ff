"""Keep the logs of a soak that failed, with a timeline of its own process."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import pathlib
import shutil
import tempfile
import typing

if typing.TYPE_CHECKING:
    from collections import abc

TIMELINE = "soak.log"
REPORT = "report.txt"
LATE_SECONDS = 0.2
"""A timer of the soak's own process that fires later is written down: relays,
the store and all instances stood still meanwhile."""
TIMER_SECONDS = 0.05


class Timeline:
    """Writes what happens in a soak, by the time of day as daemons log it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / TIMELINE

    def note(self, text: str) -> None:
        """Write a line."""
        now = datetime.datetime.now(datetime.UTC)
        with self._path.open("a") as file:
            file.write(f"{now.isoformat(timespec='milliseconds')} {text}\n")

    async def watch_timers(
        self, note_late: abc.Callable[[float], None]
    ) -> None:
        """Write down for how long this process stood still, for ever.

        ``note_late`` gets the seconds each time.
        """
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TIMER_SECONDS
            await asyncio.sleep(TIMER_SECONDS)
            late = loop.time() - due
            if late >= LATE_SECONDS:
                self.note(f"stood still for {late:.2f} s")
                note_late(late)


def write_report(folder: pathlib.Path, report: object) -> None:
    """Write the figures of a soak beside its logs."""
    (folder / REPORT).write_text(f"{report}\n")


@contextlib.contextmanager
def kept_on_failure(name: str) -> abc.Iterator[pathlib.Path]:
    """Yield a new folder; keep it and print its path if the body raises."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{name}-"))
    try:
        yield folder
    except BaseException:
        print(f"logs and figures are kept in {folder}")
        raise
    shutil.rmtree(folder)
