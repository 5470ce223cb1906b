"""The command line for operators."""

import sys

import click

from laburnumreel.ui._config import config
from laburnumreel.ui._context import common_options, run_command_group
from laburnumreel.ui._fleet import fleet
from laburnumreel.ui._key import key
from laburnumreel.ui._lease import lease
from laburnumreel.ui._order import order
from laburnumreel.ui._part import part
from laburnumreel.ui._relay import relay
from laburnumreel.ui._status import status

__all__ = ["cli", "main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@common_options
def cli() -> None:
    """Operate laburnumreel.

    Exit codes: 0 done, 1 usage or settings, 2 check failed, 3 platform unreachable, 4 lost the
    race, 5 not in force everywhere in time.
    """


for _command in (config, key, status, lease, fleet, order, part, relay):
    cli.add_command(_command)


def main() -> None:
    """Run the command line."""
    sys.exit(run_command_group(cli))
