"""The `lease` commands."""

import click

from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._lists import format_table, read_table


@click.group()
def lease() -> None:
    """Inspect the leases of the coordinators."""


@lease.command("list")
@common_options
@pass_context
def list_leases(context: Context) -> None:
    """Print each lease with its holder and fencing number."""
    rows = read_table(context, "lease")
    lines = format_table(rows, ("key", "holder", "boot", "fence", "term_s"))
    context.print_result({"leases": rows}, lines)
