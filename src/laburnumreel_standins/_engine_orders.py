"""An engine's orders: models, role and drain, with or without a check of fencing numbers."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel_standins._engine_model import ROLE_SPEEDS

ACTIONS = ("load", "unload", "role", "drain")


class Order(NamedTuple):
    """An order as it was received. `state` is running, done, failed or a refusal."""

    order_id: str
    fence: int
    action: str
    arguments: dict[str, Any]
    at: float
    state: str


class EngineOrders:
    """The orders that an engine received, and what they made of it.

    A role change and a load take an engine's time; `settle` finishes them. An order id that was
    received before has no second effect.
    """

    def __init__(self, models: tuple[str, ...], role: str, change_s: float) -> None:
        self.fence_check = True
        self.change_s = change_s
        self._models = list(models)
        self._role = role
        self._draining = False
        self._highest_fence = 0
        self._accepted: dict[str, Order] = {}
        self._last: str | None = None
        self._history: list[Order] = []
        self._running: str | None = None
        self._ready_at = 0.0

    @property
    def models(self) -> list[str]:
        return list(self._models)

    @property
    def role(self) -> str:
        return self._role

    @property
    def draining(self) -> bool:
        return self._draining

    @property
    def changing(self) -> bool:
        """Whether a role change is running."""
        return self._running is not None and self._accepted[self._running].action == "role"

    @property
    def last(self) -> Order | None:
        return None if self._last is None else self._accepted[self._last]

    @property
    def history(self) -> list[Order]:
        """All orders received, refused and repeated ones included, with their state on receipt."""
        return list(self._history)

    def receive(self, body: Mapping[str, Any], now: float) -> Order:
        """Accept or refuse an order and return it with its state.

        A refusal's state is "old_fence", "busy" or "order_id_reused".
        """
        order = Order(
            body["order_id"], body["fence"], body["action"], dict(body["arguments"]), now, ""
        )
        _check(order)
        self.settle(now)
        order = order._replace(state=self._outcome(order))
        self._history.append(order)
        if order.state in ("running", "done"):
            earlier = self._accepted.get(order.order_id)
            if earlier is not None:
                return earlier
            self._accept(order, now)
        return order

    def settle(self, now: float) -> None:
        """Finish the running order if its time has come."""
        if self._running is not None and now >= self._ready_at:
            order = self._accepted[self._running]
            self._running = None
            self._accepted[order.order_id] = order._replace(state="done")
            self._apply(order)

    def _outcome(self, order: Order) -> str:
        if self.fence_check and order.fence < self._highest_fence:
            return "old_fence"
        earlier = self._accepted.get(order.order_id)
        if earlier is not None:
            same = earlier[:4] == order[:4]
            return earlier.state if same else "order_id_reused"
        if self._running is not None:
            return "busy"
        return "running" if order.action in ("role", "load") and self.change_s > 0 else "done"

    def _accept(self, order: Order, now: float) -> None:
        self._highest_fence = max(self._highest_fence, order.fence)
        self._accepted[order.order_id] = order
        self._last = order.order_id
        if order.state == "running":
            self._running = order.order_id
            self._ready_at = now + self.change_s
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
                self._draining = bool(arguments.get("on", True))


def _check(order: Order) -> None:
    if not isinstance(order.order_id, str) or not isinstance(order.fence, int):
        raise ValueError("order_id is not a text or fence is not a whole number")
    if order.action not in ACTIONS:
        raise ValueError(f"action is not one of {ACTIONS}")
    if order.action == "role" and order.arguments["role"] not in ROLE_SPEEDS:
        raise ValueError(f"role is not one of {sorted(ROLE_SPEEDS)}")
    if order.action in ("load", "unload") and not isinstance(order.arguments["model"], str):
        raise ValueError("model is not a text")
