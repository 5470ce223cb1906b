"""Admission control by rate limits, deadlines and one weighted fair queue per service."""

import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from laburnumreel.coordination._fair_queue import FairQueue, QueuedRequest
from laburnumreel.coordination._limits import RateLimiter, RateLimits
from laburnumreel.state import Customer, ErrorKind, Profile, Refusal, Service

# Time constant of the exponential decay of measured run times, so that they follow load changes.
RATE_TIME_CONSTANT_S = 10.0
# Random share added to the retry time, so that callers refused together do not retry together.
RETRY_JITTER = 0.25
MAX_RETRY_S = 60.0
HOUSEKEEPING_INTERVAL_S = 1.0
NO_CAPACITY_RETRY_S = 2.0


class Offer(NamedTuple):
    """A request that asks for admission.

    `tokens` is the estimate of prompt and output tokens together. `deadline` is a time in seconds
    on the clock whose readings are passed as `now`.
    """

    request_id: str
    service: str
    customer: str
    tokens: int
    deadline: float


class Admitted(NamedTuple):
    """A decision that the request may run now."""


class Queued(NamedTuple):
    """A decision that the request waits, for an estimated `wait_s` seconds.

    The request's id is returned later: as admitted by `finish`, `cancel` or `expire`, or as refused
    by `expire`.
    """

    wait_s: float


class Refused(NamedTuple):
    """A decision that the request does not run."""

    refusal: Refusal


Decision = Admitted | Queued | Refused

_ADMITTED = Admitted()
# The profile of a service without one: weight 1, 64 queued requests per customer, all
# other fields 0.
_DEFAULT_PROFILE = Profile.from_value(
    "", {**dict.fromkeys(Profile._fields, 0), "queue": 64, "weight": 1.0}
)


class _Running(NamedTuple):
    service: str
    customer: str
    tokens: int
    started_at: float


