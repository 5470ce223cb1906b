"""Report on how long each stage of requests took, from the log lines of all hosts."""

from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Any, Literal, NamedTuple

Stage = Literal["held", "read", "first_token", "answer"]

# The stages of a request in order: until a slot was assigned, until the prompt was read and the
# generating engine was assigned, until the first token, and until the end.
STAGES: tuple[Stage, ...] = ("held", "read", "first_token", "answer")


class RequestTimes(NamedTuple):
    """The times of one request by its host's log; `arrived_at` is in seconds of the Unix epoch."""

    arrived_at: float
    outcome: Literal["on_time", "late", "refused", "lost"]
    stages_ms: Mapping[Stage, float]


class SecondReport(NamedTuple):
    """The requests that arrived in one second, and the mean stage times of the late ones in ms."""

    second: int
    requests: int
    late: int
    refused: int
    lost: int
    late_ms: Mapping[Stage, float]

    @property
    def slowest_stage(self) -> Stage | None:
        """The stage that took most of the late requests' time, or None if none was late."""
        return max(STAGES, key=lambda stage: self.late_ms[stage]) if self.late else None


def report_seconds(lines: Iterable[Mapping[str, Any]]) -> list[SecondReport]:
    """Return a report for each second in which a request arrived, sorted by time.

    >>> placed = {"name": "request_placed", "request": "r", "timestamp": "2026-01-01T00:00:00.2Z"}
    >>> served = {"name": "request_served", "request": "r", "timestamp": "2026-01-01T00:00:00.9Z"}
    >>> lines = [placed | {"waited_ms": 100}, served | {"took_ms": 800, "on_time": False}]
    >>> [(report.late, report.slowest_stage) for report in report_seconds(lines)]
    [(1, 'first_token')]
    """
    by_request: dict[str, list[Mapping[str, Any]]] = {}
    for line in lines:
        if line.get("request") and isinstance(line.get("timestamp"), str):
            by_request.setdefault(str(line["request"]), []).append(line)
    seconds: dict[int, list[RequestTimes]] = {}
    for each in by_request.values():
        times = request_times(each)
        if times is not None:
            seconds.setdefault(int(times.arrived_at), []).append(times)
    return [_second(second, seconds[second]) for second in sorted(seconds)]


def request_times(lines: Iterable[Mapping[str, Any]]) -> RequestTimes | None:
    """Return the stage times of one request, or None if its end is not in the lines."""
    ends = {"request_served": "served", "request_refused": "refused", "request_lost": "lost"}
    end = next((line for line in lines if line.get("name") in ends), None)
    if end is None:
        return None
    took_ms = float(end.get("took_ms") or end.get("waited_ms") or 0.0)
    arrived_at = datetime.fromisoformat(end["timestamp"]).timestamp() - took_ms / 1000
    outcome = ends[end["name"]]
    if outcome == "served":
        outcome = "late" if end.get("on_time") is False else "on_time"
    placed = [
        float(line.get("waited_ms") or 0.0)
        for line in lines
        if line.get("name") == "request_placed"
    ]
    # A request whose prompt is read by another engine is placed twice, more often after failures.
    marks = [
        min(placed, default=took_ms),
        max(placed, default=took_ms),
        float(end.get("first_ms") or took_ms),
        took_ms,
    ]
    stages, before = {}, 0.0
    for stage, mark in zip(STAGES, marks, strict=True):
        stages[stage] = max(0.0, mark - before)
        before = max(before, mark)
    return RequestTimes(arrived_at, outcome, stages)


def _second(second: int, requests: list[RequestTimes]) -> SecondReport:
    late = [each for each in requests if each.outcome == "late"]
    late_ms = {
        stage: sum(each.stages_ms[stage] for each in late) / max(1, len(late)) for stage in STAGES
    }
    refused = sum(1 for each in requests if each.outcome == "refused")
    lost = sum(1 for each in requests if each.outcome == "lost")
    return SecondReport(second, len(requests), len(late), refused, lost, late_ms)
