"""Weighted fair queue of one service: start-time fair queueing by tokens."""

import heapq
from collections import deque
from typing import NamedTuple

# Service received at other gateways delays a customer here by at most this many tokens, relative to
# its weight. The rest is ignored, so that its requests at this gateway are never starved.
MAX_PEER_LEAD_TOKENS = 20_000.0
# The state of an idle customer, including its debt, is dropped after this time.
IDLE_TIMEOUT_S = 30.0


class QueuedRequest(NamedTuple):
    """A request in the queue.

    From `capacity_due_at` on, if it is given, it waits no longer for a service without capacity.
    """

    request_id: str
    customer: str
    tokens: int
    deadline: float
    offered_at: float
    capacity_due_at: float | None = None


class _Flow:
    """The requests of one customer. `tag` is the service it received, divided by its weight."""

    def __init__(self, weight: float, tag: float, now: float) -> None:
        self.weight = weight
        self.tag = tag
        self.waiting: deque[QueuedRequest] = deque()
        self.running = 0
        self.last_active_at = now


class FairQueue:
    """Picks the next request from the customer that received the least service for its weight.

    A customer that becomes active starts at the virtual time, which is the tag of the last request
    picked, so it gains nothing from its idle time. No customer starves: others go first only with
    smaller tags, and each request picked raises the tag of its customer.

    >>> queue = FairQueue()
    >>> for number, customer in enumerate("aab"):
    ...     queue.push(QueuedRequest(str(number), customer, 100, 9.0, 0.0), 1.0)
    >>> [queue.pop(0.0).customer for _ in range(3)]
    ['a', 'b', 'a']
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._push_count = 0
        self._virtual_time = 0.0
        self._waiting_count = 0

    def __len__(self) -> int:
        return self._waiting_count

    @property
    def customers(self) -> int:
        """Number of customers with state in this queue."""
        return len(self._flows)

    @property
    def active_weight(self) -> float:
        """Sum of the weights of the customers with waiting or running requests."""
        return sum(flow.weight for flow in self._flows.values() if flow.waiting or flow.running)

    def waiting(self, customer: str = "") -> list[QueuedRequest]:
        """Return the waiting requests of one customer, or of all customers if it is empty."""
        if customer:
            flow = self._flows.get(customer)
            return list(flow.waiting) if flow else []
        return [item for flow in self._flows.values() for item in flow.waiting]

    def push(self, item: QueuedRequest, weight: float) -> None:
        flow = self._flow(item.customer, weight, item.offered_at)
        if not flow.waiting:
            flow.tag = max(flow.tag, self._virtual_time)
        flow.waiting.append(item)
        self._waiting_count += 1
        self._push_to_heap(item.customer, flow)

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request and charge its tokens to its customer."""
        while self._heap:
            tag, _, customer = heapq.heappop(self._heap)
            flow = self._flows.get(customer)
            if flow is None or not flow.waiting or flow.tag != tag:
                continue
            item = flow.waiting.popleft()
            self._waiting_count -= 1
            self._virtual_time = max(self._virtual_time, tag)
            flow.tag += item.tokens / flow.weight
            flow.running += 1
            flow.last_active_at = now
            self._push_to_heap(customer, flow)
            return item
        return None

    def remove(self, item: QueuedRequest) -> None:
        """Remove a waiting request that will not run."""
        flow = self._flows[item.customer]
        flow.waiting.remove(item)
        self._waiting_count -= 1

    def finish(self, customer: str, extra_tokens: int, now: float) -> None:
        """Record the end of a request that used `extra_tokens` tokens more than its estimate."""
        flow = self._flows.get(customer)
        if flow is None:
            return
        flow.running = max(0, flow.running - 1)
        flow.tag += extra_tokens / flow.weight
        flow.last_active_at = now
        self._push_to_heap(customer, flow)

    def on_peer_received(self, customer: str, tokens: int) -> None:
        """Count tokens that a customer with state here received at another gateway."""
        flow = self._flows.get(customer)
        if flow is None:
            return
        max_tag = self._virtual_time + MAX_PEER_LEAD_TOKENS / flow.weight
        flow.tag = max(flow.tag, min(flow.tag + tokens / flow.weight, max_tag))
        self._push_to_heap(customer, flow)

    def set_weight(self, customer: str, weight: float) -> None:
        if customer in self._flows:
            self._flows[customer].weight = weight

    def forget_idle(self, now: float) -> None:
        """Drop inactive customers that have no debt or were idle for `IDLE_TIMEOUT_S`."""
        for customer, flow in list(self._flows.items()):
            has_debt = flow.tag > self._virtual_time and now - flow.last_active_at < IDLE_TIMEOUT_S
            if not flow.waiting and not flow.running and not has_debt:
                del self._flows[customer]

    def _flow(self, customer: str, weight: float, now: float) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = _Flow(weight, self._virtual_time, now)
        flow.weight = weight
        flow.last_active_at = now
        return flow

    def _push_to_heap(self, customer: str, flow: _Flow) -> None:
        if flow.waiting:
            self._push_count += 1
            heapq.heappush(self._heap, (flow.tag, self._push_count, customer))
        if len(self._heap) > 64 + 8 * len(self._flows):
            # Entries whose tag has changed are stale. Rebuild the heap with one entry per flow.
            self._heap = [
                (each.tag, number, name)
                for number, (name, each) in enumerate(self._flows.items())
                if each.waiting
            ]
            heapq.heapify(self._heap)
