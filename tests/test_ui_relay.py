"""Tests of the operators' commands for relay hosts."""

import json

import pytest
from click.testing import CliRunner
from platform_world import World

from laburnumreel.ui import cli
from laburnumreel.ui._context import Context, run_command_group


def run(capsys, *arguments):
    """Run a command and return its exit code, standard output and standard error."""
    code = run_command_group(cli, [str(word) for word in arguments])
    out, err = capsys.readouterr()
    return code, out, err


VALID_SETTINGS = """
[host]
name = front-1
zone = zone-a
region = region-a
[listen]
callers = 127.0.0.1:80
readiness = 127.0.0.1:81
admin = 127.0.0.1:82
peers = 127.0.0.1:83
[store]
address = 127.0.0.1:84
[duties]
address = 127.0.0.1:85
"""


def test_check_prints_effective_settings(tmp_path, capsys):
    file = tmp_path / "relay.ini"
    file.write_text(VALID_SETTINGS)
    code, out, _ = run(capsys, "relay", "check", file)
    assert code == 0 and "window_s" in out and "front-1" in out


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("name = front-1", "name =", "[host] name: found ''"),
        ("zone = zone-a", "zone = zone-a\nregions = a", "NAME=VALUE"),
        ("[duties]", "[lease]\nterm_s = 1\nmargin_s = 0.6\n[duties]", "more than twice margin_s"),
        ("peers = 127.0.0.1:83", "peers = 127.0.0.1:99999", "HOST:PORT"),
        ("[store]", "[stores]\nx = 1\n[store]", "an unknown section"),
    ],
)
def test_check_error_names_file_key_and_allowed_values(tmp_path, capsys, old, new, expected):
    file = tmp_path / "relay.ini"
    file.write_text(VALID_SETTINGS.replace(old, new))
    code, _, err = run(capsys, "relay", "check", file)
    assert code == 2 and expected in err and "relay.ini" in err


def test_trace_sorts_the_lines_of_all_hosts_by_time(tmp_path, capsys):
    def line(timestamp, request, event):
        return json.dumps({"timestamp": timestamp, "request": request, "event": event, "sends": 1})

    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(f"{line('2', 'r1', 'placed')}\nnot json {{\n{line('1', 'r2', 'other')}\n")
    second.write_text(f"  12.5 front-b {line('1', 'r1', 'refused')}\n")
    code, out, _ = run(capsys, "relay", "trace", "r1", first, second)
    assert code == 0
    assert [text.split()[1] for text in out.splitlines()] == ["refused:", "placed:"]
    assert run(capsys, "relay", "trace", "r9", first)[0] == 2


@pytest.mark.processes
def test_status_prints_ready_hosts_and_fails_on_stopped_ones(tmp_path, capsys):
    world = World(tmp_path)
    try:
        host = world.start_relay()
        code, out, _ = run(capsys, "--json", "relay", "status", f"{host.host}:{host.admin_port}")
        row = json.loads(out)["hosts"][0]
        assert code == 0 and row["ready"] and row["configuration"] == 1
        host.end()
        assert run(capsys, "relay", "status", f"{host.host}:{host.admin_port}")[0] == 3
    finally:
        world.end()


def test_help_lists_the_commands():
    help_text = CliRunner().invoke(cli, ["relay", "--help"], obj=Context()).output
    assert all(word in help_text for word in ("check", "status", "trace", "ends"))


def log_lines(request, waited_ms, first_ms, took_ms, on_time, second=0):
    """Return the log lines of a request that was placed after each of `waited_ms` milliseconds."""
    timestamp = f"2026-01-01T00:00:{second + took_ms / 1000:09.6f}Z"
    lines = [
        {"name": "request_placed", "request": request, "timestamp": timestamp, "waited_ms": wait_ms}
        for wait_ms in waited_ms
    ]
    end = {"name": "request_served", "request": request, "timestamp": timestamp, "took_ms": took_ms}
    return [*lines, end | {"first_ms": first_ms, "on_time": on_time}]


def test_report_breaks_down_late_requests_by_second_and_stage(tmp_path, capsys):
    lines = log_lines("r1", [300, 400], 450, 460, False)
    lines += log_lines("r2", [0, 50], 60, 70, True)
    lines += log_lines("r3", [10, 900], 930, 940, False, second=2)
    lines.append(
        {
            "name": "request_refused",
            "request": "r4",
            "timestamp": "2026-01-01T00:00:02.900000Z",
            "waited_ms": 500,
        }
    )
    log = tmp_path / "host.log"
    log.write_text("".join(f"7.0 front-1 {json.dumps(line)}\n" for line in lines) + "{broken\n")
    code, out, _ = run(capsys, "relay", "report", log, "--json", "--plot", tmp_path / "late.png")
    rows = json.loads(out)["seconds"]
    assert code == 0 and [row["second"] for row in rows] == ["00:00:00", "00:00:02"]
    first, last = rows
    assert (first["requests"], first["late"], first["dearest"]) == (2, 1, "held")
    assert (first["held_ms"], first["read_ms"], first["first_token_ms"]) == (300, 100, 50)
    assert (last["late"], last["refused"], last["dearest"]) == (1, 1, "read")
    assert (tmp_path / "late.png").stat().st_size > 0


