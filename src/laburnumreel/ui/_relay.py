"""The `relay` commands."""

import http.client
import json
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from laburnumreel.coordination import parse_address
from laburnumreel.relay import (
    RELAY_SCHEMA,
    STAGES,
    EndFinding,
    RetryWindow,
    SecondReport,
    find_ends,
    load_relay_settings,
    report_retries,
    report_seconds,
)
from laburnumreel.ui._context import Context, common_options, pass_context
from laburnumreel.ui._errors import ExitCode, UserError
from laburnumreel.ui._lists import format_table

STATUS_TIMEOUT_S = 2.0
_RETRY_DEFAULTS = {
    field.key: field.default for field in RELAY_SCHEMA.fields if field.section == "retry"
}
_HIDDEN_FIELDS = ("event", "level", "logger_name", "number", "name", "timestamp", "request")


@click.group()
def relay() -> None:
    """Inspect relay hosts: their settings, their state, and the logs of requests."""


@relay.command("check")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@common_options
@pass_context
def check(context: Context, file: Path) -> None:
    """Check a relay host's settings; print the effective values, or every error."""
    loaded = load_relay_settings(file)
    if loaded.is_error():
        raise UserError(ExitCode.CHECK_FAILED, *loaded.error)
    values = RELAY_SCHEMA.load(file).ok
    rows = [
        {"section": field.section, "key": field.key, "value": str(values[field.section][field.key])}
        for field in RELAY_SCHEMA.fields
    ]
    context.print_result({"settings": rows}, format_table(rows, ("section", "key", "value")))


@relay.command("status")
@click.argument("addresses", nargs=-1, required=True)
@common_options
@pass_context
def status(context: Context, addresses: tuple[str, ...]) -> None:
    """Print the readiness, configuration version and peers of the hosts at admin ADDRESSES."""
    rows = [_fetch_status(address) for address in addresses]
    columns = ("address", "ready", "configuration", "peers", "duties", "stopping")
    context.print_result({"hosts": rows}, format_table(rows, columns))
    versions = {row["configuration"] for row in rows}
    if len(versions) > 1 or not all(row["ready"] for row in rows):
        raise UserError(
            ExitCode.NOT_IN_FORCE, "not all hosts are ready with the same configuration"
        )


@relay.command("held")
@click.argument("addresses", nargs=-1, required=True)
@common_options
@pass_context
def held(context: Context, addresses: tuple[str, ...]) -> None:
    """Show the parts of prompts that the hosts at admin ADDRESSES hold, why, and since when."""
    rows = [
        {"address": address, **row}
        for address in addresses
        for row in _call_admin(address, "GET", "/held")["held"]
    ]
    for row in rows:
        row["back_ends"] = ",".join(row["back_ends"])
        row |= {name: round(row[name]) for name in ("held_s", "remaining_s")}
    texts = format_table(rows, tuple(rows[0])) if rows else ["no part of a prompt is held"]
    context.print_result({"held": rows}, texts)


@relay.command("release")
@click.argument("part")
@click.argument("addresses", nargs=-1, required=True)
@common_options
@pass_context
def release(context: Context, part: str, addresses: tuple[str, ...]) -> None:
    """Let a held PART go; the hosts at admin ADDRESSES tell all others."""
    path = f"/release/{quote(part, safe='')}"
    released = [each for each in addresses if _call_admin(each, "POST", path)["released"]]
    if not released:
        raise UserError(ExitCode.CHECK_FAILED, f"part {part} is not held there")
    context.print_result(
        {"released": released}, [f"{part} was let go at {each}" for each in released]
    )


@relay.command("trace")
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@common_options
@pass_context
def trace(context: Context, request_id: str, logs: tuple[Any, ...]) -> None:
    """Print all lines about one request from the LOGS of all hosts, sorted by time."""
    matching_lines = [
        line for log in logs for line in _parse_log_lines(log) if line.get("request") == request_id
    ]
    if not matching_lines:
        raise UserError(ExitCode.CHECK_FAILED, f"no log line mentions request {request_id}")
    matching_lines.sort(key=lambda line: str(line.get("timestamp")))
    texts = []
    for line in matching_lines:
        fields = {name: value for name, value in line.items() if name not in _HIDDEN_FIELDS}
        details = " ".join(f"{name}={value}" for name, value in fields.items() if value is not None)
        texts.append(f"{line.get('timestamp')} {line.get('event')}: {details}")
    context.print_result({"lines": matching_lines}, texts)


@relay.command("ends")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@common_options
@pass_context
def ends(context: Context, logs: tuple[Any, ...]) -> None:
    """Show requests without exactly one end, and what hosts ended early, from the LOGS of all hosts.

    Each log belongs to one host, or its lines begin with the names of their hosts.
    """
    lines = [pair for log in logs for pair in _parse_host_lines(log)]
    if not any(line.get("request") for _, line in lines):
        raise UserError(ExitCode.CHECK_FAILED, "the logs contain no request")
    rows = [_format_end_finding(finding) for finding in find_ends(lines)]
    texts = format_table(rows, tuple(rows[0])) if rows else ["each request has exactly one end"]
    context.print_result({"findings": rows}, texts)


