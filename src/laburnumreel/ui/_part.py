"""The `part` commands: held parts of prompts."""

import re
from collections.abc import Callable
from typing import Any

import click
from expression import Result

from laburnumreel.ui._context import Address, Context, common_options, pass_context
from laburnumreel.ui._errors import ExitCode, UserError
from laburnumreel.ui._lists import format_table

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{16}")
_COLUMNS = ("part", "gateway", "held_s", "remaining_s", "requests", "back_ends")


@click.group()
def part() -> None:
    """Show and let go parts of prompts that are held because they crash back ends."""


@part.command("list")
@common_options
@pass_context
def list_parts(context: Context) -> None:
    """Print the parts that each gateway holds, since when and why.

    A gateway that heard of a part from a peer names no back ends.
    """
    answered, gateways = _call_gateways(context, context.peers.held_parts)
    rows = [
        {
            "part": held.part,
            "gateway": f"{host}:{port}",
            "held_s": round(held.held_s),
            "remaining_s": round(held.remaining_s),
            "requests": held.requests or "-",
            "back_ends": ",".join(held.back_ends) or "-",
        }
        for (host, port), held_parts in answered.items()
        for held in held_parts
    ]
    value = {"parts": rows, "answered": len(answered), "gateways": gateways}
    lines = format_table(rows, _COLUMNS)
    context.print_result(value, [*lines, f"{len(answered)} of {gateways} gateways answered"])


@part.command()
@click.argument("digest")
@common_options
@pass_context
def release(context: Context, digest: str) -> None:
    """Let the part with this DIGEST go at every gateway.

    It is held again if back ends crash on it again.
    """
    if not _DIGEST_PATTERN.fullmatch(digest):
        raise UserError(
            ExitCode.USAGE, f"invalid digest {digest}: 16 hexadecimal digits are expected"
        )
    confirmed, gateways = _call_gateways(
        context, lambda address: context.peers.release_part(address, digest)
    )
    released = sum(confirmed.values())
    value = {
        "part": digest,
        "released": released,
        "confirmed": len(confirmed),
        "gateways": gateways,
    }
    context.print_result(
        value,
        [
            f"let go at {released} gateways that held it;"
            f" {len(confirmed)} of {gateways} gateways confirmed"
        ],
    )


def _call_gateways(
    context: Context, call: Callable[[Address], Result[Any, str]]
) -> tuple[dict[Address, Any], int]:
    """Return what each gateway that answered has returned, and the number of all gateways."""
    gateways = list(context.settings.peers.gateways)
    answers = context.call_all(gateways, call)
    answered = {address: answers[address].ok for address in gateways if answers[address].is_ok()}
    if not answered:
        raise UserError(ExitCode.UNREACHABLE, f"none of {len(gateways)} gateways answered")
    return answered, len(gateways)
