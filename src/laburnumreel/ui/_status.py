"""The `status` command."""

import click

from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._errors import ExitCode, UserError
from laburnumreel.ui._lists import format_table

_COLUMNS = (
    "address",
    "name",
    "role",
    "zone",
    "ready",
    "stopping",
    "config_version",
    "running",
    "store_reachable",
    "leases",
)


@click.command()
@common_options
@pass_context
def status(context: Context) -> None:
    """Print the status that each gateway and coordinator reports."""
    rows = []
    answers = context.call_all(context.processes, context.peers.status)
    for (host, port), answer in answers.items():
        row = {"address": f"{host}:{port}", "answered": answer.is_ok()}
        if answer.is_ok():
            row |= answer.ok._asdict() | {"leases": ",".join(answer.ok.leases) or "-"}
        else:
            row |= {"name": f"no answer ({answer.error})"}
        rows.append(row)
    if not any(row["answered"] for row in rows):
        raise UserError(ExitCode.UNREACHABLE, f"none of {len(rows)} processes answered")
    context.print_result({"processes": rows}, format_table(rows, _COLUMNS))
