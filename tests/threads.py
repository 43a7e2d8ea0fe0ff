"""Which signals the threads of a process block."""

from __future__ import annotations

import pathlib

_FIELD = "SigBlk:"


def unconfined(pid: int, number: int) -> list[str]:
    """Return the threads beside the first that may handle a signal."""
    found = []
    for thread in pathlib.Path(f"/proc/{pid}/task").iterdir():
        lines = (thread / "status").read_text().splitlines()
        [mask] = [line for line in lines if line.startswith(_FIELD)]
        blocked = int(mask.removeprefix(_FIELD), 16) >> (number - 1) & 1
        if thread.name != str(pid) and not blocked:
            found.append(thread.name)
    return found


def count(pid: int) -> int:
    """Return the number of threads of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))
