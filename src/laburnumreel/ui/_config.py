"""The `config` commands: check, diff, apply, show and rollforward."""

import json
from pathlib import Path
from typing import Any

import click

from laburnumreel.coordination import (
    ConfigBase,
    ConfigEdits,
    compute_edits,
    managed_entries,
    read_base,
    read_configuration,
    write_change,
)
from laburnumreel.state import Configuration, load_profiles_folder
from laburnumreel.ui._context import DEFAULT_WAIT_TIMEOUT_S, Context, common_options, pass_context
from laburnumreel.ui._errors import ExitCode, UserError, raise_unreachable, raise_write_failure

_folder_argument = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
_wait_option = click.option(
    "--wait", is_flag=True, help="Wait until every process has applied the version."
)
_timeout_option = click.option(
    "--timeout", default=DEFAULT_WAIT_TIMEOUT_S, show_default=True, help="Maximum wait in seconds."
)
_expect_option = click.option("--expect", type=int, help="Fail unless this is the newest version.")


@click.group()
def config() -> None:
    """Manage profiles, services and customers."""


@config.command()
@_folder_argument
@common_options
@pass_context
def check(context: Context, folder: Path) -> None:
    """Check the files of FOLDER and print every error."""
    entries = _load_entries(folder)
    context.print_result({"entries": sorted(entries)}, [f"{len(entries)} entries, no errors"])


@config.command()
@_folder_argument
@common_options
@pass_context
def diff(context: Context, folder: Path) -> None:
    """Print what `apply` would change."""
    base = _read_base(context)
    edits = compute_edits(base.configuration, _load_entries(folder))
    value = _edits_to_json(edits) | {"version": base.configuration.version}
    context.print_result(value, _format_edits(base.configuration, edits) or ["no differences"])


@config.command()
@_folder_argument
@_wait_option
@_timeout_option
@_expect_option
@common_options
@pass_context
def apply(context: Context, folder: Path, wait: bool, timeout: float, expect: int | None) -> None:
    """Apply the profiles, services and customers of FOLDER to all processes."""
    entries = _load_entries(folder)
    base = _read_base(context, expect)
    _write_edits(context, base, compute_edits(base.configuration, entries), wait, timeout)


@config.command()
@click.argument("entry", required=False)
@common_options
@pass_context
def show(context: Context, entry: str | None) -> None:
    """Print the newest accepted configuration, or one ENTRY such as profile/NAME."""
    configuration = _read_base(context).configuration
    if entry is not None and entry not in configuration.entries:
        raise UserError(ExitCode.USAGE, f"there is no entry {entry}")
    entries = {
        name: value
        for name, value in sorted(configuration.entries.items())
        if entry in (None, name)
    }
    value = {
        "version": configuration.version,
        "digest": configuration.digest,
        "entries": entries,
    }
    lines = [f"version {configuration.version} digest {configuration.digest}"]
    lines += [f"{name} {json.dumps(body, sort_keys=True)}" for name, body in entries.items()]
    context.print_result(value, lines)


@config.command()
@click.argument("version", type=click.IntRange(min=0))
@_wait_option
@_timeout_option
@_expect_option
@common_options
@pass_context
def rollforward(
    context: Context, version: int, wait: bool, timeout: float, expect: int | None
) -> None:
    """Create a new version with the profiles, services and customers of an older VERSION.

    Keys are unchanged, except those of customers that the older version does not have.
    """
    base = _read_base(context, expect)
    if version > base.configuration.version:
        newest = base.configuration.version
        raise UserError(ExitCode.USAGE, f"version {version} is newer than the newest, {newest}")
    older = Configuration()
    if version:
        read = read_configuration(context.platform, version)
        if read.is_error():
            raise_unreachable(read.error)
        older = read.ok
    edits = compute_edits(base.configuration, managed_entries(older))
    _write_edits(context, base, edits, wait, timeout)


def _load_entries(folder: Path) -> dict[str, dict[str, Any]]:
    entries = load_profiles_folder(folder)
    if entries.is_error():
        errors = entries.error
        fields = [error._asdict() for error in errors]
        raise UserError(ExitCode.CHECK_FAILED, *errors, errors=fields)
    return entries.ok


def _read_base(context: Context, expect: int | None = None) -> ConfigBase:
    base = read_base(context.platform)
    if base.is_error():
        raise_unreachable(base.error)
    newest = base.ok.configuration.version
    if expect is not None and newest != expect:
        read = context.platform.read("config_change", f"{newest:012d}")
        author = read.ok.value["author"] if read.is_ok() and read.ok else "nobody"
        raise UserError(
            ExitCode.LOST_RACE,
            f"the newest version is {newest} by {author}, not {expect}; nothing was applied",
            version=newest,
            winner=author,
        )
    return base.ok


def _write_edits(
    context: Context, base: ConfigBase, edits: ConfigEdits, wait: bool, timeout: float
) -> None:
    configuration, changed = base.configuration, not edits.is_empty
    version, digest = configuration.version, configuration.digest
    if changed:
        change = configuration.next_change(context.new_author_id(), *edits)
        written = write_change(context.platform, base, change)
        if written.is_error():
            raise_write_failure(written.error, [*edits.puts, *edits.deletes])
        version, digest = change.version, change.digest
    if wait:
        context.wait_for_all(
            context.processes,
            context.peers.status,
            lambda status: status.config_version >= version,
            f"version {version}",
            timeout,
        )
    lines = [*_format_edits(configuration, edits), f"version {version} is the newest"]
    if not changed:
        lines = [f"no differences; version {version} is the newest"]
    value = _edits_to_json(edits) | {"version": version, "digest": digest, "changed": changed}
    context.print_result(value, lines)


def _edits_to_json(edits: ConfigEdits) -> dict[str, Any]:
    return {"puts": edits.puts, "deletes": list(edits.deletes)}


def _format_edits(configuration: Configuration, edits: ConfigEdits) -> list[str]:
    lines = []
    for name, value in sorted(edits.puts.items()):
        old = configuration.entries.get(name)
        if old is None:
            lines.append(f"+ {name}")
            continue
        keys = sorted(key for key in {*old, *value} if old.get(key) != value.get(key))
        parts = [f"{key}: {old.get(key)!r} -> {value.get(key)!r}" for key in keys]
        lines.append(f"~ {name} {', '.join(parts)}")
    return lines + [f"- {name}" for name in edits.deletes]
