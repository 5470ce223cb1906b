"""A weighted fair queue of one service: start-time fair queueing by tokens received."""

import heapq
from collections import deque
from typing import NamedTuple

# A customer that received this much more service for its weight elsewhere waits for it here; more
# than that is written off, so that its requests at this gateway are never starved.
MAX_PEER_LEAD_TOKENS = 20_000.0
# An idle customer's debt is forgotten after this time, and its state with it.
IDLE_TIMEOUT_S = 30.0


class QueuedRequest(NamedTuple):
    """A request in the queue."""

    request_id: str
    customer: str
    tokens: int
    deadline: float
    offered_at: float


class _Flow:
    """One customer's requests: `tag` is its service received over its weight."""

    def __init__(self, weight: float, tag: float, now: float) -> None:
        self.weight = weight
        self.tag = tag
        self.waiting: deque[QueuedRequest] = deque()
        self.running = 0
        self.last_active_at = now


class FairQueue:
    """Picks the next request from the customer that received the least service for its weight.

    A customer that starts to wait begins at the virtual time, which is the tag of the last
    request picked: it gains nothing from the time it was idle. Whatever the other customers queue,
    a waiting one is passed over only by picks with smaller tags, each of which raises its
    customer's tag: nobody starves.

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
        """The number of customers with state here."""
        return len(self._flows)

    @property
    def active_weight(self) -> float:
        """The weights of the customers that wait or run, added up."""
        return sum(flow.weight for flow in self._flows.values() if flow.waiting or flow.running)

    def waiting(self, customer: str = "") -> list[QueuedRequest]:
        """Return the waiting requests of one customer, or of all."""
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
        """Take the next request out and charge its tokens to its customer."""
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
        """Take a waiting request out without running it."""
        flow = self._flows[item.customer]
        flow.waiting.remove(item)
        self._waiting_count -= 1

    def finish(self, customer: str, extra_tokens: int, now: float) -> None:
        """Count the end of a running request that used `extra_tokens` tokens beyond its estimate."""
        flow = self._flows.get(customer)
        if flow is None:
            return
        flow.running = max(0, flow.running - 1)
        flow.tag += extra_tokens / flow.weight
        flow.last_active_at = now
        self._push_to_heap(customer, flow)

    def on_peer_received(self, customer: str, tokens: int) -> None:
        """Count service that an active customer received at another gateway."""
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
        """Drop customers that neither wait nor run and owe nothing, or are idle for long."""
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
            # Entries whose tag has changed are stale; the newest entry of each flow is enough.
            self._heap = [
                (each.tag, number, name)
                for number, (name, each) in enumerate(self._flows.items())
                if each.waiting
            ]
            heapq.heapify(self._heap)
