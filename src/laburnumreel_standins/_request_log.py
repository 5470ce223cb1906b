"""What an engine remembers of the requests that it ran, for tests."""

import threading
from collections import OrderedDict
from typing import Any

MAX_KEPT_REQUESTS = 20_000
MAX_KEPT_RUNS = 8


class Run:
    """One run of a request. `outcome` is running, done, cancelled, interrupted or gone."""

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = headers
        self.tokens = 0
        self.outcome = "running"


class RequestLog:
    """Counts how often each request id ran and keeps the headers of its first runs."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: OrderedDict[str, int] = OrderedDict()
        self._runs: dict[str, list[Run]] = {}
        self._refusals: dict[str, int] = {}

    @property
    def refusals(self) -> dict[str, int]:
        """The number of refused requests by reason."""
        with self._lock:
            return dict(self._refusals)

    def record_run(self, request_id: str, headers: dict[str, str]) -> Run:
        """Count a run."""
        run = Run(dict(headers))
        with self._lock:
            self._counts[request_id] = self._counts.get(request_id, 0) + 1
            runs = self._runs.setdefault(request_id, [])
            if len(runs) < MAX_KEPT_RUNS:
                runs.append(run)
            while len(self._counts) > MAX_KEPT_REQUESTS:
                oldest, _ = self._counts.popitem(last=False)
                del self._runs[oldest]
        return run

    def record_refusal(self, request_id: str, reason: str) -> None:
        """Count a request that did not run."""
        with self._lock:
            self._refusals[reason] = self._refusals.get(reason, 0) + 1

    def describe(self) -> dict[str, Any]:
        """Return all requests by id."""
        with self._lock:
            return {
                request_id: {
                    "runs": count,
                    "headers": [run.headers for run in self._runs[request_id]],
                    "tokens": [run.tokens for run in self._runs[request_id]],
                    "outcomes": [run.outcome for run in self._runs[request_id]],
                }
                for request_id, count in self._counts.items()
            }
