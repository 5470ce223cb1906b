"""Sends orders to engines and zones; each one is written to the journal first."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from laburnumreel.coordination._authority import AuthorityRegistry
from laburnumreel.coordination._authorized_send import Address, AuthorizedSender, OrderLink
from laburnumreel.coordination._events import (
    JOURNAL_UNREADABLE,
    ORDER_GIVEN,
    ORDER_SETTLED,
    ORDER_UNCERTAIN,
)
from laburnumreel.coordination._metrics import ORDERS
from laburnumreel.core import Clock, Log
from laburnumreel.state import (
    LEASE_TABLE,
    ORDER_TABLE,
    Authority,
    Check,
    Order,
    OrderState,
    Platform,
    PlatformError,
    Receipt,
    Target,
    WantedOrder,
    find_receipt,
    read_receipt,
    resolve_state,
)

ORDERS_LEASE = "orders"
STEPS_PER_TICK = 100
QUERY_INTERVAL_S = 0.5
QUERY_INTERVAL_AFTER_ERROR_S = 3.0
# Load reports lag by seconds. An order is not repeated before they can show its effect.
REPEAT_AFTER_S = 10.0

_log = Log("coordination.orders")


class OrderPlan(NamedTuple):
    """The orders that should be sent, and the addresses of the engines known now.

    `fence` is the fencing number of the authority under which the plan was made. A plan from before
    a gap in the authority must not be used: its role orders could reach an engine to which another
    process has sent work again. Counts for `minimum_targets` are minimums: a larger order in the
    journal is not reduced.
    """

    wanted: tuple[WantedOrder, ...] = ()
    engines: Mapping[str, Address] = MappingProxyType({})
    fence: int | None = None
    minimum_targets: frozenset[Target] = frozenset()


class OrderReceivers(NamedTuple):
    """Links to engines and the platform, and the platform's address."""

    engines: OrderLink
    platform: OrderLink
    platform_address: Address


