"""Plain text tables."""

from __future__ import annotations

import itertools
import typing

if typing.TYPE_CHECKING:
    from collections import abc

_COLUMN_SEPARATOR = "  "


def format_table(
    head: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> str:
    """Return a table with aligned columns; numbers are right-aligned."""
    cells = [[_format_cell(value) for value in row] for row in rows]
    columns = itertools.zip_longest(head, *cells, fillvalue="")
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = [_format_row(row, widths) for row in [list(head), *cells]]
    return "\n".join(lines)


def _format_row(row: abc.Sequence[str], widths: abc.Sequence[int]) -> str:
    padded = [
        cell.rjust(width) if _is_number(cell) else cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return _COLUMN_SEPARATOR.join(padded).rstrip()


def _format_cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _is_number(cell: str) -> bool:
    return cell.replace(".", "", 1).isdigit()
