"""The `key` commands: grant, withdraw and list."""

import re
from typing import TextIO

import click

from laburnumreel.coordination import (
    ConfigEdits,
    read_base,
    write_commuting_edits,
    write_withdrawal,
)
from laburnumreel.state import Configuration, key_digest, new_key
from laburnumreel.ui._context import DEFAULT_WAIT_TIMEOUT_S, Context, common_options, pass_context
from laburnumreel.ui._errors import ExitCode, UserError, raise_unreachable, raise_write_failure

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@click.group()
def key() -> None:
    """Manage callers' keys."""


@key.command()
@click.argument("customer")
@click.option("--name", default="", help="A note that identifies this key.")
@common_options
@pass_context
def grant(context: Context, customer: str, name: str) -> None:
    """Create a key for CUSTOMER and print it once; only its digest is stored."""
    secret = new_key()
    digest = key_digest(secret, context.settings.pepper)
    author = context.new_author_id()

    def edit(configuration: Configuration) -> ConfigEdits:
        if customer not in configuration.customers:
            known = ", ".join(sorted(configuration.customers)) or "none"
            raise UserError(ExitCode.USAGE, f"unknown customer {customer}; customers: {known}")
        value = {"customer": customer, "name": name, "author": author}
        return ConfigEdits({f"key/{digest}": value}, ())

    written = write_commuting_edits(context.platform, author, edit)
    if written.is_error():
        raise_write_failure(written.error)
    value = {"key": secret, "digest": digest, "customer": customer, "version": written.ok.version}
    context.print_result(value, [secret])


@key.command()
@click.option("--digest", help="The key's digest, as `key list` prints it.")
@click.option(
    "--key-file",
    type=click.File(),
    help="A file with the key itself, or - for standard input.",
)
@click.option("--wait", is_flag=True, help="Wait until every gateway has confirmed the withdrawal.")
@click.option(
    "--timeout", default=DEFAULT_WAIT_TIMEOUT_S, show_default=True, help="Maximum wait in seconds."
)
@common_options
@pass_context
def withdraw(
    context: Context, digest: str | None, key_file: TextIO | None, wait: bool, timeout: float
) -> None:
    """Withdraw a key. It stops working within seconds, also for connected callers.

    The key itself is never a command line argument, because other users of the machine can read
    those. The withdrawal is sent to the store and to every gateway. It takes effect once the store
    or a majority of the gateways has it.
    """
    if (key_file is None) == (digest is None):
        raise UserError(ExitCode.USAGE, "give either --digest or --key-file")
    if key_file is not None:
        digest = key_digest(key_file.read().strip(), context.settings.pepper)
    if not _DIGEST_PATTERN.fullmatch(digest or ""):
        raise UserError(
            ExitCode.USAGE, f"invalid key digest {digest}: 64 hexadecimal digits are expected"
        )
    gateways = list(context.settings.peers.gateways)

    def send_withdrawal(address: tuple[str, int]):
        return context.peers.withdraw_key(address, digest)

    answers = context.call_all(gateways, send_withdrawal)
    confirmed = [address for address in gateways if answers[address].is_ok()]
    stored = write_withdrawal(context.platform, context.new_author_id(), digest)
    if stored.is_error() and 2 * len(confirmed) <= len(gateways):
        raise UserError(
            ExitCode.UNREACHABLE,
            f"not applied: the store failed ({stored.error.detail or stored.error.kind}) and"
            f" {len(confirmed)} of {len(gateways)} gateways confirmed, which is not a majority",
            confirmed=len(confirmed),
        )
    if wait:
        missing = [address for address in gateways if address not in confirmed]
        context.wait_for_all(missing, send_withdrawal, lambda _: True, "withdrawal", timeout)
        confirmed = gateways
    value = {
        "digest": digest,
        "stored": stored.is_ok(),
        "confirmed": len(confirmed),
        "gateways": len(gateways),
    }
    where = "in the store" if stored.is_ok() else "not yet in the store"
    context.print_result(
        value, [f"withdrawn: {where}; {len(confirmed)} of {len(gateways)} gateways confirmed"]
    )


@key.command("list")
@common_options
@pass_context
def list_keys(context: Context) -> None:
    """Print the digests of granted keys, with their customers, and of withdrawn keys."""
    base = read_base(context.platform)
    if base.is_error():
        raise_unreachable(base.error)
    rows = [
        {"digest": entry.removeprefix("key/"), "state": "granted", **value}
        for entry, value in base.ok.configuration.entries.items()
        if entry.startswith("key/")
    ]
    after, more = "", True
    while more:
        page = context.platform.scan("withdrawn", after=after)
        if page.is_error():
            raise_unreachable(page.error)
        withdrawn_digests = {row.key for row in page.ok.rows}
        rows = [row for row in rows if row["digest"] not in withdrawn_digests]
        rows += [{"digest": r.key, "state": "withdrawn", **r.value} for r in page.ok.rows]
        after, more = page.ok.rows[-1].key if page.ok.rows else "", page.ok.more
    lines = [
        f"{row['digest']} {row['state']} {row.get('customer', '-')} {row.get('name', '')}".rstrip()
        for row in rows
    ]
    context.print_result({"keys": rows}, lines)
