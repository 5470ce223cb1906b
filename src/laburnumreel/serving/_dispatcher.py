"""The task that owns a gateway's view of back ends, its queues and its retry budgets."""

import math
import random
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import Future
from typing import Any, NamedTuple

from laburnumreel.coordination import (
    Admission,
    Admitted,
    BackEnd,
    DrainMark,
    Fleet,
    LoadReport,
    NodeUpdate,
    Offer,
    Quarantine,
    QuarantineEntry,
    Queued,
    Router,
    RoutingRequest,
)
from laburnumreel.core import Clock, Task
from laburnumreel.serving._budgets import RetryBudgets
from laburnumreel.serving._crashes import Crashes
from laburnumreel.serving._metrics import DRAIN_MARKS, QUARANTINED
from laburnumreel.serving._silences import NoTakeover, Silences
from laburnumreel.state import Configuration, Host, Refusal

EXPIRE_S = 0.05
# How long a back end that refused gets nothing: long enough for its own report to tell why.
REFUSED_MARK_S = 1.0
LEAVING_MARK_S = 60.0
CAPACITY_S = 0.2
# How the peer exchange names the peers that run requests.
GATEWAY_PEER = "gateway/"


class _Call(NamedTuple):
    function: Callable[..., Any]
    arguments: tuple[Any, ...]


class Wanted(NamedTuple):
    """Work that wants a back end, and what the quarantine knows it by."""

    work: RoutingRequest
    cheap: bool
    digest: str


