"""The context that all commands share: settings, platform, peers, and the output of results."""

import getpass
import json
import sys
import time
import uuid
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
from expression import Result

from laburnumreel.state import HttpPlatform, Platform, Settings, load_settings
from laburnumreel.transport import PeerClient
from laburnumreel.ui._errors import ExitCode, UserError

Address = tuple[str, int]

DEFAULT_WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
MAX_PARALLEL_CALLS = 16


class Context:
    """The state of one command line run. Settings are loaded when first used."""

    def __init__(self) -> None:
        self.settings_file: Path | None = None
        self.json_output = False
        self._settings: Settings | None = None
        self._peers = PeerClient()

    @property
    def settings(self) -> Settings:
        if self._settings is None:
            if self.settings_file is None:
                raise UserError(
                    ExitCode.USAGE, "no settings: give --settings FILE or set LABURNUMREEL_SETTINGS"
                )
            loaded = load_settings(self.settings_file)
            if loaded.is_error():
                raise UserError(ExitCode.USAGE, *loaded.error)
            self._settings = loaded.ok
        return self._settings

    @property
    def platform(self) -> Platform:
        settings = self.settings.platform
        return HttpPlatform(settings.address, settings.timeout_s, settings.token)

    @property
    def peers(self) -> PeerClient:
        return self._peers

    @property
    def processes(self) -> list[Address]:
        """The peer addresses of all gateways and coordinators."""
        peers = self.settings.peers
        return list(dict.fromkeys([*peers.gateways, *peers.coordinators]))

    def new_author_id(self) -> str:
        """Return the operator's user name with a random id, unique to each change."""
        try:
            user = getpass.getuser()
        except (KeyError, OSError):
            user = "operator"
        return f"{user}#{uuid.uuid4().hex[:12]}"

    def print_result(self, value: Any, lines: Sequence[str]) -> None:
        """Print a result: `value` as JSON with --json, else `lines` as text."""
        if self.json_output:
            click.echo(json.dumps(value, sort_keys=True))
            return
        for line in lines:
            click.echo(line)

    def print_progress(self, text: str) -> None:
        """Print the progress of a wait to standard error, apart from the result."""
        if not self.json_output:
            click.echo(text, err=True)

    def call_all(
        self, addresses: Sequence[Address], call: Callable[[Address], Result[Any, str]]
    ) -> dict[Address, Result[Any, str]]:
        """Call several processes in parallel and return their results by address."""
        with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as executor:
            return dict(zip(addresses, executor.map(call, addresses), strict=True))

    def wait_for_all(
        self,
        addresses: Sequence[Address],
        call: Callable[[Address], Result[Any, str]],
        is_in_force: Callable[[Any], bool],
        description: str,
        timeout_s: float,
    ) -> None:
        """Poll the processes until `is_in_force` is true for each of their answers.

        Raises a `UserError` that names the remaining processes after `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        waiting, last_done = list(addresses), -1
        while waiting:
            answers = self.call_all(waiting, call)
            waiting = [
                address
                for address, answer in answers.items()
                if answer.is_error() or not is_in_force(answer.ok)
            ]
            done = len(addresses) - len(waiting)
            if done != last_done:
                last_done = done
                self.print_progress(f"{description}: {done} of {len(addresses)} processes")
            if waiting and time.monotonic() >= deadline:
                names = [f"{host}:{port}" for host, port in waiting]
                raise UserError(
                    ExitCode.NOT_IN_FORCE,
                    f"{description}: not in force within {timeout_s:g} s on {', '.join(names)}",
                    not_in_force=names,
                )
            if waiting:
                time.sleep(POLL_INTERVAL_S)

    def print_error(self, error: UserError) -> int:
        """Print an error to standard error and return its exit code."""
        if self.json_output:
            body = {"error": error.lines, "code": int(error.code), **error.fields}
            click.echo(json.dumps(body, sort_keys=True), err=True)
        else:
            for line in error.lines:
                click.echo(f"laburnumreel: {line}", err=True)
        return int(error.code)


pass_context = click.make_pass_decorator(Context)


def common_options(command: Callable) -> Callable:
    """Add --settings and --json, which are accepted before and after the command's name."""

    def set_settings_file(context: click.Context, _: click.Parameter, value: Path | None) -> None:
        if value is not None:
            context.ensure_object(Context).settings_file = value

    def set_json_output(context: click.Context, _: click.Parameter, value: bool) -> None:
        if value:
            context.ensure_object(Context).json_output = True

    command = click.option(
        "--json",
        is_flag=True,
        expose_value=False,
        callback=set_json_output,
        help="Print JSON, for scripts.",
    )(command)
    return click.option(
        "--settings",
        type=click.Path(path_type=Path, dir_okay=False),
        envvar="LABURNUMREEL_SETTINGS",
        expose_value=False,
        callback=set_settings_file,
        help="The daemon's settings file.",
    )(command)


def run_command_group(group: click.Group, arguments: Sequence[str] | None = None) -> int:
    """Run a command group and return the exit code; errors are printed without a traceback."""
    context = Context()
    try:
        group.main(args=arguments, prog_name="laburnumreel", standalone_mode=False, obj=context)
    except UserError as error:
        return context.print_error(error)
    except click.ClickException as error:
        # Parsing may have failed before the --json option was processed.
        context.json_output = "--json" in (sys.argv[1:] if arguments is None else arguments)
        return context.print_error(UserError(ExitCode.USAGE, error.format_message()))
    except (click.Abort, KeyboardInterrupt):
        return context.print_error(UserError(ExitCode.USAGE, "interrupted"))
    except BrokenPipeError:
        sys.stderr.close()
        return int(ExitCode.USAGE)
    return int(ExitCode.DONE)