class TestEnds:
    """`relay ends`, which shows requests without exactly one end."""

    @staticmethod
    def line(second, name, request=None, **fields):
        timestamp = f"2026-01-01T00:00:{second:06.3f}000Z"
        return {"timestamp": timestamp, "name": name, "request": request, **fields}

    @staticmethod
    def find(capsys, *logs):
        code, out, _ = run(capsys, "--json", "relay", "ends", *logs)
        assert code == 0
        return json.loads(out)["findings"]

    @staticmethod
    def write(file, lines, prefix=""):
        file.write_text("".join(f"{prefix}{json.dumps(line)}\n" for line in lines))
        return file

    def test_requests_without_exactly_one_end(self, tmp_path, capsys):
        line = self.line
        lines = [line(0, "relay_started")]
        lines += [line(1, "request_placed", "whole"), line(2, "request_served", "whole")]
        lines += [line(1, "request_placed", "none")]
        lines += [line(2, "request_refused", "twice"), line(3, "request_served", "twice")]
        found = self.find(capsys, self.write(tmp_path / "a.log", lines))
        assert [(row["request"], row["finding"], row["host"]) for row in found] == [
            ("none", "no_end", "a"),
            ("twice", "several_ends", "a"),
        ]
        assert found[1]["detail"] == "request_refused request_served"

    def test_processes_of_a_host_are_told_apart(self, tmp_path, capsys):
        line = self.line
        lines = []
        for second, stop in ((0, "relay_stopped"), (10, "relay_ready"), (20, "relay_ready")):
            lines += [line(second, "relay_started")]
            lines += [line(second + 5, "request_placed", f"r{second}"), line(second + 6, stop)]
        found = self.find(capsys, self.write(tmp_path / "all.log", lines, "  1.5 front-1 "))
        assert [(row["host"], row["process"]) for row in found] == [
            ("front-1", "stopped"),
            ("front-1", "ended"),
            ("front-1", "running"),
        ]

    def test_losses_with_time_left_are_shown_with_the_planned_work_before(self, tmp_path, capsys):
        line = self.line
        lines = [line(1, "relay_stopping"), line(3, "relay_configured")]
        lines += [line(5, "request_lost", "early", kind="back_end_failed", left_ms=900)]
        lines += [line(5, "request_lost", "late", kind="back_end_timeout", left_ms=0)]
        lines += [line(5, "request_lost", "left", kind="caller_gone", left_ms=900)]
        lines += [line(7, "caller_cut", reason="stop"), line(8, "relay_stopped", unhandled=1)]
        first = self.write(tmp_path / "a.log", lines)
        second = self.write(tmp_path / "b.log", [line(4, "relay_configured")])
        found = self.find(capsys, first, second)
        assert [(row["finding"], row["planned_work"], row["detail"]) for row in found] == [
            ("request_lost", "relay_configured", "kind=back_end_failed"),
            ("caller_cut", "-", "reason=stop"),
            ("relay_stopped", "-", "unhandled=1"),
        ]

    def test_logs_without_findings_or_requests(self, tmp_path, capsys):
        served = self.write(tmp_path / "a.log", [self.line(1, "request_served", "r")])
        code, out, _ = run(capsys, "relay", "ends", served)
        assert (code, out) == (0, "each request has exactly one end\n")
        (tmp_path / "b.log").write_text("nothing\n")
        assert run(capsys, "relay", "ends", tmp_path / "b.log")[0] == 2


def test_report_without_requests_is_an_error(tmp_path, capsys):
    log = tmp_path / "host.log"
    log.write_text("nothing\n")
    assert run(capsys, "relay", "report", log)[0] == 2


def test_retries_of_all_hosts_are_summed(tmp_path, capsys):
    def line(second, name, request, **fields):
        timestamp = f"2026-01-01T00:00:{second:02}.5Z"
        fields |= {"timestamp": timestamp, "name": name, "request": request, "service": "s"}
        return json.dumps(fields) + "\n"

    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        line(1, "request_placed", "r1")
        + line(2, "repeat_decided", "r1", allowed=True, hosts=3)
        + line(2, "request_placed", "r1")
        + line(2, "request_repeated", "r1")
    )
    second.write_text(
        line(2, "request_placed", "r2")
        + line(12, "repeat_decided", "r2", allowed=False, hosts=2)
        + line(40, "request_repeated", "r9")
    )
    code, out, _ = run(
        capsys, "--json", "relay", "repeats", "--ratio", "0.5", "--slack", "1", first, second
    )
    keys = ("requests", "repeats", "limit", "allowed", "denied", "least_hosts")
    rows = [tuple(row[key] for key in keys) for row in json.loads(out)["windows"]]
    assert code == 0
    assert rows[:2] == [(1, 0, 1.5, 0, 0, "-"), (2, 1, 2.0, 1, 0, 3)]
    assert rows[2:] == [(0, 0, 1.0, 0, 1, 2), (0, 1, 1.0, 0, 0, "-")]
    assert run(capsys, "relay", "repeats", tmp_path / "a.log")[0] == 0