class Dispatcher(Task):
    """Admission, choice of back ends and retries, on one thread without locks.

    Request threads call the public methods, which pass messages to the task.
    """

    def __init__(
        self, clock: Clock, zone: str, region: str, rng: random.Random, gateways: int = 1
    ) -> None:
        super().__init__("dispatcher", tick_s=EXPIRE_S)
        self._clock = clock
        self._random = rng
        self._fleet = Fleet(gateways)
        self._router = Router(zone, region, rng)
        self._admission = Admission(rng)
        self._budgets = RetryBudgets()
        self._silences = Silences()
        self._configuration = Configuration()
        self._waiting: dict[str, tuple[Wanted, Future]] = {}
        self._quarantine = Quarantine()
        self._gateways = gateways
        self._capacity_at = 0.0
        # Only a gateway without peers knows all requests that ran on a back end.
        self._crashes = Crashes(self._quarantine, knows_all=gateways <= 1)
        # The body digests by request id of what runs on each back end.
        self._running: dict[str, dict[str, str]] = {}
        self._marks: dict[str, tuple[str, float]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._on_news: Callable[[], None] = lambda: None

    def on_news(self, listener: Callable[[], None]) -> None:
        """Call `listener` when there is something that peers must hear at once."""
        self._on_news = listener

    def offer(self, offer: Offer, wanted: Wanted) -> "Future[Refusal | BackEnd | None]":
        """Ask for admission and a back end.

        The future is done when the request may run: with its back end, on which the work counts as
        sent, or with None where there is none just now.
        """
        answer: Future = Future()
        self._send(self._on_offer, offer, wanted, answer)
        return answer

    def withdraw_offer(self, request_id: str) -> None:
        """Give up a request that waits for admission."""
        self._send(self._on_withdraw_offer, request_id)

    def finish(self, request_id: str, tokens: int) -> None:
        """Give back the place of an admitted request that received this much service."""
        self._send(self._on_finish, request_id, tokens)

    def choose(
        self, work: RoutingRequest, cheap: bool, exclude: Collection[str], digest: str
    ) -> BackEnd | None:
        """Return the back end for this work and count the work as sent to it."""
        return self._ask(self._on_choose, work, cheap, tuple(exclude), digest)

    def held_for(self, digest: str) -> float | None:
        """Return for how many seconds a request is quarantined, or None."""
        return self._quarantine.remaining_quarantine_s(digest, self._clock.now())

    def first_token(self, back_end: str, request_id: str) -> None:
        """Tell that the first token of an answer came: its prompt is no longer queued."""
        self._send(self._on_first_token, back_end, request_id)

    def attempt_ended(
        self, back_end: str, request_id: str, failed: bool, lost: bool = False
    ) -> None:
        """Tell that a request no longer runs on a back end: it failed, or its answer was lost."""
        self._send(self._on_attempt_ended, back_end, request_id, failed, lost)

    def refused(self, back_end: str) -> None:
        """Send nothing more to a back end that refused, for a while."""
        self._send(self._on_refused, back_end)

    def crashed(self, back_end: str, request_id: str, progressed: bool) -> bool:
        """Tell that a back end crashed. True if this request is now quarantined.

        `progressed` says that the back end had sent a part of the answer. A crash then proves
        little against a request that was alone: machines fail under long streams too, and those
        must resume. It counts as a strike only.
        """
        return self._ask(self._on_crashed, back_end, request_id, progressed)

    def leaving(self, back_end: str) -> bool:
        """Return whether a back end is leaving or has left the host list."""
        return back_end in self._leaving

    def take_retry(self, service: str) -> bool:
        """Take one retry from the service's budget, if it has one."""
        return self._ask(lambda: self._budgets.of(service).acquire(self._clock.now()))

    def reserve_takeover(
        self, wanted: Wanted, exclude: Collection[str], silence_s: float
    ) -> BackEnd | NoTakeover:
        """Return a back end that is not silent, for work that is still at a silent one.

        The work counts as sent to it, and one retry of the service is reserved. Use or release it.
        """
        return self._ask(self._on_reserve_takeover, wanted, tuple(exclude), silence_s)

    def use_takeover(self, service: str) -> None:
        """Count the reserved retry: the work leaves the silent back end."""
        self._send(lambda: self._budgets.of(service).commit(self._clock.now()))

    def release_takeover(self, service: str, back_end: str, request_id: str, failed: bool) -> None:
        """Give back a reserved retry and the place, at a back end that may have failed."""
        self._send(lambda: self._budgets.of(service).release())
        self.attempt_ended(back_end, request_id, failed)

    def heard(self, back_end: str) -> None:
        """Tell that a byte came from a back end."""
        self._silences.heard(back_end, self._clock.now())

    def silent(self, back_end: str, request_id: str) -> None:
        """Tell that a request gets no byte from a back end."""
        self._send(self._silences.began, back_end, request_id)

    def spoke(self, back_end: str, request_id: str) -> None:
        """Tell that a request got a byte again."""
        self._send(self._silences.ended, back_end, request_id)

    def succeeded(self, service: str) -> None:
        """Count a success, which adds to the service's retry budget."""
        self._send(lambda: self._budgets.of(service).deposit(self._clock.now()))

    def configure(self, configuration: Configuration) -> None:
        """Take up a newer configuration. Requests that run keep what they started with."""
        self._send(self._on_configure, configuration)

    def hosts(self, hosts: Sequence[Host]) -> None:
        """Take up the platform's host list."""
        self._send(self._on_hosts, hosts)

    def load(self, name: str, report: LoadReport) -> None:
        """Take up an engine's load report."""
        self._send(self._on_load, name, report)

    def cache_events(
        self, name: str, stored: Sequence[str], evicted: Sequence[str], gap: bool
    ) -> None:
        """Take up an engine's cache events."""
        self._send(self._fleet.on_cache_events, name, stored, evicted, gap)

    def news(self) -> "Future[NodeUpdate]":
        """Ask for what peers should know: marks, quarantines, work in flight, service received."""
        return self.ask(_Call(self._news, ()))

    def peer_news(self, peer: str, news: NodeUpdate) -> None:
        """Take up what a peer knows."""
        self._send(self._on_peer_news, peer, news)

    def settle(self) -> None:
        """Return when what was told before, and the usable capacity, is taken up."""
        self._ask(self._update_capacity)

    def engines(self) -> "Future[dict[str, tuple[str, int]]]":
        """Ask for the addresses of the listed engines by name."""
        return self.ask(_Call(self._fleet.addresses, ()))

    def handle(self, message: _Call) -> Any:
        return message.function(*message.arguments)

    def tick(self) -> None:
        now = self._clock.now()
        self._marks = {name: mark for name, mark in self._marks.items() if mark[1] > now}
        self._crashes.forget(now)
        if now - self._capacity_at >= CAPACITY_S:
            self._update_capacity()
        admitted, refused = self._admission.expire(now)
        self._admit(admitted)
        for request_id, refusal in refused:
            self._decide(request_id, refusal)

    def _send(self, function: Callable[..., Any], *arguments: Any) -> None:
        self.tell(_Call(function, arguments))

    def _ask(self, function: Callable[..., Any], *arguments: Any) -> Any:
        return self.ask(_Call(function, arguments)).result()

    def _on_offer(self, offer: Offer, wanted: Wanted, answer: Future) -> None:
        decision = self._admission.offer(offer, self._clock.now())
        if isinstance(decision, Admitted):
            answer.set_result(self._on_choose(wanted.work, wanted.cheap, (), wanted.digest))
        elif isinstance(decision, Queued):
            self._waiting[offer.request_id] = (wanted, answer)
        else:
            answer.set_result(decision.refusal)

    def _on_withdraw_offer(self, request_id: str) -> None:
        self._waiting.pop(request_id, None)
        self._admit(self._admission.cancel(request_id, self._clock.now()))

    def _on_finish(self, request_id: str, tokens: int) -> None:
        self._admit(self._admission.finish(request_id, tokens, self._clock.now()))

    def _on_choose(
        self, work: RoutingRequest, cheap: bool, exclude: tuple[str, ...], digest: str
    ) -> BackEnd | None:
        # Silent back ends are the last resort of new work.
        silent = self._silences.back_ends(self._running)
        chosen = self._place(work, cheap, silent.union(exclude), digest) if silent else None
        return chosen or self._place(work, cheap, exclude, digest)

    def _place(
        self, work: RoutingRequest, cheap: bool, exclude: Collection[str], digest: str
    ) -> BackEnd | None:
        now = self._clock.now()
        candidates = self._fleet.candidates(work.service, work.model, now, cheap, exclude)
        choice = self._router.choose(work, candidates)
        if choice is None:
            return None
        name = choice.back_end.name
        self._fleet.on_sent(name, work.request_id, choice.prefill_tokens, now, work.prefixes)
        self._running.setdefault(name, {})[work.request_id] = digest
        return choice.back_end

    def _on_reserve_takeover(
        self, wanted: Wanted, exclude: tuple[str, ...], silence_s: float
    ) -> BackEnd | NoTakeover:
        (work, cheap, digest), now = wanted, self._clock.now()
        budget = self._budgets.of(work.service)
        if not budget.reserve(now):
            return NoTakeover.NO_RETRY
        silent = self._silences.back_ends(self._running) | self._silences.doubtful(now, silence_s)
        back_end = self._place(work, cheap, silent.union(exclude), digest)
        if back_end is None:
            budget.release()
            return NoTakeover.NO_BACK_END
        return back_end

    def _on_first_token(self, back_end: str, request_id: str) -> None:
        self._fleet.on_first_token(back_end, request_id, self._clock.now())
        self._silences.streams(back_end, request_id)

    def _on_attempt_ended(self, back_end: str, request_id: str, failed: bool, lost: bool) -> None:
        now = self._clock.now()
        self._fleet.on_finished(back_end, request_id, now)
        self._silences.left(back_end, request_id)
        running = self._running.get(back_end, {})
        digest = running.pop(request_id, None)
        if lost and digest is not None:
            self._crashes.lost(back_end, request_id, digest, now)
        if not running:
            self._running.pop(back_end, None)
        if failed:
            self._fleet.on_failed(back_end, now)

    def _on_refused(self, back_end: str) -> None:
        self._mark(back_end, "refused", self._clock.now() + REFUSED_MARK_S)

    def _on_crashed(self, back_end: str, request_id: str, progressed: bool) -> bool:
        now = self._clock.now()
        running = self._running.get(back_end, {})
        held = self._crashes.crashed(back_end, request_id, progressed, running, now)
        if held:
            QUARANTINED.inc(len(held))
            self._on_news()
        return self._crashes.is_held(back_end, request_id, now)

    def _on_configure(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._budgets.configure(configuration)
        self._update_capacity()

    def _on_hosts(self, hosts: Sequence[Host]) -> None:
        now = self._clock.now()
        self._fleet.on_hosts(hosts, now)
        self._update_capacity()
        leaving = frozenset(host.name for host in hosts if host.state != "live")
        for name in leaving - self._leaving:
            self._mark(name, "leaving", now + LEAVING_MARK_S)
        self._leaving = leaving

    def _on_load(self, name: str, report: LoadReport) -> None:
        self._fleet.on_load(name, report, self._clock.now())

    def _news(self) -> NodeUpdate:
        now = self._clock.now()
        # Only own marks: marks that nodes pass on for each other would never end.
        return NodeUpdate(
            drains=tuple(
                DrainMark(target, reason, until - now)
                for target, (reason, until) in self._marks.items()
                if until > now
            ),
            quarantines=tuple(
                QuarantineEntry(digest, remaining)
                for digest, remaining in self._quarantine.entries(now).items()
            ),
            in_flight=self._fleet.local_work(),
            received=self._admission.pop_received(),
        )

    def _on_peer_news(self, peer: str, news: NodeUpdate) -> None:
        now = self._clock.now()
        for mark in news.drains:
            self._fleet.on_drain(mark.target, mark.reason, now + mark.remaining_s)
        entries = {entry.digest: entry.remaining_s for entry in news.quarantines}
        self._quarantine.on_peer_entries(entries, now)
        # Coordinators run no requests: hearing one must not stand in for a silent gateway.
        if peer.startswith(GATEWAY_PEER):
            self._fleet.on_peer_work(peer, news.in_flight, now)
        self._admission.on_peer_received(peer, news.received, now)

    def _update_capacity(self) -> None:
        """Tell the admission how much the usable back ends can run."""
        now = self._capacity_at = self._clock.now()
        services, profiles = self._configuration.services, self._configuration.profiles
        capacity = {}
        for service in services.values():
            profile = profiles.get(service.profile)
            cheap = profile is not None and profile.cheap_back_ends == "interruptible"
            gap = profile.token_gap_s if profile is not None else math.inf
            capacity[service.name] = self._fleet.capacity(
                service.name, now, cheap, self._gateways, gap
            )
        self._admission.configure(profiles, self._configuration.customers, services, capacity)

    def _mark(self, target: str, reason: str, until: float) -> None:
        """Send nothing more to a back end, and tell the peers if that is new."""
        new = self._marks.get(target, ("", 0.0))[1] <= self._clock.now()
        self._marks[target] = (reason, until)
        self._fleet.on_drain(target, reason, until)
        if new:
            DRAIN_MARKS.inc(reason=reason)
            self._on_news()

    def _admit(self, request_ids: Collection[str]) -> None:
        for request_id in request_ids:
            self._decide(request_id, None)

    def _decide(self, request_id: str, refusal: Refusal | None) -> None:
        wanted, answer = self._waiting.pop(request_id, (None, None))
        if answer is not None:
            if refusal is None:
                answer.set_result(self._on_choose(wanted.work, wanted.cheap, (), wanted.digest))
            else:
                answer.set_result(refusal)
        elif refusal is None:
            # The caller gave up between its admission and this message.
            self._admit(self._admission.cancel(request_id, self._clock.now()))