class OrderSender:
    """Sends orders one at a time, and none to a target whose last order is not settled.

    A plan replaces the previous one. Orders that the journal shows as written or sent are settled
    first, whichever process wrote them. The receiver's list of orders shows whether such an order
    arrived. If it is absent when no copy can arrive any more, the order has failed.

    An answer can be lost, so a copy of an order may still arrive up to `margin_s` seconds later.
    """

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        receivers: OrderReceivers,
        clock: Clock,
        margin_s: float,
        boot: str,
    ) -> None:
        self._platform = platform
        self._authorities = authorities
        self._receivers = receivers
        self._engine_sender = AuthorizedSender(authorities, receivers.engines)
        self._platform_sender = AuthorizedSender(authorities, receivers.platform)
        self._clock = clock
        self._margin_s = margin_s
        self._boot = boot
        self._sequence = 0
        self._plan = OrderPlan()
        self._has_plan = False
        self._fence = 0
        self._journal: dict[Target, Order] = {}
        self._stale_targets: list[Target] = []
        self._unsent_ids: set[str] = set()
        self._receipts: dict[str, Receipt] = {}
        self._may_arrive_until: dict[str, float] = {}
        self._next_read_at: dict[Target, float] = {}
        self._sent_at: dict[tuple[Target, str, str], float] = {}

    @property
    def journal(self) -> dict[Target, Order]:
        """The newest order of each target, as far as this process knows."""
        return dict(self._journal)

    @property
    def has_uncertain_orders(self) -> bool:
        """Whether a copy of an order may still arrive at its receiver."""
        now = self._clock.now()
        return any(end > now for end in self._may_arrive_until.values())

    def handle(self, message: OrderPlan) -> int:
        """Replace the plan and return the number of its orders."""
        self._plan, self._has_plan = message, True
        return len(message.wanted)

    def tick(self) -> None:
        """Do the steps that are due, up to `STEPS_PER_TICK`."""
        for _ in range(STEPS_PER_TICK):
            if not self.step():
                return

    def step(self) -> bool:
        """Do one step that is due; return whether there may be more."""
        authority = self._authorities.current(ORDERS_LEASE)
        if authority is None or not self._has_plan:
            return False
        if self._plan.fence not in (None, authority.fence):
            return False
        if authority.fence != self._fence:
            return self._load_journal(authority)
        if self._stale_targets:
            return self._reread_row(self._stale_targets[0])
        for order in list(self._journal.values()):
            if order.is_open and self._settle(authority, order):
                return True
        return self._send_next(authority, self._plan)

    def _load_journal(self, authority: Authority) -> bool:
        journal: dict[Target, Order] = {}
        after, more = "", True
        while more:
            page = self._platform.scan(ORDER_TABLE, after=after)
            if page.is_error():
                _log.warning(JOURNAL_UNREADABLE, error=page.error.detail)
                return False
            orders = [Order.from_row(row) for row in page.ok.rows]
            journal.update((order.target, order) for order in orders)
            more = page.ok.more and bool(orders)
            after = orders[-1].target.key if orders else ""
        self._journal, self._fence = journal, authority.fence
        self._stale_targets.clear()
        self._unsent_ids.clear()
        self._next_read_at.clear()
        return True

    def _reread_row(self, target: Target) -> bool:
        row = self._platform.read(ORDER_TABLE, target.key)
        if row.is_error():
            return False
        self._stale_targets.remove(target)
        if row.ok is None:
            self._journal.pop(target, None)
        else:
            self._journal[target] = Order.from_row(row.ok)
        return True

    def _settle(self, authority: Authority, order: Order) -> bool:
        """Advance an open order; return whether anything was done."""
        if order.order_id in self._unsent_ids:
            if any(order.matches(wanted) for wanted in self._plan.wanted):
                return self._send(authority, order)
            return self._record(authority, order, OrderState.FAILED)
        receipt = self._receipts.get(order.order_id)
        now = self._clock.now()
        if receipt not in (Receipt.DONE, Receipt.REFUSED):
            if now < self._next_read_at.get(order.target, 0.0):
                return False
            receipt = self._query_receiver(order)
        # The read began at `now`: an order that could arrive only before that would be in the list.
        state = resolve_state(receipt, now >= self._may_arrive_until.get(order.order_id, 0.0))
        if state is order.state:
            return False
        return self._record(authority, order, state)

    def _query_receiver(self, order: Order) -> Receipt:
        engine_name = order.target.engine_name
        if engine_name is None:
            link, address = self._receivers.platform, self._receivers.platform_address
            path = f"/zones/{order.target.zone_parts[0]}/orders"
        else:
            link, address = self._receivers.engines, self._plan.engines.get(engine_name)
            path = "/orders"
        if address is None:
            # The host no longer exists, so it has no list.
            return Receipt.ABSENT
        answer = link.read(address, path)
        failed = answer.is_error() or answer.ok.status != 200
        wait_s = QUERY_INTERVAL_AFTER_ERROR_S if failed else QUERY_INTERVAL_S
        self._next_read_at[order.target] = self._clock.now() + wait_s
        return Receipt.UNKNOWN if failed else find_receipt(order, answer.ok.body)

    def _send_next(self, authority: Authority, plan: OrderPlan) -> bool:
        now = self._clock.now()
        for wanted in plan.wanted:
            last_order = self._journal.get(wanted.target)
            if last_order is not None and last_order.is_open:
                continue
            if last_order is not None and wanted.target in plan.minimum_targets:
                wanted = last_order.with_minimum(wanted)
            is_zone = wanted.target.engine_name is None
            if (
                is_zone
                and last_order
                and last_order.state is OrderState.DONE
                and last_order.matches(wanted)
            ):
                continue
            if is_zone and last_order is None and not wanted.arguments["count"]:
                # Nothing was ever ordered from this zone, so a count of 0 needs no order.
                continue
            if now < self._sent_at.get(_order_key(wanted), float("-inf")) + REPEAT_AFTER_S:
                continue
            return self._write_and_send(authority, wanted, last_order)
        return False

    def _write_and_send(
        self, authority: Authority, wanted: WantedOrder, last_order: Order | None
    ) -> bool:
        self._sequence += 1
        order = Order(
            wanted.target,
            f"{self._boot}-{authority.fence}-{self._sequence}",
            authority.fence,
            wanted.action,
            wanted.arguments,
            OrderState.WRITTEN,
            0 if last_order is None else last_order.version,
        )
        # If the answer to the write is lost, the row may exist although the order was not sent.
        self._unsent_ids.add(order.order_id)
        if not self._record(authority, order, OrderState.WRITTEN):
            if order.target not in self._stale_targets:
                self._unsent_ids.discard(order.order_id)
            return False
        return self._send(authority, self._journal[order.target])

    def _send(self, authority: Authority, order: Order) -> bool:
        """Send an order whose row is written, and record its receipt."""
        self._unsent_ids.discard(order.order_id)
        self._sent_at[_order_key(order)] = self._clock.now()
        path, body = order.to_request()
        engine_name = order.target.engine_name
        sender = self._platform_sender if engine_name is None else self._engine_sender
        address = self._receivers.platform_address
        if engine_name is not None:
            address = self._plan.engines.get(engine_name)
        if address is None:
            receipt = Receipt.REFUSED
        else:
            sent = sender.post(authority, address, path, body)
            receipt = self._receipt_of(order, sent)
        self._receipts = {order.order_id: receipt, **self._open_receipts()}
        ORDERS.inc(action=order.action, receipt=str(receipt))
        _log.info(ORDER_GIVEN, target=order.target.key, order=order.order_id, receipt=str(receipt))
        return self._record(authority, order, resolve_state(receipt, False))

    def _receipt_of(self, order: Order, sent: Any) -> Receipt:
        if sent.is_ok():
            receipt = read_receipt(sent.ok.status, sent.ok.body)
        else:
            receipt = Receipt.REFUSED if sent.error.kind == "not_sent" else Receipt.UNKNOWN
        if receipt is Receipt.UNKNOWN:
            detail = sent.error.detail if sent.is_error() else f"status {sent.ok.status}"
            _log.warning(ORDER_UNCERTAIN, target=order.target.key, error=detail)
            now = self._clock.now()
            recent = {key: end for key, end in self._may_arrive_until.items() if end > now}
            self._may_arrive_until = {order.order_id: now + self._margin_s, **recent}
        return receipt

    def _open_receipts(self) -> dict[str, Receipt]:
        open_ids = {order.order_id for order in self._journal.values() if order.is_open}
        return {key: value for key, value in self._receipts.items() if key in open_ids}

    def _record(self, authority: Authority, order: Order, state: OrderState) -> bool:
        """Write an order's row if neither the row of the lease nor that of the order has changed.

        Returns whether the row was written.
        """
        lease = Check(LEASE_TABLE, ORDERS_LEASE, authority.row_version)
        result = self._platform.transact([lease, order.check], [order.to_write(state)])
        if result.is_error():
            return self._on_record_failed(order, result.error)
        self._journal[order.target] = order._replace(state=state, version=result.ok)
        if not self._journal[order.target].is_open:
            # Count from the end: an order may take longer than `REPEAT_AFTER_S`, and reports lag.
            self._sent_at[_order_key(order)] = self._clock.now()
            _log.debug(ORDER_SETTLED, target=order.target.key, state=str(state))
        return True

    def _on_record_failed(self, order: Order, error: PlatformError) -> bool:
        row_differs = (ORDER_TABLE, order.target.key) in error.rows
        if (error.kind == "lost" or row_differs) and order.target not in self._stale_targets:
            self._stale_targets.append(order.target)
        return False


def _order_key(order: Order | WantedOrder) -> tuple[Target, str, str]:
    return order.target, order.action, repr(sorted(order.arguments.items()))
