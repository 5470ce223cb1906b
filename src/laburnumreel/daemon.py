"""The daemon: `laburnumreeld --config FILE gateway|coordinator`."""

import signal
import sys
from pathlib import Path

import click

from laburnumreel.core import setup_logs
from laburnumreel.state import Settings, load_settings


@click.group()
@click.option(
    "--config",
    "config",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The node's settings file.",
)
@click.pass_context
def main(context: click.Context, config: Path) -> None:
    """Run one of the two processes of a node until SIGTERM. SIGHUP is ignored."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = load_settings(config)
    if settings.is_error():
        for error in settings.error:
            click.echo(str(error), err=True)
        context.exit(2)
    setup_logs(settings.ok.log.format, settings.ok.log.level)
    context.obj = settings.ok


@main.command()
@click.pass_obj
def gateway(settings: Settings) -> None:
    """Serve callers."""
    from laburnumreel.gateway import run

    sys.exit(run(settings))


@main.command()
@click.pass_obj
def coordinator(settings: Settings) -> None:
    """Hold leases, send orders to back ends and report usage."""
    from laburnumreel.coordinator import run

    sys.exit(run(settings))


if __name__ == "__main__":
    main()
