"""The order journal: the newest order for each target and its state."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from laburnumreel.state._fields import FieldError, Fields, own_row_log
from laburnumreel.state._platform import CapacityOrder, Check, Row, Write

ORDER_TABLE = "order"
# Colons in the key of a zone's target, before the zone, the service and the kind.
ZONE_KEY_SEPARATORS = 3


class OrderState(StrEnum):
    """The progress of an order. A written or sent order may still take effect."""

    WRITTEN = "written"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"


class Target(NamedTuple):
    """The receiver of an order: an engine by name, or the platform for a zone, service and kind."""

    key: str

    @classmethod
    def engine(cls, name: str) -> "Target":
        return cls(f"engine:{name}")

    @classmethod
    def zone(cls, zone: str, service: str, kind: str) -> "Target":
        return cls(f"zone:{zone}:{service}:{kind}")

    @property
    def engine_name(self) -> str | None:
        """The engine's name, or None if the target is a zone."""
        return self.key.removeprefix("engine:") if self.key.startswith("engine:") else None

    @property
    def zone_parts(self) -> tuple[str, str, str]:
        """The zone, the service and the kind of a zone's target."""
        _, zone, service, kind = self.key.split(":")
        return zone, service, kind

    @property
    def is_valid(self) -> bool:
        """Whether the key has the format that `engine` or `zone` produces."""
        return self.engine_name is not None or (
            self.key.startswith("zone:") and self.key.count(":") == ZONE_KEY_SEPARATORS
        )


class WantedOrder(NamedTuple):
    """An order to be issued that has no id and no fencing number yet."""

    target: Target
    action: str
    arguments: dict[str, Any]


class Order(NamedTuple):
    """An order in the journal. `version` is the version of its row, or 0 before it is written."""

    target: Target
    order_id: str
    fence: int
    action: str
    arguments: dict[str, Any]
    state: OrderState
    version: int = 0

    @classmethod
    def from_row(cls, row: Row) -> "Order":
        """Return the order in a row.

        A malformed row gives a failed order, so that the next order to the target overwrites it.
        """
        target = Target(row.key)
        try:
            fields = Fields(row.value)
            fields.fields("arguments")
            if not target.is_valid:
                raise FieldError("the key names no target")
            return cls(
                target,
                fields.text("order_id"),
                fields.integer("fence"),
                fields.text("action"),
                row.value["arguments"],
                OrderState(fields.choice("state", list(OrderState))),
                row.version,
            )
        except FieldError as error:
            own_row_log.log_once(ORDER_TABLE, row.key, row.version, str(error))
            return cls(target, "", 0, "", {}, OrderState.FAILED, row.version)

    @property
    def is_open(self) -> bool:
        """Whether the order may still take effect."""
        return self.state in (OrderState.WRITTEN, OrderState.SENT)

    @property
    def check(self) -> Check:
        """The transaction check that the row has not changed."""
        return Check(ORDER_TABLE, self.target.key, self.version)

    def to_write(self, state: OrderState) -> Write:
        """Return the write that stores this order's row with a new state."""
        value = {
            "order_id": self.order_id,
            "fence": self.fence,
            "action": self.action,
            "arguments": self.arguments,
            "state": str(state),
        }
        return Write(ORDER_TABLE, self.target.key, value)

    def with_minimum(self, wanted: WantedOrder) -> WantedOrder:
        """Return `wanted`, a count, or with the count of this order if that is larger."""
        count = self.arguments.get("count")
        if isinstance(count, int) and count > wanted.arguments["count"]:
            return wanted._replace(arguments={"count": count})
        return wanted

    def matches(self, wanted: WantedOrder) -> bool:
        """Return whether this order has the target, action and arguments of `wanted`."""
        return (self.target, self.action, self.arguments) == wanted

    def to_request(self) -> tuple[str, dict[str, Any]]:
        """Return the HTTP path and the JSON body with which the order is sent."""
        if self.target.engine_name is not None:
            body = {
                "order_id": self.order_id,
                "fence": self.fence,
                "action": self.action,
                "arguments": self.arguments,
            }
            return "/orders", body
        zone, service, kind = self.target.zone_parts
        order = CapacityOrder(self.order_id, self.fence, kind, service, self.arguments["count"])
        return f"/zones/{zone}/orders", order._asdict()


class Receipt(StrEnum):
    """The status of an order according to its receiver's response or list of orders."""

    DONE = "done"
    RUNNING = "running"
    REFUSED = "refused"
    ABSENT = "absent"
    UNKNOWN = "unknown"


_ACCEPTED = {"done": Receipt.DONE, "running": Receipt.RUNNING}


def read_receipt(status: int, body: Mapping[str, Any]) -> Receipt:
    """Return the receipt in the response to an order. 503 and 4xx mean that it had no effect."""
    if status == 200:
        return _accepted_receipt(body.get("state", "done"), Receipt.UNKNOWN)
    return Receipt.REFUSED if status == 503 or 400 <= status < 500 else Receipt.UNKNOWN


def find_receipt(order: Order, body: Mapping[str, Any]) -> Receipt:
    """Return the receipt of an order from an engine's or a zone's list of orders.

    Malformed entries of the list are ignored.
    """
    is_zone = order.target.engine_name is None
    last, listed = body.get("last"), body.get("orders" if is_zone else "history")
    if not is_zone and _is_entry_of(last, order):
        return _accepted_receipt(last.get("state"), Receipt.REFUSED)
    if not isinstance(listed, list):
        return Receipt.UNKNOWN
    found = [item for item in listed if _is_entry_of(item, order)]
    if not found:
        return Receipt.ABSENT
    if is_zone:
        return Receipt.DONE
    # A later order was accepted since, and an engine executes one order at a time, so it has ended.
    accepted = any(_accepted_receipt(item.get("state"), None) for item in found)
    return Receipt.DONE if accepted else Receipt.REFUSED


def _is_entry_of(item: Any, order: Order) -> bool:
    return isinstance(item, dict) and item.get("order_id") == order.order_id


def _accepted_receipt(state: Any, default: Receipt | None) -> Receipt | None:
    return _ACCEPTED.get(state, default) if isinstance(state, str) else default


def resolve_state(receipt: Receipt, cannot_arrive: bool) -> OrderState:
    """Return the new state of an open order after a receipt.

    `cannot_arrive` means that no copy of the order can arrive any more; an order that is absent
    from the receiver's list has then failed.
    """
    if receipt is Receipt.DONE:
        return OrderState.DONE
    if receipt is Receipt.REFUSED or (receipt is Receipt.ABSENT and cannot_arrive):
        return OrderState.FAILED
    return OrderState.SENT
