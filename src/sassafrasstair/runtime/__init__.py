"""The running daemon: runs the ``decisions`` with real time and I/O."""

from __future__ import annotations

from sassafrasstair.runtime._daemon import build
from sassafrasstair.runtime._daemon import Daemon
from sassafrasstair.runtime._daemon import note_stop
from sassafrasstair.runtime._daemon import run
from sassafrasstair.runtime._daemon import stop

__all__ = ["Daemon", "build", "note_stop", "run", "stop"]
