"""Reading and printing whole tables of the platform, for the list commands."""

from typing import Any

from laburnumreel.ui._context import Context
from laburnumreel.ui._errors import raise_unreachable


def read_table(context: Context, table: str) -> list[dict[str, Any]]:
    """Return all rows of a table, each with its key as the field `key`."""
    rows: list[dict[str, Any]] = []
    after = ""
    while True:
        page = context.platform.scan(table, after=after)
        if page.is_error():
            raise_unreachable(page.error)
        rows += [{"key": row.key, **row.value} for row in page.ok.rows]
        if not page.ok.more:
            return rows
        after = page.ok.rows[-1].key


def format_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """Format rows as aligned columns under a header line; missing fields become "-"."""
    cells = [list(columns)] + [[str(row.get(column, "-")) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
