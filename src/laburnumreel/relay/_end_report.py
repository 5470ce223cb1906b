"""Report on requests without exactly one end, and on what hosts ended early, from their logs."""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Any, Literal, NamedTuple

# How long planned work of a host is reported as what came before a finding.
PLANNED_WORK_S = 3.0
# A request that ended with less time left than this ran out of time.
OUT_OF_TIME_MS = 100

ProcessState = Literal["running", "stopped", "ended"]

_END_NAMES = ("request_served", "request_refused", "request_lost")
_PLANNED_WORK_NAMES = (
    "relay_started",
    "relay_stopping",
    "relay_settings_reloaded",
    "relay_configured",
)
_FAULT_NAMES = (
    "caller_cut",
    "http_server_problem",
    "relay_request_failed",
    "relay_stop_incomplete",
    "task_failed",
)
_DETAIL_FIELDS = ("kind", "reason", "trouble", "detail", "error", "unhandled")

_Line = Mapping[str, Any]


class EndFinding(NamedTuple):
    """A request without exactly one end, or a line on something that its host ended early.

    `finding` is `no_end`, `several_ends` or the name of the line. `process` is the state of the
    host's process after the last line of the finding: a process that is `ended` logged no planned
    stop. `planned_work` names the planned work that the host logged within `PLANNED_WORK_S` before.
    """

    timestamp: str
    host: str
    request: str
    finding: str
    detail: str
    left_ms: int | None
    process: ProcessState
    planned_work: tuple[str, ...]


class _Process(NamedTuple):
    lines: list[_Line]
    state: ProcessState


def find_ends(lines: Iterable[tuple[str, _Line]]) -> list[EndFinding]:
    """Return the findings in pairs of a host and a line of its log, sorted by time.

    Left out are requests that were lost when their time was over or their caller had gone.

    >>> started = {"name": "relay_started", "timestamp": "2026-01-01T00:00:00Z"}
    >>> placed = {"name": "request_placed", "request": "r", "timestamp": "2026-01-01T00:00:01Z"}
    >>> [(each.finding, each.process) for each in find_ends([("a", started), ("a", placed)])]
    [('no_end', 'running')]
    """
    lines_by_host: dict[str, list[_Line]] = defaultdict(list)
    for host, line in lines:
        if isinstance(line.get("timestamp"), str):
            lines_by_host[host].append(line)
    findings = []
    for host, host_lines in lines_by_host.items():
        for process in _split_processes(host_lines):
            findings += _find_in_process(host, process)
    return sorted(findings, key=lambda finding: finding.timestamp)


def _split_processes(lines: Iterable[_Line]) -> list[_Process]:
    """Divide the lines of a host among its processes, which ran one after the other.

    The lines keep their order in the log: the time of day may have jumped.
    """
    groups: list[list[_Line]] = [[]]
    for line in lines:
        if line.get("name") == "relay_started" and groups[-1]:
            groups.append([])
        groups[-1].append(line)
    processes = []
    for number, group in enumerate(groups, 1):
        state: ProcessState = "running" if number == len(groups) else "ended"
        if any(line.get("name") == "relay_stopped" for line in group):
            state = "stopped"
        processes.append(_Process(group, state))
    return processes


def _find_in_process(host: str, process: _Process) -> list[EndFinding]:
    findings: list[EndFinding] = []
    planned_work: deque[_Line] = deque()
    by_request: dict[str, list[_Line]] = defaultdict(list)
    last_work: dict[str, tuple[str, ...]] = {}

    def add(line: _Line, finding: str, detail: str, work: tuple[str, ...]) -> None:
        request, left_ms = str(line.get("request") or ""), line.get("left_ms")
        timestamp = str(line["timestamp"])
        findings.append(
            EndFinding(timestamp, host, request, finding, detail, left_ms, process.state, work)
        )

    for line in process.lines:
        name, at = str(line.get("name")), _seconds(line)
        while planned_work and at - _seconds(planned_work[0]) > PLANNED_WORK_S:
            planned_work.popleft()
        work = tuple(dict.fromkeys(str(each["name"]) for each in planned_work))
        if name in _PLANNED_WORK_NAMES:
            planned_work.append(line)
        if line.get("request"):
            by_request[str(line["request"])].append(line)
            last_work[str(line["request"])] = work
        if name in _FAULT_NAMES or _is_early_loss(line) or _leaves_unhandled(line):
            add(line, name, _detail(line), work)
    for request, lines in by_request.items():
        ends = [line for line in lines if line.get("name") in _END_NAMES]
        if len(ends) != 1:
            finding = "several_ends" if ends else "no_end"
            names = " ".join(str(line.get("name")) for line in ends or lines)
            add(lines[-1], finding, names, last_work[request])
    return findings


def _is_early_loss(line: _Line) -> bool:
    if line.get("name") != "request_lost" or line.get("kind") == "caller_gone":
        return False
    left_ms = line.get("left_ms")
    return left_ms is None or left_ms > OUT_OF_TIME_MS


def _leaves_unhandled(line: _Line) -> bool:
    return line.get("name") == "relay_stopped" and bool(line.get("unhandled"))


def _detail(line: _Line) -> str:
    return " ".join(f"{name}={line[name]}" for name in _DETAIL_FIELDS if line.get(name))


def _seconds(line: _Line) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()
