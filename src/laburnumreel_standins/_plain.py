"""Stand-in of a plain service over HTTP: a small bookings service."""

import json
import os
import threading
from collections.abc import Callable
from typing import Any

from laburnumreel_standins._http import (
    Answer,
    DropConnectionError,
    Request,
    error_answer,
    json_answer,
    silence_others,
    sleep_if_positive,
)

CRASH_EXIT_CODE = 13


class PlainService:
    """Service of orders, bookings and opening hours. A booking is not idempotent.

    Counted faults hit the next N requests outside `/standin/`: `drop_before` and `drop_after`
    (the connection is dropped before or after the effect), `short_body` (the body is truncated),
    `wrong_request_id`, `refuse` (503 without an effect). `delay_s` delays the effect and
    `delay_after_s` the answer. `crash_on` ends the process on a request whose path or body
    contains the text. `silent` has the same meaning as for an engine.
    """

    _COUNTED_FAULTS = ("drop_before", "drop_after", "short_body", "wrong_request_id", "refuse")

    def __init__(self, crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE)) -> None:
        self._crash = crash
        self._lock = threading.Lock()
        self._faults: dict[str, Any] = {
            **dict.fromkeys(self._COUNTED_FAULTS, 0),
            "delay_s": 0.0,
            "delay_after_s": 0.0,
            "crash_on": "",
            "silent": "",
        }
        self._bookings: list[dict[str, Any]] = []
        self._run_counts: dict[str, int] = {}
        self._headers: dict[str, list[dict[str, str]]] = {}
        self._targets: list[str] = []

    def answer(self, request: Request) -> Answer:
        if request.segments[0] == "standin":
            return self._handle_control(request)
        if self._faults["silent"] == "all":
            request.channel.silent = True
            return Answer(200, b"")
        request_id = request.headers.get("X-Request-Id", "")
        sleep_if_positive(self._faults["delay_s"])
        if self._use_up_fault("refuse"):
            return error_answer(503, "the service refuses work", {"X-Request-Id": request_id})
        if self._use_up_fault("drop_before"):
            raise DropConnectionError
        text = self._faults["crash_on"].encode()
        if text and (text in request.body or text in request.path.encode()):
            self._crash()
        answer = self._run_request(request, request_id)
        sleep_if_positive(self._faults["delay_after_s"])
        if self._use_up_fault("drop_after"):
            raise DropConnectionError
        return self._apply_answer_faults(answer, request_id)

    def _use_up_fault(self, name: str) -> bool:
        with self._lock:
            if self._faults[name] <= 0:
                return False
            self._faults[name] -= 1
            return True

    def _run_request(self, request: Request, request_id: str) -> Answer:
        with self._lock:
            self._run_counts[request_id] = self._run_counts.get(request_id, 0) + 1
            self._headers.setdefault(request_id, []).append(request.headers)
            self._targets.append(request.target)
        match request.method, request.segments:
            case "GET", ("public" | "orders", "hours"):
                return json_answer({"opens": "07:00", "closes": "19:00"})
            case "GET", ("orders", order_id):
                return json_answer({"order": order_id, "state": "under way"})
            case "POST", ("bookings",) | ("orders", "bookings"):
                return self._book(request, request_id)
        return error_answer(404, "no such route")

    def _book(self, request: Request, request_id: str) -> Answer:
        with self._lock:
            number = len(self._bookings) + 1
            booking = {"booking": number, "request_id": request_id}
            self._bookings.append({**booking, "body": request.body.decode(errors="replace")})
        return json_answer(booking, 201)

    def _apply_answer_faults(self, answer: Answer, request_id: str) -> Answer:
        if self._use_up_fault("wrong_request_id"):
            request_id = f"{request_id}-of-another"
        headers = {**answer.headers, "X-Request-Id": request_id}
        if not self._use_up_fault("short_body"):
            return Answer(answer.status, answer.body, headers)
        headers["Content-Length"] = str(len(answer.body))
        return Answer(answer.status, iter([answer.body[: len(answer.body) // 2]]), headers)

    def _handle_control(self, request: Request) -> Answer:
        match request.method, request.segments[1]:
            case "POST", "faults":
                return self._change_faults(request)
            case "GET", "state":
                with self._lock:
                    return json_answer(
                        {
                            "bookings": self._bookings,
                            "runs": self._run_counts,
                            "headers": self._headers,
                            "targets": self._targets,
                            "faults": self._faults,
                        }
                    )
        return error_answer(404, "no such route")

    def _change_faults(self, request: Request) -> Answer:
        values = request.json()
        unknown = set(values) - set(self._faults)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        if values.get("silent"):
            silence_others(request.channel)
            values["silent"] = "all" if values["silent"] in (True, "all") else ""
        with self._lock:
            self._faults.update(values)
            return Answer(200, json.dumps(self._faults).encode())
