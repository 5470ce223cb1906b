"""The `lease` commands."""

import click

from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._lists import as_lines, read_table


@click.group()
def lease() -> None:
    """Leases of the coordinators."""


@lease.command("list")
@common_options
@pass_context
def list_leases(context: Context) -> None:
    """Print each lease with its holder and fencing number."""
    rows = read_table(context, "lease")
    lines = as_lines(rows, ("key", "holder", "boot", "fence", "term_s"))
    context.show({"leases": rows}, lines)
