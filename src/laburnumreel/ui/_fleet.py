"""The `fleet` commands."""

import click

from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._errors import raise_unreachable
from laburnumreel.ui._lists import format_table


@click.group()
def fleet() -> None:
    """Inspect backend servers."""


@fleet.command("list")
@common_options
@pass_context
def list_hosts(context: Context) -> None:
    """Print the platform's list of backend servers, which may be some seconds out of date."""
    hosts = context.platform.hosts()
    if hosts.is_error():
        raise_unreachable(hosts.error)
    rows = [host._asdict() for host in hosts.ok]
    columns = ("name", "address", "zone", "region", "service", "kind", "cheap", "state")
    context.print_result({"hosts": rows}, format_table(rows, columns))
