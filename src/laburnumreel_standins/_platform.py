"""Stand-in of the platform over HTTP."""

from collections.abc import Callable
from typing import Any

from laburnumreel.core import SystemClock
from laburnumreel.state import CapacityOrder, Check, Host, Row, Write
from laburnumreel_standins._faults import Faults
from laburnumreel_standins._http import (
    Answer,
    BadRequestError,
    DropConnectionError,
    Request,
    error_answer,
    json_answer,
    sleep_if_positive,
)
from laburnumreel_standins._platform_state import PlatformState

_STATE_FAULTS = ("fence_check", "hosts_lag_s")


class PlatformService:
    """Service of the HTTP interface of the platform, on top of a `PlatformState`."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state
        self._faults = Faults()
        self._now = SystemClock().now
        self._call_counts: dict[str, int] = {}
        self._routes: dict[str, Callable[[Request], Answer]] = {
            "table": self._handle_table,
            "objects": self._handle_object,
            "zones": self._handle_zone,
            "usage": self._handle_usage,
            "hosts": lambda _: json_answer(
                {"hosts": [host._asdict() for host in state.hosts(self._now())]}
            ),
        }

    def answer(self, request: Request) -> Answer:
        if request.segments[0] == "standin":
            return self._handle_control(request)
        route = self._routes.get(request.segments[0])
        if route is None:
            return error_answer(404, "no such route")
        route_name = f"{request.method} /{request.segments[0]}"
        self._call_counts[route_name] = self._call_counts.get(route_name, 0) + 1
        fault = self._faults.next_fault(request.method, request.path)
        sleep_if_positive(fault.before_s)
        if fault.outcome == "down":
            return error_answer(503, "the platform is down")
        if fault.outcome == "lose_request":
            raise DropConnectionError
        answer = route(request)
        sleep_if_positive(fault.after_s)
        if fault.outcome == "lose_answer":
            raise DropConnectionError
        return answer

    def _handle_table(self, request: Request) -> Answer:
        match request.method, request.segments:
            case "POST", (_, "transact"):
                return self._transact(request.json())
            case "GET", (_, table):
                query = request.query
                page = self._state.scan(
                    table,
                    query.get("prefix", ""),
                    query.get("after", ""),
                    request.get_integer("limit", 500),
                )
                rows = [row._asdict() for row in page.rows]
                return json_answer({"rows": rows, "more": page.more})
            case "GET", (_, table, key):
                row = self._state.read(table, key)
                if row is None:
                    return error_answer(404, "no such row")
                return json_answer({"value": row.value, "version": row.version})
        return error_answer(404, "no such route")

    def _transact(self, body: dict[str, Any]) -> Answer:
        checks = [Check(**check) for check in body["checks"]]
        writes = [Write(**write) for write in body["writes"]]
        outcome = self._state.transact(checks, writes)
        if outcome.is_ok():
            return json_answer({"commit": outcome.ok})
        failed = [
            {"table": table, **(row or Row(key, None, 0))._asdict()}
            for (table, key), row in outcome.error.items()
        ]
        return json_answer({"failed": failed}, 409)

    def _handle_object(self, request: Request) -> Answer:
        name = "/".join(request.segments[1:])
        match request.method:
            case "PUT":
                self._state.put_object(name, request.body)
                return json_answer({})
            case "GET":
                body = self._state.get_object(name)
                if body is None:
                    return error_answer(404, "no such object")
                return Answer(200, body, {"Content-Type": "application/octet-stream"})
            case "DELETE":
                self._state.delete_object(name)
                return json_answer({})
        return error_answer(405, "no such method")

    def _handle_zone(self, request: Request) -> Answer:
        match request.method, request.segments:
            case "GET", (_, zone, "orders"):
                orders = [order._asdict() for order in self._state.capacity_orders(zone)]
                return json_answer({"orders": orders})
            case "POST", (_, zone, "orders"):
                order = CapacityOrder(**request.json())
                outcome = self._state.order_capacity(zone, order, self._now())
                if outcome.is_error():
                    return json_answer({"error": outcome.error}, 409)
                return json_answer({"order_id": order.order_id})
        return error_answer(404, "no such route")

    def _handle_usage(self, request: Request) -> Answer:
        match request.method, request.segments:
            case "POST", (_,):
                body = request.json()
                customer, window = body["customer"], body["window"]
                outcome = self._state.report_usage(customer, window, body["figures"], self._now())
                if outcome.is_error():
                    body = {"error": "different_figures", "figures": outcome.error}
                    return json_answer(body, 409)
                return json_answer({})
            case "GET", (_, customer, window):
                figures = self._state.read_usage(customer, window)
                if figures is None:
                    return error_answer(404, "no such report")
                return json_answer({"figures": figures})
        return error_answer(404, "no such route")

    def _handle_control(self, request: Request) -> Answer:
        state, now = self._state, self._now()
        match request.method, request.segments[1]:
            case "GET", "state":
                return json_answer(self._describe())
            case "POST", "faults":
                values = request.json()
                for name in _STATE_FAULTS:
                    if name in values:
                        setattr(state, name, values.pop(name))
                self._faults.change(values)
                return json_answer(self._faults.values)
            case "POST", "hosts":
                state.set_hosts([_parse_host(host) for host in request.json()["hosts"]], now)
                return json_answer({})
            case "POST", "spares":
                body = request.json()
                hosts = [_parse_host(host) for host in body["hosts"]]
                state.set_spares(hosts, body["arrive_s"])
                return json_answer({})
            case "POST", "capacity":
                body = request.json()
                state.deny_capacity(body["zone"], body["kind"], body["denied"])
                return json_answer({})
            case "POST", "reclaim":
                body = request.json()
                names = state.reclaim(body["zone"], body["notice_s"], now)
                return json_answer({"hosts": names})
        return error_answer(404, "no such route")

    def _describe(self) -> dict[str, Any]:
        state = self._state
        return {
            "commit": state.commit,
            "tables": state.table_sizes(),
            "objects": state.object_names,
            "order_history": [
                {**receipt._asdict(), "order": receipt.order._asdict()}
                for receipt in state.order_history
            ],
            "usage_history": [receipt._asdict() for receipt in state.usage_history],
            "faults": self._faults.values,
            "calls": dict(self._call_counts),
        }


def _parse_host(body: dict[str, Any]) -> Host:
    try:
        return Host(**{"cheap": False, "state": "live", **body})
    except TypeError as error:
        raise BadRequestError(f"a host is malformed: {error}") from error
