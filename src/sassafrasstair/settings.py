"""Settings of one daemon, read from a JSON file when it starts.

What applies to all daemons is configured in the bundle
(``sassafrasstair.bundles``). See docs/SETTINGS.md.
"""

from __future__ import annotations

import base64
import binascii
import ipaddress
import pathlib
import typing
import urllib.parse

import msgspec

from sassafrasstair import decoding

PUBLIC_KEY_BYTES = 32
MAX_SETTINGS_BYTES = 100_000
PORT_MAX = 65_535
_ADDRESS_RULE = "wants IP:PORT, an IP number and a port of 1 to 65535"
_URL_RULE = "wants http://IP:PORT, an IP number and a port of 1 to 65535"

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")
]

GraceSeconds = typing.Annotated[float, msgspec.Meta(ge=1.0, le=3_600.0)]


class SettingsError(Exception):
    """Invalid settings; the message is one line with the key and the rule."""


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The address ``IP:PORT`` at which one of the interfaces listens."""

    listen: str

    def __post_init__(self) -> None:
        """Check the address."""
        _check_address("listen", self.listen)


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The interface between daemons.

    ``seeds`` are addresses of daemons to contact first. ``advertise`` is the
    address at which other daemons connect, if it differs from ``listen``.
    """

    listen: str
    seeds: tuple[str, ...] = ()
    advertise: str | None = None

    def __post_init__(self) -> None:
        """Check the addresses."""
        _check_address("listen", self.listen)
        if self.advertise is not None:
            _check_address("advertise", self.advertise)
        for seed in self.seeds:
            _check_address("seeds", seed)


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream on the same VM, at ``http://IP:PORT``."""

    url: str

    def __post_init__(self) -> None:
        """Check the URL."""
        _check_url("url", self.url)


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Endpoints of the platform's configuration service and VM list."""

    urls: tuple[str, ...]

    def __post_init__(self) -> None:
        """Check that there is at least one URL, and check each URL."""
        if not self.urls:
            raise ValueError("urls: wants one URL at least")
        for url in self.urls:
            _check_url("urls", url)


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's public key: 32 raw Ed25519 bytes in base64."""

    name: Name
    public: str

    def __post_init__(self) -> None:
        """Check the length of the key."""
        if len(_decode_base64(self.public)) != PUBLIC_KEY_BYTES:
            raise ValueError(
                f"public: wants base64 of {PUBLIC_KEY_BYTES} bytes, Ed25519"
            )

    @property
    def raw(self) -> bytes:
        """The 32 bytes of the key."""
        return _decode_base64(self.public)


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the daemon logs to its standard error."""

    format: typing.Literal["keyvalue", "json"] = "keyvalue"
    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planned stop.

    ``grace_seconds`` is the time from SIGTERM until the platform kills the
    process. The daemon ends before that.
    """

    grace_seconds: GraceSeconds = 30.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon.

    ``vm``, ``service``, ``failure_domain`` and ``region`` describe its own VM.
    ``callers``, ``peers`` and ``operators`` are its interfaces, and ``keys``
    are the public keys of the operators who may sign bundles.
    """

    vm: Name
    service: Name
    failure_domain: Name
    region: Name
    callers: Listen
    peers: Peers
    operators: Listen
    upstream: Upstream
    platform: Platform
    keys: tuple[Key, ...]
    log: Log = Log()
    stop: Stop = Stop()

    def __post_init__(self) -> None:
        """Check the keys and that no two interfaces share an address."""
        if not self.keys:
            raise ValueError("keys: wants one key at least")
        names = [key.name for key in self.keys]
        if len(set(names)) != len(names):
            raise ValueError("keys: wants names that differ")
        if len(set(self._addresses)) != len(self._addresses):
            raise ValueError(
                "operators: wants an address unlike callers' and peers'"
            )

    @property
    def _addresses(self) -> tuple[str, ...]:
        return (
            self.callers.listen,
            self.peers.listen,
            self.operators.listen,
        )


def load(path: str | pathlib.Path) -> Settings:
    """Return the settings in the file at ``path``.

    Raises ``SettingsError`` with one line for the first fault found.
    """
    try:
        return decoding.decode(_read(path), Settings)
    except decoding.DecodingError as error:
        raise SettingsError(f"{path}: {error}") from error


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``, or ``[IP]:PORT`` for IPv6.

    Raises ``ValueError``: host names are refused, ports are 1 to 65535.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError(f"{_ADDRESS_RULE}, not {address!r}")
    bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if bracketed else host
    try:
        version = ipaddress.ip_address(host).version
    except ValueError as error:
        raise ValueError(f"{_ADDRESS_RULE}, not {address!r}") from error
    if bracketed != (version == 6) or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"{_ADDRESS_RULE}, not {address!r}")
    return host, int(port)


def _read(path: str | pathlib.Path) -> bytes:
    try:
        with pathlib.Path(path).open("rb") as file:
            text = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        raise SettingsError(
            f"{path}: wants a readable settings file: {error.strerror}"
        ) from error
    if len(text) > MAX_SETTINGS_BYTES:
        raise SettingsError(
            f"{path}: wants at most {MAX_SETTINGS_BYTES} bytes"
        )
    return text


def _check_address(key: str, address: str) -> None:
    try:
        parse_address(address)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error


def _check_url(key: str, url: str) -> None:
    try:
        parts = urllib.parse.urlsplit(url)
        parse_address(parts.netloc)
    except ValueError as error:
        raise ValueError(f"{key}: {_URL_RULE}, not {url!r}") from error
    if parts.scheme != "http" or parts.path not in ("", "/") or parts.query:
        raise ValueError(f"{key}: {_URL_RULE}, not {url!r}")


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""
