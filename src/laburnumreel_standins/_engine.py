"""Stand-in of a model engine over HTTP."""

import os
import queue
import threading
import time
from collections.abc import Callable
from typing import Any

from laburnumreel.core import SystemClock
from laburnumreel_standins._engine_answers import AnswerStream, whole_answer
from laburnumreel_standins._engine_model import EngineCapacity, EngineModel, Job
from laburnumreel_standins._engine_orders import EngineOrders
from laburnumreel_standins._engine_thread import EngineThread
from laburnumreel_standins._faults import Faults
from laburnumreel_standins._http import (
    Answer,
    DropConnectionError,
    Request,
    error_answer,
    json_answer,
    silence_others,
    sleep_if_positive,
)
from laburnumreel_standins._request_log import RequestLog
from laburnumreel_standins._text import TOKENS_PER_BLOCK, Prompt

CRASH_EXIT_CODE = 13
KV_BYTES_PER_TOKEN = 16


class EngineFaults:
    """Faults of an engine beyond the faults of single calls that `Faults` describes.

    The attributes have the names that the body of `POST /standin/faults` uses.
    """

    def __init__(self) -> None:
        self.crash_on = ""
        self.crash_in_change = False
        self.silent = ""
        self.refuse = False
        self.break_streams = 0
        self.break_after = 3
        self.wrong_request_id = 0

    def use_up(self, name: str) -> bool:
        """Return whether a counted fault applies to this request, and count it down if so."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


class EngineService:
    """Service of an engine's HTTP interface, on top of an `EngineModel`.

    The model runs on a thread of its own. Requests below `/standin/` read the state of the engine
    and set its faults; faults do not apply to them.
    """

    def __init__(
        self,
        capacity: EngineCapacity,
        models: tuple[str, ...],
        role: str = "both",
        change_s: float = 0.0,
        crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE),
    ) -> None:
        self._now = SystemClock().now
        self._task = EngineThread(EngineModel(capacity, self._now(), role))
        self._orders = EngineOrders(models, role, change_s)
        # Guards `_orders`, which all request threads read and change.
        self._orders_lock = threading.Lock()
        self._request_log = RequestLog()
        self._faults = EngineFaults()
        self._call_faults = Faults()
        self._crash = crash
        self._interrupted = 0

    def answer(self, request: Request) -> Answer:
        if request.segments[0] == "standin":
            return self._handle_control(request)
        if self._faults.silent == "all":
            request.channel.silent = True
            return Answer(200, b"")
        fault = self._call_faults.next_fault(request.method, request.path)
        sleep_if_positive(fault.before_s)
        if fault.outcome == "down":
            return error_answer(503, "the engine is down")
        if fault.outcome == "lose_request":
            raise DropConnectionError
        answer = self._route(request)
        sleep_if_positive(fault.after_s)
        if fault.outcome == "lose_answer":
            raise DropConnectionError
        return answer

    def close(self) -> None:
        """Stop the thread of the model."""
        self._task.stop()

    def _route(self, request: Request) -> Answer:
        match request.method, request.segments:
            case "POST", ("v1", "completions"):
                return self._complete(request, chat=False)
            case "POST", ("v1", "chat", "completions"):
                return self._complete(request, chat=True)
            case "GET", ("v1", "models"):
                models = [
                    {"id": model, "object": "model"} for model in self._finish_due_orders().models
                ]
                return json_answer({"object": "list", "data": models})
            case "POST", ("requests", request_id, "cancel"):
                count = self._task.call(lambda model: model.cancel(request_id))
                return json_answer({"cancelled": count})
            case "GET", ("load",):
                return self._answer_load()
            case "GET", ("cache", "events"):
                return self._answer_cache_events(request.get_integer("after", 0))
            case "POST", ("orders",):
                return self._receive_order(request.json())
            case "GET", ("orders",):
                return self._describe_orders()
            case "GET" | "PUT", ("kv", prefix):
                return self._handle_kv(request, prefix)
        return error_answer(404, "no such route")

    def _complete(self, request: Request, chat: bool) -> Answer:
        request_id = request.headers.get("X-Request-Id", f"engine-{time.monotonic_ns()}")
        id_header = {"X-Request-Id": request_id}
        reason = self._refusal_reason()
        if reason:
            self._request_log.record_refusal(request_id, reason)
            return error_answer(503, reason, id_header)
        prompt = Prompt.from_body(request.json(), chat)
        if prompt.model not in self._finish_due_orders().models:
            self._request_log.record_refusal(request_id, "unknown model")
            return error_answer(404, "unknown model", id_header)
        progress_queue: queue.SimpleQueue = queue.SimpleQueue()
        job = Job(
            request_id,
            prompt.tokens,
            prompt.prefixes,
            prompt.output_tokens,
            progress_queue.put,
            request.get_integer("X-Priority", 0),
            max(0, request.get_integer("X-Resume-From", 0)),
        )
        # Read before the submit: the thread of the model may produce tokens right after it.
        start_token = job.produced
        if not self._task.call(lambda model: model.submit(job)):
            self._request_log.record_refusal(request_id, "queue full")
            return error_answer(503, "the engine's queue is full", id_header)
        run = self._request_log.record_run(request_id, request.headers)
        if self._faults.crash_on and self._faults.crash_on in prompt.text:
            self._crash()
        if self._faults.use_up("wrong_request_id"):
            request_id = f"{request_id}-of-another"
        break_after = self._faults.break_after if self._faults.use_up("break_streams") else None
        stream = AnswerStream(
            request_id,
            prompt,
            start_token,
            progress_queue,
            request.channel,
            lambda: self._task.tell(lambda model: model.cancel_job(job)),
            run,
            break_after,
        )
        headers = {"X-Request-Id": request_id}
        if not prompt.stream:
            return json_answer(whole_answer(stream), headers=headers)
        headers["Content-Type"] = "text/event-stream"
        return Answer(200, stream.events(), headers)

    def _refusal_reason(self) -> str:
        orders = self._finish_due_orders()
        if self._faults.refuse:
            return "the engine refuses work"
        if orders.is_changing_role:
            return "the engine changes its role"
        return "the engine is draining" if orders.is_draining else ""

    def _finish_due_orders(self) -> EngineOrders:
        with self._orders_lock:
            before = self._orders.role
            self._orders.finish_due(self._now())
            role = self._orders.role
        if role != before:
            self._task.call(lambda model: setattr(model, "role", role))
        return self._orders

    def _answer_load(self) -> Answer:
        orders = self._finish_due_orders()
        report = self._task.call(lambda model: model.lagged_report())
        body = report._asdict()
        body.update(role=orders.role, models=orders.models, draining=orders.is_draining)
        return json_answer(body)

    def _answer_cache_events(self, after: int) -> Answer:
        events, next_seq, gap = self._task.call(
            lambda model: model.cache.events_after(after, model.now - model.lag_s)
        )
        rows = [{"seq": event.seq, "kind": event.kind, "prefix": event.prefix} for event in events]
        return json_answer({"events": rows, "next": next_seq, "gap": gap})

    def _receive_order(self, body: dict[str, Any]) -> Answer:
        self._finish_due_orders()
        with self._orders_lock:
            order = self._orders.receive(body, self._now())
            is_changing_role = self._orders.is_changing_role
        if order.state in ("old_fence", "order_id_reused"):
            return json_answer({"order_id": order.order_id, "error": order.state}, 409)
        if order.state == "busy":
            return error_answer(503, "another order is running")
        if is_changing_role:
            # A role change interrupts all requests, so that one ordered before the engine has
            # been drained shows as broken streams.
            self._interrupted += self._task.call(lambda model: model.interrupt_all())
            if self._faults.crash_in_change:
                threading.Timer(self._orders.change_s / 2, self._crash).start()
        return json_answer({"order_id": order.order_id, "state": order.state})

    def _describe_orders(self) -> Answer:
        orders = self._finish_due_orders()
        return json_answer(
            {
                "last": None if orders.last_order is None else orders.last_order._asdict(),
                "role": orders.role,
                "models": orders.models,
                "history": [order._asdict() for order in orders.history],
            }
        )

    def _handle_kv(self, request: Request, prefix: str) -> Answer:
        if request.method == "PUT":
            self._task.call(lambda model: model.cache.store([prefix], model.now))
            return json_answer({})
        if not self._task.call(lambda model: prefix in model.cache):
            return error_answer(404, "the prefix is not cached")
        size = KV_BYTES_PER_TOKEN * TOKENS_PER_BLOCK
        return Answer(200, bytes(size), {"Content-Type": "application/octet-stream"})

    def _handle_control(self, request: Request) -> Answer:
        match request.method, request.segments[1]:
            case "GET", "state":
                return json_answer(self._describe())
            case "POST", "faults":
                self._change_faults(request)
                return json_answer(self._fault_values())
        return error_answer(404, "no such route")

    def _change_faults(self, request: Request) -> None:
        for name, value in request.json().items():
            if name in ("fence_check", "change_s"):
                setattr(self._orders, name, value)
            elif name == "lag_s":
                self._task.call(lambda model, lag_s=value: setattr(model, "lag_s", lag_s))
            elif name == "tokens_per_s":
                self._task.call(lambda model, rate=value: model.set_stream_rate(rate))
            elif name == "drop_events":
                self._task.call(lambda model, count=value: model.cache.drop_events(count))
            elif name in self._call_faults.names:
                self._call_faults.change({name: value})
            elif name == "silent":
                self._silence_connections(request, value)
            elif name in vars(self._faults):
                setattr(self._faults, name, value)
            else:
                raise ValueError(f"unknown fault: {name}")

    def _silence_connections(self, request: Request, value: Any) -> None:
        """Silence all open connections but this one, if `value` is true.

        Silenced connections stay silent. "all" or True also silences connections that open later,
        until the fault is set to a false value.
        """
        if value:
            silence_others(request.channel)
        self._faults.silent = "all" if value in (True, "all") else ""

    def _fault_values(self) -> dict[str, Any]:
        order_values = {"fence_check": self._orders.fence_check, "change_s": self._orders.change_s}
        return {**vars(self._faults), **self._call_faults.values, **order_values}

    def _describe(self) -> dict[str, Any]:
        orders = self._finish_due_orders()
        running, cached = self._task.call(lambda model: (model.running, model.cache.prefixes))
        return {
            "requests": self._request_log.describe(),
            "refused": self._request_log.refusals,
            "orders": [order._asdict() for order in orders.history],
            "role": orders.role,
            "models": orders.models,
            "draining": orders.is_draining,
            "now": self._now(),
            "running": running,
            "interrupted": self._interrupted,
            "cached_prefixes": cached,
            "faults": self._fault_values(),
        }
