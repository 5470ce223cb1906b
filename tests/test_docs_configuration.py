"""Tests that the pages on configuration and command line match the code."""

from pathlib import Path

import click

from laburnumreel.ui import cli
from laburnumreel.ui._errors import ExitCode
from laburnumreel.ui._tables import REASONS, SCHEMAS, with_tables

DOCS = Path(__file__).parent.parent / "docs"


def test_the_page_has_every_key_as_the_schemas_have_it():
    """Guards against a documented default or range that the code does not have."""
    page = (DOCS / "configuration.md").read_text()
    assert with_tables(page) == page
    assert all(f"<!-- table {name} -->" in page for name in SCHEMAS)
    keys = {f"{name}.{f.section}.{f.key}" for name, s in SCHEMAS.items() for f in s.fields}
    assert keys == set(REASONS)


def test_the_page_has_every_command_and_exit_code():
    """Guards against commands and exit codes that operators cannot look up."""
    page = (DOCS / "cli.md").read_text()
    for name, command in cli.commands.items():
        parts = command.commands if isinstance(command, click.Group) else {"": command}
        for part, leaf in parts.items():
            assert f"| `{name} {part}".rstrip() in page
            for parameter in leaf.params:
                if isinstance(parameter, click.Option):
                    assert parameter.opts[0] in page
    assert all(f"| {int(code)} |" in page for code in ExitCode)
