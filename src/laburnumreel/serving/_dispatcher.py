"""The task that owns a gateway's view of back ends, its queues and its retry budgets."""

import random
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import Future
from typing import Any, NamedTuple

from laburnumreel.core import Clock, Task
from laburnumreel.serving._stopgap import (
    Admission,
    Admitted,
    BackEnd,
    Fleet,
    Offer,
    Queued,
    RetryBudget,
    Router,
    Work,
)
from laburnumreel.state import Configuration, Host, Refusal

EXPIRE_S = 0.05


class _Call(NamedTuple):
    function: Callable[..., Any]
    arguments: tuple[Any, ...]


class Dispatcher(Task):
    """Admission, choice of back ends and retries, on one thread without locks.

    Request threads call the public methods, which pass messages to the task.
    """

    def __init__(self, clock: Clock, zone: str, region: str, rng: random.Random) -> None:
        super().__init__("dispatcher", tick_s=EXPIRE_S)
        self._clock = clock
        self._random = rng
        self._fleet = Fleet()
        self._router = Router(zone, region, rng)
        self._admission = Admission()
        self._budgets: dict[str, RetryBudget] = {}
        self._configuration = Configuration()
        self._waiting: dict[str, Future] = {}

    def offer(self, offer: Offer) -> "Future[Refusal | None]":
        """Ask for admission. The future is done with None when the request may run."""
        answer: Future = Future()
        self._send(self._on_offer, offer, answer)
        return answer

    def withdraw_offer(self, request_id: str) -> None:
        """Give up a request that waits for admission."""
        self._send(self._on_withdraw_offer, request_id)

    def finish(self, request_id: str, tokens: int) -> None:
        """Give back the place of an admitted request that received this much service."""
        self._send(self._on_finish, request_id, tokens)

    def choose(self, work: Work, cheap: bool, exclude: Collection[str]) -> BackEnd | None:
        """Return the back end for this work and count the work as sent to it."""
        return self._ask(self._on_choose, work, cheap, tuple(exclude))

    def attempt_ended(self, back_end: str, request_id: str, failed: bool) -> None:
        """Tell that a request no longer runs on a back end."""
        self._send(self._on_attempt_ended, back_end, request_id, failed)

    def refused(self, back_end: str) -> None:
        """Send nothing more to a back end that refused, for a while."""
        self._send(self._on_refused, back_end)

    def crashed(self, back_end: str, digest: str) -> bool:
        """Tell that a back end crashed. True if this request is now quarantined for it."""
        return False

    def leaving(self, back_end: str) -> bool:
        """Return whether a back end is about to leave."""
        return False

    def take_retry(self, service: str) -> bool:
        """Take one retry from the service's budget, if it has one."""
        return self._ask(self._on_take_retry, service)

    def succeeded(self, service: str) -> None:
        """Count a success, which adds to the service's retry budget."""
        self._send(self._on_succeeded, service)

    def configure(self, configuration: Configuration) -> None:
        """Take up a newer configuration. Requests that run keep what they started with."""
        self._send(self._on_configure, configuration)

    def hosts(self, hosts: Sequence[Host]) -> None:
        """Take up the platform's host list."""
        self._send(self._on_hosts, hosts)

    def known(self, service: str, model: str) -> bool:
        """Return whether any back end could take this work now."""
        return self._ask(self._on_known, service, model)

    def handle(self, message: _Call) -> Any:
        return message.function(*message.arguments)

    def tick(self) -> None:
        admitted, refused = self._admission.expire(self._clock.now())
        self._admit(admitted)
        for request_id, refusal in refused:
            self._decide(request_id, refusal)

    def _send(self, function: Callable[..., Any], *arguments: Any) -> None:
        self.tell(_Call(function, arguments))

    def _ask(self, function: Callable[..., Any], *arguments: Any) -> Any:
        return self.ask(_Call(function, arguments)).result()

    def _on_offer(self, offer: Offer, answer: Future) -> None:
        decision = self._admission.offer(offer, self._clock.now())
        if isinstance(decision, Admitted):
            answer.set_result(None)
        elif isinstance(decision, Queued):
            self._waiting[offer.request_id] = answer
        else:
            answer.set_result(decision.refusal)

    def _on_withdraw_offer(self, request_id: str) -> None:
        self._waiting.pop(request_id, None)
        self._admit(self._admission.cancel(request_id, self._clock.now()))

    def _on_finish(self, request_id: str, tokens: int) -> None:
        self._admit(self._admission.finish(request_id, tokens, self._clock.now()))

    def _on_choose(self, work: Work, cheap: bool, exclude: tuple[str, ...]) -> BackEnd | None:
        now = self._clock.now()
        candidates = self._fleet.candidates(work.service, work.model, now, cheap, exclude)
        choice = self._router.choose(work, candidates)
        if choice is None:
            return None
        self._fleet.on_sent(choice.back_end.name, work.request_id, work.prompt_tokens, now)
        return choice.back_end

    def _on_attempt_ended(self, back_end: str, request_id: str, failed: bool) -> None:
        now = self._clock.now()
        self._fleet.on_finished(back_end, request_id, now)
        if failed:
            self._fleet.on_failed(back_end, now)

    def _on_refused(self, back_end: str) -> None:
        self._fleet.on_failed(back_end, self._clock.now())

    def _on_take_retry(self, service: str) -> bool:
        return self._budget(service).take(self._clock.now())

    def _on_succeeded(self, service: str) -> None:
        self._budget(service).succeeded(self._clock.now())

    def _on_configure(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._budgets.clear()
        self._admission.configure(
            configuration.profiles, configuration.customers, configuration.services, {}
        )

    def _on_hosts(self, hosts: Sequence[Host]) -> None:
        self._fleet.on_hosts(hosts, self._clock.now())

    def _on_known(self, service: str, model: str) -> bool:
        return bool(self._fleet.candidates(service, model, self._clock.now(), True))

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio, minimum = 0.1, 3
            entry = self._configuration.services.get(service)
            profile = entry and self._configuration.profiles.get(entry.profile)
            if profile:
                ratio, minimum = profile.retry_ratio, profile.retry_minimum
            budget = self._budgets[service] = RetryBudget(ratio, minimum)
        return budget

    def _admit(self, request_ids: Collection[str]) -> None:
        for request_id in request_ids:
            self._decide(request_id, None)

    def _decide(self, request_id: str, refusal: Refusal | None) -> None:
        answer = self._waiting.pop(request_id, None)
        if answer is not None:
            answer.set_result(refusal)
        elif refusal is None:
            # The caller gave up between its admission and this message.
            self._admit(self._admission.cancel(request_id, self._clock.now()))
