"""Tests that the documentation of configuration and command line matches the code."""

from pathlib import Path

import click

from laburnumreel.ui import cli
from laburnumreel.ui._errors import ExitCode
from laburnumreel.ui._tables import REASONS, SCHEMAS, update_tables

DOCS = Path(__file__).parent.parent / "docs"


def test_configuration_page_matches_the_schemas():
    """Guards against documented defaults and ranges that differ from the code."""
    page = (DOCS / "configuration.md").read_text()
    assert update_tables(page) == page
    assert all(f"<!-- table {name} -->" in page for name in SCHEMAS)
    keys = {
        f"{name}.{field.section}.{field.key}"
        for name, schema in SCHEMAS.items()
        for field in schema.fields
    }
    assert keys == set(REASONS)


def test_cli_page_has_every_command_and_exit_code():
    """Guards against undocumented commands, options and exit codes."""
    page = (DOCS / "cli.md").read_text()
    for name, command in cli.commands.items():
        subcommands = command.commands if isinstance(command, click.Group) else {"": command}
        for subcommand, leaf in subcommands.items():
            assert f"| `{name} {subcommand}".rstrip() in page
            for parameter in leaf.params:
                if isinstance(parameter, click.Option):
                    assert parameter.opts[0] in page
    assert all(f"| {int(code)} |" in page for code in ExitCode)
