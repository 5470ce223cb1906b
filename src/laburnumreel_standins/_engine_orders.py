"""Orders to an engine (load, unload, role, drain), with an optional check of fencing numbers."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel_standins._engine_model import ROLE_SPEED_FACTORS

ACTIONS = ("load", "unload", "role", "drain")


class Order(NamedTuple):
    """An order as it was received, at the time `at`.

    `state` is "running", "done", "failed" or the reason of a refusal.
    """

    order_id: str
    fence: int
    action: str
    arguments: dict[str, Any]
    at: float
    state: str


class EngineOrders:
    """Orders that an engine received, and the role, models and drain state that result.

    A role change and a load take `change_s` seconds; `finish_due` finishes them. An order with
    an id that was accepted before has no second effect.
    """

    def __init__(self, models: tuple[str, ...], role: str, change_s: float) -> None:
        self.fence_check = True
        self.change_s = change_s
        self._models = list(models)
        self._role = role
        self._is_draining = False
        self._highest_fence = 0
        self._accepted: dict[str, Order] = {}
        self._last_id: str | None = None
        self._history: list[Order] = []
        self._running_id: str | None = None
        self._finished_at = 0.0

    @property
    def models(self) -> list[str]:
        return list(self._models)

    @property
    def role(self) -> str:
        return self._role

    @property
    def is_draining(self) -> bool:
        return self._is_draining

    @property
    def is_changing_role(self) -> bool:
        """Whether a role change is running."""
        return self._running_id is not None and self._accepted[self._running_id].action == "role"

    @property
    def last_order(self) -> Order | None:
        return None if self._last_id is None else self._accepted[self._last_id]

    @property
    def history(self) -> list[Order]:
        """All orders received, with their state at that time.

        Refused and repeated orders are included.
        """
        return list(self._history)

    def receive(self, body: Mapping[str, Any], now: float) -> Order:
        """Accept or refuse an order and return it with its state.

        The state of a refused order is "old_fence", "busy" or "order_id_reused". A repeated order
        gets its current state. Raises KeyError, TypeError or ValueError if `body` is malformed.
        """
        order = Order(
            body["order_id"], body["fence"], body["action"], dict(body["arguments"]), now, ""
        )
        _check_order(order)
        self.finish_due(now)
        order = order._replace(state=self._decide_state(order))
        self._history.append(order)
        if order.state in ("running", "done"):
            earlier = self._accepted.get(order.order_id)
            if earlier is not None:
                return earlier
            self._accept(order, now)
        return order

    def finish_due(self, now: float) -> None:
        """Finish the running order if it is due at `now`."""
        if self._running_id is not None and now >= self._finished_at:
            order = self._accepted[self._running_id]
            self._running_id = None
            self._accepted[order.order_id] = order._replace(state="done")
            self._apply(order)

    def _decide_state(self, order: Order) -> str:
        if self.fence_check and order.fence < self._highest_fence:
            return "old_fence"
        earlier = self._accepted.get(order.order_id)
        if earlier is not None:
            is_same = earlier[:4] == order[:4]
            return earlier.state if is_same else "order_id_reused"
        if self._running_id is not None:
            return "busy"
        return "running" if order.action in ("role", "load") and self.change_s > 0 else "done"

    def _accept(self, order: Order, now: float) -> None:
        self._highest_fence = max(self._highest_fence, order.fence)
        self._accepted[order.order_id] = order
        self._last_id = order.order_id
        if order.state == "running":
            self._running_id = order.order_id
            self._finished_at = now + self.change_s
        else:
            self._apply(order)

    def _apply(self, order: Order) -> None:
        arguments = order.arguments
        match order.action:
            case "load" if arguments["model"] not in self._models:
                self._models.append(arguments["model"])
            case "unload" if arguments["model"] in self._models:
                self._models.remove(arguments["model"])
            case "role":
                self._role = arguments["role"]
            case "drain":
                self._is_draining = bool(arguments.get("on", True))


def _check_order(order: Order) -> None:
    if not isinstance(order.order_id, str) or not isinstance(order.fence, int):
        raise ValueError("order_id is not a text or fence is not a whole number")
    if order.action not in ACTIONS:
        raise ValueError(f"action is not one of {ACTIONS}")
    if order.action == "role" and order.arguments["role"] not in ROLE_SPEED_FACTORS:
        raise ValueError(f"role is not one of {sorted(ROLE_SPEED_FACTORS)}")
    if order.action in ("load", "unload") and not isinstance(order.arguments["model"], str):
        raise ValueError("model is not a text")
