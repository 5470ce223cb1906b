"""The `order` commands."""

import click

from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._lists import format_table, read_table


@click.group()
def order() -> None:
    """Inspect orders to engines and availability zones."""


@order.command("list")
@common_options
@pass_context
def list_orders(context: Context) -> None:
    """Print the newest order to each target."""
    rows = read_table(context, "order")
    lines = format_table(rows, ("key", "order_id", "fence", "action", "state", "arguments"))
    context.print_result({"orders": rows}, lines)