@relay.command("report")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write a chart to this file.",
)
@common_options
@pass_context
def report(context: Context, logs: tuple[Any, ...], plot: Path | None) -> None:
    """Show for each second how late requests spent their time, from the LOGS of all hosts."""
    reports = report_seconds(line for log in logs for line in _parse_log_lines(log))
    if not reports:
        raise UserError(ExitCode.CHECK_FAILED, "the logs contain no finished request")
    rows = [_format_second_report(summary) for summary in reports]
    if plot is not None:
        _save_plot(reports, plot)
    context.print_result({"seconds": rows}, format_table(rows, tuple(rows[0])))


@relay.command("repeats")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option(
    "--window-s",
    type=float,
    default=_RETRY_DEFAULTS["window_s"],
    help="The window of the retry budget in seconds.",
)
@click.option(
    "--ratio",
    type=float,
    default=_RETRY_DEFAULTS["ratio"],
    help="Retries allowed for each request.",
)
@click.option(
    "--slack",
    type=float,
    default=_RETRY_DEFAULTS["slack"],
    help="Retries allowed in each window in addition.",
)
@common_options
@pass_context
def repeats(
    context: Context, logs: tuple[Any, ...], window_s: float, ratio: float, slack: float
) -> None:
    """Show for each service and second how much of the retry budget was used, from the LOGS."""
    reports = report_retries((line for log in logs for line in _parse_log_lines(log)), window_s)
    if not reports:
        raise UserError(ExitCode.CHECK_FAILED, "the logs contain no placed request")
    rows = [_format_retry_window(summary, ratio * summary.requests + slack) for summary in reports]
    context.print_result({"windows": rows}, format_table(rows, tuple(rows[0])))


def _format_retry_window(summary: RetryWindow, limit: float) -> dict[str, Any]:
    time_of_day = datetime.fromtimestamp(summary.second, UTC).strftime("%H:%M:%S")
    row = {"service": summary.service, "second": time_of_day, "requests": summary.requests}
    row |= {"repeats": summary.repeats, "limit": round(limit, 1), "allowed": summary.allowed}
    return row | {"denied": summary.denied, "least_hosts": summary.min_hosts or "-"}


def _format_end_finding(finding: EndFinding) -> dict[str, Any]:
    row = {"time": finding.timestamp[11:23], "host": finding.host, "finding": finding.finding}
    row |= {"request": finding.request or "-", "process": finding.process}
    row |= {"left_ms": "-" if finding.left_ms is None else finding.left_ms}
    row |= {"planned_work": " ".join(finding.planned_work) or "-"}
    return row | {"detail": finding.detail[:100] or "-"}


def _format_second_report(summary: SecondReport) -> dict[str, Any]:
    time_of_day = datetime.fromtimestamp(summary.second, UTC).strftime("%H:%M:%S")
    row = {"second": time_of_day, "requests": summary.requests, "late": summary.late}
    row |= {"refused": summary.refused, "lost": summary.lost}
    row |= {f"{stage}_ms": round(summary.late_ms[stage]) for stage in STAGES}
    return row | {"dearest": summary.slowest_stage or "-"}


def _save_plot(reports: list[SecondReport], file: Path) -> None:
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise UserError(ExitCode.USAGE, "--plot needs the package matplotlib") from error
    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    seconds = [summary.second - reports[0].second for summary in reports]
    bar_bottoms = [0.0] * len(reports)
    for stage in STAGES:
        # The number of late requests times their mean: the total wait that a stage caused.
        waits = [summary.late * summary.late_ms[stage] / 1000 for summary in reports]
        axes.bar(seconds, waits, bottom=bar_bottoms, label=stage.replace("_", " "))
        bar_bottoms = [
            bottom_s + wait_s for bottom_s, wait_s in zip(bar_bottoms, waits, strict=True)
        ]
    axes.set_xlabel("second of the logs")
    axes.set_ylabel("time of late requests (s)")
    axes.legend()
    figure.savefig(file)


def _parse_log_lines(log: Any) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of a log; log collectors may have prefixed each line."""
    for _, line in _parse_host_lines(log):
        yield line


def _parse_host_lines(log: Any) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the JSON objects of a log with their hosts: the last word before each, or the file."""
    for text in log:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Not one of our log lines, such as a traceback of another program.
            continue
        if isinstance(line, dict):
            prefix = text[:start].split()
            yield (prefix[-1] if prefix else Path(log.name).stem), line


def _call_admin(address: str, method: str, path: str) -> dict[str, Any]:
    """Return what a host answers at its admin address; raise `UserError` if it does not."""
    parsed_address = parse_address(address)
    if parsed_address is None:
        raise UserError(ExitCode.USAGE, f"invalid address {address}: HOST:PORT is expected")
    connection = http.client.HTTPConnection(*parsed_address, timeout=STATUS_TIMEOUT_S)
    try:
        connection.request(method, path)
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise UserError(ExitCode.UNREACHABLE, f"{address} did not answer: {error}") from error
    finally:
        connection.close()


def _fetch_status(address: str) -> dict[str, Any]:
    row = {"address": address, "ready": False, "configuration": 0, "peers": 0}
    row |= {"duties": False, "stopping": False}
    status_body = _call_admin(address, "GET", "/readyz")
    row |= {name: status_body[name] for name in ("ready", "configuration", "duties", "stopping")}
    row["peers"] = len(status_body["peers"])
    return row
