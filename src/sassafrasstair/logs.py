"""Logging: one line of key=value pairs, or one JSON object, per event."""

from __future__ import annotations

import datetime
import enum
import json
import logging
import re
import sys
import typing

from pythonjsonlogger import json as json_logger

Field = str | int | float | bool | enum.Enum

_FIELDS = "sassafrasstair_fields"
_UNQUOTED = re.compile(r"[A-Za-z0-9_./:+@%,~<>\[\]()*-]+")
_VERBOSE_LOGGERS = ("httpcore", "httpx")
_VALUE_CHARACTERS_MAX = 1_000
_FLOAT_DIGITS = 6


def event(
    logger: logging.Logger, level: int, name: str, **fields: Field
) -> None:
    """Log the event ``name`` with its fields; formatted only if emitted."""
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={_FIELDS: fields})


def configure(
    format: typing.Literal["keyvalue", "json"],
    level: str,
    stream: typing.TextIO | None = None,
) -> None:
    """Send all logging to ``stream``, by default the standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter() if format == "json" else KeyValueFormatter()
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _limit_library_loggers(logging.getLevelName(level.upper()))


def _limit_library_loggers(level: int) -> None:
    """Stop libraries from logging each request, except at level debug."""
    quiet = max(level, logging.WARNING)
    minimum = logging.NOTSET if level <= logging.DEBUG else quiet
    for name in _VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(minimum)


class KeyValueFormatter(logging.Formatter):
    """Formats an event as ``time=... level=... event=... key=value``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of one record."""
        pairs = _to_pairs(record).items()
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs)


class JsonFormatter(json_logger.JsonFormatter):
    """Formats an event as one JSON object with the same keys."""

    def process_log_record(
        self, log_data: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Return the data that ``add_fields`` has set, unchanged."""
        return log_data

    def add_fields(
        self,
        log_data: dict[str, typing.Any],
        record: logging.LogRecord,
        message_dict: dict[str, typing.Any],
    ) -> None:
        """Put the keys of one record into ``log_data``."""
        log_data.clear()
        log_data.update(_to_pairs(record))


def _to_pairs(record: logging.LogRecord) -> dict[str, str | int | float]:
    created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    pairs: dict[str, str | int | float] = {
        "time": created_at.isoformat(timespec="milliseconds"),
        "level": record.levelname.lower(),
        "logger": record.name,
    }
    fields: dict[str, Field] | None = getattr(record, _FIELDS, None)
    if fields is None:
        # A record of a library: its text becomes a field of one event.
        pairs |= {"event": "library_message", "message": record.getMessage()}
    else:
        pairs["event"] = record.msg
        pairs |= {key: _to_plain(value) for key, value in fields.items()}
    if record.exc_info and record.exc_info[0]:
        traceback_text = logging.Formatter().formatException(record.exc_info)
        pairs["exception"] = traceback_text
    return pairs


def _to_plain(value: Field) -> str | int | float:
    if isinstance(value, enum.Enum):
        value = typing.cast("str", value.value)
    if isinstance(value, float):
        return round(value, _FLOAT_DIGITS)
    if isinstance(value, str) and len(value) > _VALUE_CHARACTERS_MAX:
        return value[:_VALUE_CHARACTERS_MAX] + "..."
    return value


def _quote(value: str | int | float) -> str:
    """Return the value, quoted as JSON if necessary.

    Callers choose some of the values. An unescaped newline would let a
    caller forge whole events in the log; JSON escapes keep each event on one
    line.
    """
    if isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)
