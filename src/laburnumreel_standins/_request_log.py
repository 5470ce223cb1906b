"""Record of the requests that an engine received, for assertions in tests."""

import threading
from collections import OrderedDict
from typing import Any

MAX_KEPT_REQUESTS = 20_000
MAX_KEPT_RUNS = 8


class Run:
    """One run of a request, with the number of its new tokens.

    `outcome` is "running", "done", "cancelled", "interrupted" or "gone" (the caller disconnected).
    """

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = headers
        self.tokens = 0
        self.outcome = "running"


class RequestLog:
    """Number of runs of each request id, with the headers and outcomes of its first runs.

    Keeps the newest `MAX_KEPT_REQUESTS` request ids and the first `MAX_KEPT_RUNS` runs of each.
    """

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
        """Record the start of a run and return its record, which the caller updates."""
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
        """Record a request that was refused without a run."""
        with self._lock:
            self._refusals[reason] = self._refusals.get(reason, 0) + 1

    def describe(self) -> dict[str, Any]:
        """Return the records by request id, as a JSON object."""
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