class _ServiceState:
    """The queue, capacity and measured rates of one service.

    Rates are in estimated tokens, as in `Offer.tokens`, because only estimates are known for the
    queued requests. An estimate may be far above what the request really uses.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.capacity = 0
        self.running = 0
        self._finished_count = 0.0
        self._finished_tokens = 0.0
        self._finished_run_s = 0.0
        self._rates_updated_at = 0.0

    def record_finished(self, run: _Running, now: float) -> None:
        """Record a request that ran to completion."""
        # At most 1, also if `now` is earlier than the last update.
        decay = math.exp(min(0.0, self._rates_updated_at - now) / RATE_TIME_CONSTANT_S)
        self._finished_count = self._finished_count * decay + 1
        self._finished_tokens = self._finished_tokens * decay + max(1, run.tokens)
        self._finished_run_s = self._finished_run_s * decay + max(0.001, now - run.started_at)
        self._rates_updated_at = now

    @property
    def throughput_tokens_per_s(self) -> float:
        """Tokens per second that all slots together finish, or 0 before the first measurement.

        This is the measured rate of one slot times the number of slots, so that it follows a
        change of capacity immediately.
        """
        if not self._finished_count:
            return 0.0
        return max(1, self.capacity) * self._finished_tokens / self._finished_run_s

    def estimate_run_s(self, tokens: int) -> float:
        """Return the smaller of the mean run time and the estimate for `tokens`, in seconds.

        Prompt tokens take less time than output tokens, so the estimate by tokens may be too
        large, and a request that might meet its deadline must not be refused.
        """
        if not self._finished_count:
            return 0.0
        by_size = tokens * self._finished_run_s / self._finished_tokens
        return min(self._finished_run_s / self._finished_count, by_size)


class Admission:
    """Decides for all services of a gateway which requests run, wait or are refused.

    >>> admission = Admission(random.Random(1))
    >>> admission.configure({}, {}, {}, {"orders": 1})
    >>> admission.offer(Offer("r1", "orders", "hall-a", 1, 9.0), 0.0)
    Admitted()
    >>> admission.offer(Offer("r2", "orders", "hall-a", 1, 9.0), 0.0)
    Queued(wait_s=0.0)
    >>> admission.finish("r1", 1, 0.5)
    ['r2']
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._profiles: Mapping[str, Profile] = {}
        self._customers: Mapping[str, Customer] = {}
        self._services: Mapping[str, Service] = {}
        # Services removed from the configuration. Their queued requests will never be admitted.
        self._removed_services: frozenset[str] = frozenset()
        self._states: dict[str, _ServiceState] = {}
        self._waiting: dict[str, tuple[str, QueuedRequest]] = {}
        self._running: dict[str, _Running] = {}
        self._rate_limiter = RateLimiter()
        self._received: dict[str, list[int]] = {}
        self._last_housekeeping_at = 0.0

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """The number of admitted requests that have not finished."""
        return len(self._running)

    @property
    def tracked_customers(self) -> int:
        """The number of customers with state in a queue or a bucket."""
        return sum(state.queue.customers for state in self._states.values()) + len(
            self._rate_limiter
        )

    def configure(
        self,
        profiles: Mapping[str, Profile],
        customers: Mapping[str, Customer],
        services: Mapping[str, Service],
        capacity: Mapping[str, int],
    ) -> None:
        """Apply a configuration and the number of requests that each service may run here.

        Running requests are not affected. The next call of `expire` returns the requests that
        additional capacity admits and refuses those queued for a removed service.
        """
        self._removed_services = (self._removed_services | self._services.keys()) - services.keys()
        self._profiles, self._customers, self._services = profiles, customers, services
        for service in {*capacity, *self._states}:
            state = self._states.setdefault(service, _ServiceState())
            state.capacity = capacity.get(service, 0)
            for item in state.queue.waiting():
                state.queue.set_weight(item.customer, self._weight(service, item.customer))

    def offer(self, offer: Offer, now: float, capacity_due_at: float | None = None) -> Decision:
        """Admit, queue or refuse a request.

        If `capacity_due_at` is given, it may wait until then for a service without capacity.
        """
        state = self._states.setdefault(offer.service, _ServiceState())
        refusal = self._refusal_for(offer, state, now, capacity_due_at is not None)
        if refusal is not None:
            return Refused(refusal)
        self._charge(offer.service, offer.customer, 1, offer.tokens, now)
        item = QueuedRequest(offer.request_id, *offer[2:], now, capacity_due_at)
        state.queue.push(item, self._weight(offer.service, offer.customer))
        self._waiting[offer.request_id] = (offer.service, item)
        if state.running < state.capacity and len(state.queue) == 1:
            self._admit(offer.service, state, now)
            return _ADMITTED
        return Queued(self._expected_wait_s(state, offer))

    def finish(self, request_id: str, tokens: int, now: float) -> list[str]:
        """Record the end of a running request and its actual tokens; return the ids admitted."""
        run = self._running.get(request_id)
        if run is None:
            return []
        self._states[run.service].record_finished(run, now)
        return self._end_run(request_id, run, tokens, now)

    def cancel(self, request_id: str, now: float) -> list[str]:
        """Drop a queued request or end a running one; return the ids admitted.

        A running request is charged its full estimate, so that a customer gains no service by
        cancelling. Call `finish` instead where the tokens used are known.
        """
        if request_id in self._waiting:
            self._drop(request_id, now)
            return []
        run = self._running.get(request_id)
        return [] if run is None else self._end_run(request_id, run, run.tokens, now)

    def expire(self, now: float) -> tuple[list[str], list[tuple[str, Refusal]]]:
        """Refuse queued requests that can no longer meet their deadline and admit what fits.

        Returns the ids admitted, and the refused ids with their refusals.
        """
        expired = []
        for request_id, (service, item) in list(self._waiting.items()):
            state = self._states[service]
            is_overdue = item.capacity_due_at is not None and now >= item.capacity_due_at
            if service in self._removed_services or (is_overdue and state.capacity <= 0):
                self._drop(request_id, now)
                expired.append((request_id, self._no_capacity_refusal(service)))
            elif now + state.estimate_run_s(item.tokens) > item.deadline or now >= item.deadline:
                self._drop(request_id, now)
                wait = self._expected_wait_s(state, Offer(request_id, service, *item[1:4]))
                refusal = Refusal(
                    ErrorKind.DEADLINE_UNMEETABLE,
                    "the request waited too long in the queue",
                    self._retry_after(wait),
                )
                expired.append((request_id, refusal))
        admitted = []
        for service, state in self._states.items():
            admitted += self._admit(service, state, now)
        if now - self._last_housekeeping_at >= HOUSEKEEPING_INTERVAL_S:
            self._last_housekeeping_at = now
            self._rate_limiter.forget_full(now)
            for state in self._states.values():
                state.queue.forget_idle(now)
        return admitted, expired

    def on_peer_received(
        self, peer: str, received: Mapping[str, tuple[int, int]], now: float
    ) -> None:
        """Count the tokens and requests that a peer's `pop_received` returned."""
        for scope, (tokens, requests) in received.items():
            customer, _, service = scope.partition("/")
            for bucket, rate_limits in self._rate_scopes(service, customer):
                self._rate_limiter.charge(bucket, rate_limits, requests, tokens, now)
            if service in self._states:
                self._states[service].queue.on_peer_received(customer, tokens)

    def pop_received(self) -> dict[str, tuple[int, int]]:
        """Return tokens and requests by `customer/service` since the last call, for the peers.

        A request counts with its estimate when it is offered. The difference to its actual size is
        added when it ends and may be negative.
        """
        received = {scope: (item[0], item[1]) for scope, item in self._received.items()}
        self._received = {}
        return received

    def _end_run(self, request_id: str, run: _Running, tokens: int, now: float) -> list[str]:
        del self._running[request_id]
        state = self._states[run.service]
        state.running -= 1
        state.queue.finish(run.customer, tokens - run.tokens, now)
        self._charge(run.service, run.customer, 0, tokens - run.tokens, now)
        return self._admit(run.service, state, now)

    def _refusal_for(
        self, offer: Offer, state: _ServiceState, now: float, may_await_capacity: bool
    ) -> Refusal | None:
        rate_limit_wait_s = self._rate_limit_wait_s(offer.service, offer.customer, now)
        # Requests without a customer are not charged either: see `_charge`.
        if rate_limit_wait_s > 0 and offer.customer:
            return Refusal(
                ErrorKind.RATE_LIMITED,
                f"customer {offer.customer} is over its rate limit",
                self._retry_after(rate_limit_wait_s),
            )
        if state.capacity <= 0 and not may_await_capacity:
            return self._no_capacity_refusal(offer.service)
        if now >= offer.deadline:
            return Refusal(ErrorKind.DEADLINE_UNMEETABLE, "the deadline has passed", 1.0)
        if state.running < state.capacity and not len(state.queue):
            return None
        wait = self._expected_wait_s(state, offer)
        if len(state.queue.waiting(offer.customer)) >= self._profile(offer.service).queue:
            return Refusal(
                ErrorKind.QUEUE_FULL,
                f"customer {offer.customer} has too many queued requests",
                self._retry_after(wait),
            )
        late_s = now + wait + state.estimate_run_s(offer.tokens) - offer.deadline
        if late_s > 0:
            return Refusal(
                ErrorKind.DEADLINE_UNMEETABLE,
                f"the queue is {wait:.1f} s long",
                self._retry_after(late_s),
            )
        return None

    def _no_capacity_refusal(self, service: str) -> Refusal:
        return Refusal(
            ErrorKind.NO_BACK_END,
            f"service {service} has no usable back end",
            self._retry_after(NO_CAPACITY_RETRY_S),
        )

    def _expected_wait_s(self, state: _ServiceState, offer: Offer) -> float:
        """Return the expected seconds until the customer's next request starts.

        This is the smaller of two times: until the customer's own queue drains at the customer's
        weighted share of the rate, and until the queues of all customers drain.
        """
        rate = state.throughput_tokens_per_s
        if rate <= 0:
            return 0.0
        weight = self._weight(offer.service, offer.customer)
        waiting = state.queue.waiting(offer.customer)
        own_tokens = sum(item.tokens for item in waiting if item.request_id != offer.request_id)
        active = state.queue.active_weight
        if not waiting:
            active += weight
        share = min(1.0, weight / active) if active else 1.0
        all_tokens = sum(item.tokens for item in state.queue.waiting())
        return min(own_tokens / (rate * share), all_tokens / rate)

    def _admit(self, service: str, state: _ServiceState, now: float) -> list[str]:
        admitted = []
        while state.running < state.capacity:
            item = state.queue.pop(now)
            if item is None:
                break
            state.running += 1
            del self._waiting[item.request_id]
            self._running[item.request_id] = _Running(service, item.customer, item.tokens, now)
            admitted.append(item.request_id)
        return admitted

    def _drop(self, request_id: str, now: float) -> None:
        service, item = self._waiting.pop(request_id)
        self._states[service].queue.remove(item)
        self._charge(service, item.customer, -1, -item.tokens, now)

    def _charge(self, service: str, customer: str, requests: int, tokens: int, now: float) -> None:
        if not customer:
            return
        for scope, rate_limits in self._rate_scopes(service, customer):
            self._rate_limiter.charge(scope, rate_limits, requests, tokens, now)
        received = self._received.setdefault(f"{customer}/{service}", [0, 0])
        received[0] += tokens
        received[1] += requests

    def _rate_limit_wait_s(self, service: str, customer: str, now: float) -> float:
        scopes = self._rate_scopes(service, customer)
        return max(
            self._rate_limiter.wait_s(scope, rate_limits, now) for scope, rate_limits in scopes
        )

    def _rate_scopes(
        self, service: str, name: str
    ) -> tuple[tuple[str, RateLimits], tuple[str, RateLimits]]:
        """Return the two rate limits of a request with the scopes that they apply to.

        One is the customer's limit over all services, the other the limit of the service's profile
        for each customer.
        """
        customer, profile = self._customers.get(name), self._profile(service)
        own = (
            RateLimits(customer.requests_per_s, customer.tokens_per_s)
            if customer
            else RateLimits(0.0, 0.0)
        )
        shared = RateLimits(profile.requests_per_s, profile.tokens_per_s)
        return (name, own), (f"{name}/{service}", shared)

    def _profile(self, service: str) -> Profile:
        entry = self._services.get(service)
        return self._profiles.get(entry.profile, _DEFAULT_PROFILE) if entry else _DEFAULT_PROFILE

    def _weight(self, service: str, name: str) -> float:
        customer = self._customers.get(name)
        return self._profile(service).weight * (customer.weight if customer else 1.0)

    def _retry_after(self, seconds: float) -> float:
        jitter = 1 + self._random.random() * RETRY_JITTER
        return max(1.0, min(MAX_RETRY_S, seconds * jitter))
