"""Report on the retries that all hosts made together, from their log lines."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Any, NamedTuple


class RetryWindow(NamedTuple):
    """One service's requests and repeated sends in the window that ends with `second`.

    `second` is in seconds of the Unix epoch. `allowed` and `denied` count decisions of the retry
    budget. `min_hosts` is the minimum number of hosts that such a decision was based on, or 0 if
    there was none.
    """

    service: str
    second: int
    requests: int
    repeats: int
    allowed: int
    denied: int
    min_hosts: int


def report_retries(lines: Iterable[Mapping[str, Any]], window_s: float) -> list[RetryWindow]:
    """Return the windows of each service, one per second, sorted by service and time.

    >>> placed = {"name": "request_placed", "service": "s", "timestamp": "2026-01-01T00:00:00.2Z"}
    >>> again = {"name": "request_repeated", "service": "s", "timestamp": "2026-01-01T00:00:00.9Z"}
    >>> lines = [placed | {"request": "a"}, placed | {"request": "b"}, again | {"request": "a"}]
    >>> [(each.requests, each.repeats) for each in report_retries(lines, 10.0)]
    [(2, 1)]
    """
    times: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    hosts: dict[str, list[tuple[float, int]]] = defaultdict(list)
    seen: set[str] = set()
    for line in sorted(lines, key=lambda each: str(each.get("timestamp"))):
        kind = _kind(line)
        if kind is None:
            continue
        if kind == "requests" and line["request"] in seen:
            continue
        seen.add(line["request"])
        at, service = datetime.fromisoformat(line["timestamp"]).timestamp(), str(line["service"])
        times[service][kind].append(at)
        if line.get("hosts"):
            hosts[service].append((at, int(line["hosts"])))
    return [
        _window(service, second, kinds, hosts[service], window_s)
        for service, kinds in sorted(times.items())
        for second in sorted({int(at) for each in kinds.values() for at in each})
    ]


def _kind(line: Mapping[str, Any]) -> str | None:
    if not line.get("service") or not line.get("request"):
        return None
    if line.get("name") == "repeat_decided":
        return "allowed" if line.get("allowed") else "denied"
    return {"request_placed": "requests", "request_repeated": "repeats"}.get(str(line.get("name")))


def _window(
    service: str,
    second: int,
    kinds: Mapping[str, list[float]],
    hosts: list[tuple[float, int]],
    window_s: float,
) -> RetryWindow:
    begin, end = second + 1 - window_s, second + 1.0
    counts = {
        kind: bisect_left(times, end) - bisect_right(times, begin) for kind, times in kinds.items()
    }
    min_hosts = min((count for at, count in hosts if begin < at < end), default=0)
    kind_names = ("requests", "repeats", "allowed", "denied")
    return RetryWindow(service, second, *(counts.get(name, 0) for name in kind_names), min_hosts)
