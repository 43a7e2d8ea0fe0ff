"""The platform's header names, and the entry point of the adapter."""

from __future__ import annotations

import os
import typing

from sassafrasstair import forwarding
from sassafrasstair.platform import _settings
from sassafrasstair.platform import _store

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

SETTINGS_VARIABLE = "SASSAFRASSTAIR_BOOT"
SETTINGS_PATH = "/etc/sassafrasstair/boot.conf"

HEADER_NAMES = forwarding.HeaderNames(
    request_id=b"Sassafrasstair-Request-Id",
    deadline_ms=b"Sassafrasstair-Deadline-Ms",
    target=b"Sassafrasstair-Target-Instance",
    caller=b"Sassafrasstair-Caller-Service",
    signature=b"Sassafrasstair-Response-Signature",
    not_run=b"Sassafrasstair-Not-Executed",
    key=b"Api-Key",
    customer=b"Sassafrasstair-Tenant",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
)


class _PlatformDialect:
    """The names, settings and store of the platform."""

    names = HEADER_NAMES
    ready_path = b"/-/readyz"

    def __init__(self, path: str) -> None:
        self._path = path

    def settings(self) -> forwarding.Settings:
        """Read the settings file; raises ``SettingsError``."""
        try:
            with open(self._path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeError) as error:
            raise forwarding.SettingsError(f"{self._path}: {error}") from error
        return _settings.decode_settings(text)

    def settings_mark(self) -> object:
        """Return the file's time, size and inode, or None without a file."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def source(
        self, settings: forwarding.Settings, clock: clocks.Clock
    ) -> forwarding.Source:
        """Return the client of the platform's store."""
        return _store.open_store(settings.store, settings.regions, clock)


def open_dialect(environment: abc.Mapping[str, str]) -> forwarding.Dialect:
    """Return the platform's dialect; the environment may name the file."""
    path = environment.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return _PlatformDialect(path)
