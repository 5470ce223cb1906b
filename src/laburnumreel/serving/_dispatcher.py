"""The task that owns a gateway's view of back ends, its queues and its retry budgets."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from concurrent.futures import Future
from typing import Any, NamedTuple

from laburnumreel.coordination import (
    Admission,
    Admitted,
    BackEnd,
    DrainMark,
    Fleet,
    HeldPartStatus,
    LoadReport,
    NodeUpdate,
    Offer,
    Quarantine,
    QuarantineEntry,
    Queued,
    Router,
    RoutingRequest,
)
from laburnumreel.core import Clock, Log, Task
from laburnumreel.serving._budgets import ServiceRetryBudgets
from laburnumreel.serving._crashes import CrashTracker, RunningWork
from laburnumreel.serving._events import HOST_NAME_REPEATED
from laburnumreel.serving._held_parts import HeldParts
from laburnumreel.serving._metrics import DRAIN_MARKS, QUARANTINED
from laburnumreel.serving._silence_tracker import HedgeDenial, SilenceTracker
from laburnumreel.state import Configuration, ErrorKind, Host, Refusal

TICK_INTERVAL_S = 0.05
# How long a back end gets no work after a refusal: long enough for its load report to show why.
REFUSED_DRAIN_S = 1.0
LEAVING_DRAIN_S = 60.0
CAPACITY_INTERVAL_S = 0.2
MAX_LOGGED_NAMES = 10
# Prefix of the peer names of gateways, which are the peers that run requests.
GATEWAY_PEER_PREFIX = "gateway/"

_log = Log("serving.dispatcher")


class _Call(NamedTuple):
    function: Callable[..., Any]
    arguments: tuple[Any, ...]


class BackEndSelection(NamedTuple):
    """Work that needs a back end, and the digest that identifies it in the quarantine."""

    work: RoutingRequest
    allow_interruptible: bool
    digest: str


class Dispatcher(Task):
    """Handles admission, choice of back ends and retries on one thread, without locks.

    Request threads call the public methods, which send messages to the task.
    """

    def __init__(
        self, clock: Clock, zone: str, region: str, rng: random.Random, gateways: int = 1
    ) -> None:
        super().__init__("dispatcher", tick_s=TICK_INTERVAL_S)
        self._clock = clock
        self._random = rng
        self._fleet = Fleet(gateways)
        self._router = Router(zone, region, rng)
        self._admission = Admission(rng)
        self._budgets = ServiceRetryBudgets()
        self._silence_tracker = SilenceTracker()
        self._configuration = Configuration()
        self._queued: dict[str, tuple[BackEndSelection, Future]] = {}
        self._quarantine = Quarantine()
        self._gateways = gateways
        self._capacity_updated_at = 0.0
        # Only a gateway without peers knows all requests that were running on a back end.
        self._held_parts = HeldParts()
        self._crash_tracker = CrashTracker(
            self._quarantine, self._held_parts, sees_all_requests=gateways <= 1
        )
        # The requests that run on each back end, by request id.
        self._running: dict[str, dict[str, RunningWork]] = {}
        self._drain_marks: dict[str, tuple[str, float]] = {}
        # The names of the back ends that are leaving, and the identities of all hosts that are.
        self._leaving: frozenset[str] = frozenset()
        self._marked_leaving: frozenset[str] = frozenset()
        self._repeated_names: frozenset[str] = frozenset()
        self._notify_update: Callable[[], None] = lambda: None

    def set_update_listener(self, listener: Callable[[], None]) -> None:
        """Set the function to call when peers must receive an update immediately."""
        self._notify_update = listener

    def offer(
        self, offer: Offer, selection: BackEndSelection
    ) -> "Future[Refusal | BackEnd | None]":
        """Request admission and a back end.

        The future is done when the request may run or is refused. Its result is the back end, on
        which the work counts as sent; None if no back end is available now; or the refusal.
        """
        future: Future = Future()
        self._post(self._on_offer, offer, selection, future)
        return future

    def cancel_offer(self, request_id: str) -> None:
        """Withdraw a request that waits for admission."""
        self._post(self._on_cancel_offer, request_id)

    def finish(self, request_id: str, tokens: int) -> None:
        """Record the end of an admitted request that used this number of tokens."""
        self._post(self._on_finish, request_id, tokens)

    def choose(
        self, work: RoutingRequest, allow_interruptible: bool, exclude: Collection[str], digest: str
    ) -> BackEnd | Refusal | None:
        """Return a back end for this work, which then counts as sent to it, or None.

        Work with a held part in its prompt gets a refusal.
        """
        return self._call(self._on_choose, work, allow_interruptible, tuple(exclude), digest)

    def remaining_quarantine_s(self, digest: str) -> float | None:
        """Return the remaining seconds of a request's quarantine, or None."""
        return self._quarantine.remaining_quarantine_s(digest, self._clock.now())

    def find_held_part(self, parts: Sequence[str]) -> Refusal | None:
        """Return the refusal of a prompt that has one of these parts if it is held, or None."""
        return self._held_parts.refusal(parts, self._clock.now())

    def on_first_token(self, back_end: str, request_id: str) -> None:
        """Record the first token of an answer, after which its prompt is no longer queued."""
        self._post(self._on_first_token, back_end, request_id)

    def on_attempt_ended(
        self, back_end: str, request_id: str, has_failed: bool, is_answer_lost: bool = False
    ) -> None:
        """Record that a request no longer runs on a back end.

        `has_failed` is true if the back end failed, `is_answer_lost` if the answer was lost.
        """
        self._post(self._on_attempt_ended, back_end, request_id, has_failed, is_answer_lost)

    def on_refused(self, back_end: str) -> None:
        """Exclude a back end that refused a request from new work for `REFUSED_DRAIN_S`."""
        self._post(self._on_refused, back_end)

    def on_crash(self, back_end: str, request_id: str, has_progressed: bool) -> bool:
        """Record the crash of a back end and return whether this request is now quarantined.

        `has_progressed` is true if the back end had sent a part of the answer. Then the crash is weak
        evidence even against a request that was running alone, since machines also fail during
        long streams, which must resume. It counts only as one strike.
        """
        return self._call(self._on_crash, back_end, request_id, has_progressed)

    def is_leaving(self, back_end: str) -> bool:
        """Return whether a back end is leaving or has left the host list."""
        return back_end in self._leaving

    def acquire_retry(self, service: str) -> bool:
        """Take one permit from the retry budget of a service, and return whether there was one."""
        return self._call(lambda: self._budgets.for_service(service).acquire(self._clock.now()))

    def reserve_hedge(
        self, selection: BackEndSelection, exclude: Collection[str], silence_s: float
    ) -> BackEnd | HedgeDenial:
        """Reserve a back end that is not silent for work that is at a silent one.

        The work counts as sent to it, and one retry permit of the service is reserved. The caller
        must use or release the reservation.
        """
        return self._call(self._on_reserve_hedge, selection, tuple(exclude), silence_s)

    def commit_hedge(self, service: str) -> None:
        """Use a reserved retry permit, as the hedged request is about to be sent."""
        self._post(lambda: self._budgets.for_service(service).commit(self._clock.now()))

    def release_hedge(self, service: str, back_end: str, request_id: str, has_failed: bool) -> None:
        """Release a reserved retry permit and the slot at the back end, which may have failed."""
        self._post(lambda: self._budgets.for_service(service).release())
        self.on_attempt_ended(back_end, request_id, has_failed)

    def on_bytes(self, back_end: str) -> None:
        """Record that bytes arrived from a back end."""
        self._silence_tracker.on_bytes(back_end, self._clock.now())

    def on_silence(self, back_end: str, request_id: str) -> None:
        """Record that a request receives no bytes from a back end."""
        self._post(self._silence_tracker.on_silence, back_end, request_id)

    def on_silence_ended(
        self, back_end: str, request_id: str, has_received_bytes: bool = True
    ) -> None:
        """Record that a request is no longer silent, as a rule because it receives bytes again."""
        if has_received_bytes:
            now = self._clock.now()
            self._silence_tracker.on_resumed(back_end, now)
            self._post(self._silence_tracker.on_back_end_resumed, back_end, self._running, now)
        self._post(self._silence_tracker.on_silence_ended, back_end, request_id)

    def has_just_resumed(self, back_end: str) -> bool:
        """Return whether a silent request received bytes from a back end a moment ago."""
        return self._silence_tracker.has_just_resumed(back_end, self._clock.now())

    def on_success(self, service: str) -> None:
        """Record a success, which adds to the retry budget of the service."""
        self._post(lambda: self._budgets.for_service(service).deposit(self._clock.now()))

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration. Running requests keep the one that they started with."""
        self._post(self._on_configure, configuration)

    def hosts(self, hosts: Sequence[Host]) -> None:
        """Apply the host list of the platform."""
        self._post(self._on_hosts, hosts)

    def on_load(self, name: str, report: LoadReport) -> None:
        """Apply the load report of an engine."""
        self._post(self._on_load, name, report)

    def on_cache_events(
        self, name: str, stored: Sequence[str], evicted: Sequence[str], gap: bool
    ) -> None:
        """Apply the cache events of an engine. `gap` is true if earlier events were missed."""
        self._post(self._fleet.on_cache_events, name, stored, evicted, gap)

    def local_update(self) -> "Future[NodeUpdate]":
        """Return the update for peers: drain marks, quarantines, work in flight, usage."""
        return self.ask(_Call(self._local_update, ()))

    def on_peer_update(self, peer: str, update: NodeUpdate) -> None:
        """Apply the update of a peer."""
        self._post(self._on_peer_update, peer, update)

    def on_peer_holds(self, held_parts: Mapping[str, float]) -> None:
        """Apply the held parts of prompts of a peer."""
        self._post(self._on_peer_update, "", NodeUpdate(held_parts=held_parts))

    def list_held_parts(self) -> list[HeldPartStatus]:
        """Return the held parts of prompts, for operators."""
        return self._call(lambda: self._held_parts.list_held(self._clock.now()))

    def release_part(self, part: str) -> bool:
        """Let a part of prompts go here and at the peers, and return whether it was held."""
        return self._call(self._on_release_part, part)

    def wait_until_processed(self) -> None:
        """Wait until all earlier messages are handled and the usable capacity is updated."""
        self._call(self._update_capacity)

    def engine_addresses(self) -> "Future[dict[str, tuple[str, int]]]":
        """Return the addresses of the listed engines by name."""
        return self.ask(_Call(self._fleet.addresses, ()))

    def handle(self, message: _Call) -> Any:
        return message.function(*message.arguments)

    def tick(self) -> None:
        now = self._clock.now()
        self._drain_marks = {
            name: drain_mark
            for name, drain_mark in self._drain_marks.items()
            if drain_mark[1] > now
        }
        self._crash_tracker.forget_old_losses(now)
        held = self._held_parts.hold_guilty(now)
        if held:
            self._refuse_held()
        if self._crash_tracker.take_back_strikes(now) or held:
            self._notify_update()
        if now - self._capacity_updated_at >= CAPACITY_INTERVAL_S:
            self._update_capacity()
        self._expire_offers()
        self._silence_tracker.forget_old(now)

    def close(self) -> None:
        for request_id in list(self._queued):
            self._resolve_offer(request_id, Refusal(ErrorKind.STOPPING))

    def _post(self, function: Callable[..., Any], *arguments: Any) -> None:
        self.tell(_Call(function, arguments))

    def _call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        return self.ask(_Call(function, arguments)).result()

    def _on_offer(self, offer: Offer, selection: BackEndSelection, future: Future) -> None:
        now = self._clock.now()
        held = self._held_parts.refusal(selection.work.parts, now)
        if held is not None:
            future.set_result(held)
            return
        due_at = self._fleet.first_report_due_at(offer.service, now, selection.allow_interruptible)
        decision = self._admission.offer(offer, now, due_at)
        if isinstance(decision, Admitted):
            future.set_result(
                self._on_choose(selection.work, selection.allow_interruptible, (), selection.digest)
            )
        elif isinstance(decision, Queued):
            self._queued[offer.request_id] = (selection, future)
        else:
            future.set_result(decision.refusal)

    def _expire_offers(self) -> None:
        """Refuse the waiting offers whose time is over, and admit those that fit."""
        admitted, refused = self._admission.expire(self._clock.now())
        self._resolve_admitted(admitted)
        for request_id, refusal in refused:
            self._resolve_offer(request_id, refusal)

    def _on_cancel_offer(self, request_id: str) -> None:
        if self._queued.pop(request_id, None) is None:
            # It was admitted before this message, and its request does not know the back end.
            for back_end, running in list(self._running.items()):
                if request_id in running:
                    self._on_attempt_ended(back_end, request_id, False, False)
        self._resolve_admitted(self._admission.cancel(request_id, self._clock.now()))

    def _on_finish(self, request_id: str, tokens: int) -> None:
        self._resolve_admitted(self._admission.finish(request_id, tokens, self._clock.now()))

    def _on_choose(
        self, work: RoutingRequest, allow_interruptible: bool, exclude: tuple[str, ...], digest: str
    ) -> BackEnd | Refusal | None:
        held = self._held_parts.refusal(work.parts, self._clock.now())
        if held is not None:
            return held
        # New work goes to a silent back end only if there is no other one.
        silent = self._silence_tracker.silent_back_ends(self._running)
        chosen = (
            self._choose_and_record(work, allow_interruptible, silent.union(exclude), digest)
            if silent
            else None
        )
        return chosen or self._choose_and_record(work, allow_interruptible, exclude, digest)

    def _choose_and_record(
        self, work: RoutingRequest, allow_interruptible: bool, exclude: Collection[str], digest: str
    ) -> BackEnd | None:
        now = self._clock.now()
        candidates = self._fleet.candidates(
            work.service, work.model, now, allow_interruptible, exclude
        )
        if work.software is not None:
            candidates = [each for each in candidates if each.software == work.software]
        choice = self._router.choose(work, candidates)
        if choice is None:
            return None
        name = choice.back_end.name
        self._fleet.on_sent(name, work.request_id, choice.prefill_tokens, now, work.prefixes)
        self._running.setdefault(name, {})[work.request_id] = RunningWork(digest, work)
        return choice.back_end

    def _on_reserve_hedge(
        self, selection: BackEndSelection, exclude: tuple[str, ...], silence_s: float
    ) -> BackEnd | HedgeDenial:
        (work, allow_interruptible, digest), now = selection, self._clock.now()
        if self._held_parts.refusal(work.parts, now) is not None:
            return HedgeDenial.HELD
        budget = self._budgets.for_service(work.service)
        if not budget.reserve(now):
            return HedgeDenial.NO_RETRY
        tracker = self._silence_tracker
        resuming = tracker.resuming_back_ends(now, work.request_id)
        unfit = {
            *exclude,
            *tracker.silent_back_ends(self._running),
            *tracker.paused_back_ends(now, silence_s),
            *resuming,
        }
        back_end = self._choose_and_record(work, allow_interruptible, unfit, digest)
        if back_end is None:
            budget.release()
            if resuming:
                tracker.on_put_off(work.request_id, now)
            return HedgeDenial.NO_BACK_END
        return back_end

    def _on_first_token(self, back_end: str, request_id: str) -> None:
        now = self._clock.now()
        self._fleet.on_first_token(back_end, request_id, now)
        self._silence_tracker.on_stream_started(back_end, request_id)
        running = self._running.get(back_end, {})
        if request_id in running:
            running[request_id] = running[request_id]._replace(has_begun=True)
            if self._held_parts.record_answer(running[request_id].work.parts, now):
                self._notify_update()

    def _on_attempt_ended(
        self, back_end: str, request_id: str, has_failed: bool, is_answer_lost: bool
    ) -> None:
        now = self._clock.now()
        self._fleet.on_finished(back_end, request_id, now)
        self._silence_tracker.on_request_left(back_end, request_id)
        running = self._running.get(back_end, {})
        work = running.pop(request_id, None)
        if is_answer_lost and work is not None:
            self._crash_tracker.record_lost_answer(back_end, request_id, work, now)
        if not running:
            self._running.pop(back_end, None)
        if has_failed:
            self._fleet.on_failed(back_end, now)

    def _on_refused(self, back_end: str) -> None:
        target = self._fleet.identity(back_end)
        self._add_drain_mark(target, "refused", self._clock.now() + REFUSED_DRAIN_S)

    def _on_crash(self, back_end: str, request_id: str, has_progressed: bool) -> bool:
        now = self._clock.now()
        running = self._running.get(back_end, {})
        quarantined = self._crash_tracker.record_crash(
            back_end, request_id, has_progressed, running, now
        )
        if quarantined:
            QUARANTINED.inc(len(quarantined))
        self._notify_update()
        return self._crash_tracker.is_quarantined(back_end, request_id, now)

    def _on_configure(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._budgets.configure(configuration)
        self._update_capacity()

    def _on_hosts(self, hosts: Sequence[Host]) -> None:
        now = self._clock.now()
        self._fleet.on_hosts(hosts, now)
        self._update_capacity()
        leaving = frozenset(host.identity for host in hosts if host.state != "live")
        for identity in leaving - self._marked_leaving:
            self._add_drain_mark(identity, "leaving", now + LEAVING_DRAIN_S)
        self._marked_leaving, self._leaving = leaving, self._fleet.leaving
        self._log_repeated_names(hosts)

    def _log_repeated_names(self, hosts: Sequence[Host]) -> None:
        counts = Counter(host.name for host in hosts)
        repeated = frozenset(name for name, count in counts.items() if count > 1)
        if repeated - self._repeated_names:
            _log.warning(HOST_NAME_REPEATED, names=sorted(repeated)[:MAX_LOGGED_NAMES])
        self._repeated_names = repeated

    def _on_load(self, name: str, report: LoadReport) -> None:
        if self._fleet.on_load(name, report, self._clock.now()):
            self._update_capacity()
            self._expire_offers()

    def _local_update(self) -> NodeUpdate:
        now = self._clock.now()
        # Only own marks: marks that nodes forward for each other would never expire.
        return self._held_parts.make_update(now)._replace(
            drains=tuple(
                DrainMark(target, reason, until - now)
                for target, (reason, until) in self._drain_marks.items()
                if until > now
            ),
            quarantines=tuple(
                QuarantineEntry(digest, remaining)
                for digest, remaining in self._quarantine.entries(now).items()
            ),
            in_flight=self._fleet.local_work(),
            received=self._admission.pop_received(),
        )

    def _on_peer_update(self, peer: str, update: NodeUpdate) -> None:
        now = self._clock.now()
        for drain_mark in update.drains:
            self._fleet.on_drain(drain_mark.target, drain_mark.reason, now + drain_mark.remaining_s)
        entries = {entry.digest: entry.remaining_s for entry in update.quarantines}
        self._quarantine.on_peer_entries(entries, now)
        # Coordinators run no requests, so an update from one must not replace a silent gateway's.
        if peer.startswith(GATEWAY_PEER_PREFIX):
            self._fleet.on_peer_work(peer, update.in_flight, now)
        self._admission.on_peer_received(peer, update.received, now)
        if self._held_parts.on_peer_update(update, now):
            self._refuse_held()
            # Where each round calls a sample of the peers, it reaches all sooner so.
            self._notify_update()

    def _update_capacity(self) -> None:
        """Update the admission with the capacity of the usable back ends."""
        now = self._capacity_updated_at = self._clock.now()
        services, profiles = self._configuration.services, self._configuration.profiles
        capacity = {}
        for service in services.values():
            profile = profiles.get(service.profile)
            allow_interruptible = profile is not None and profile.cheap_back_ends == "interruptible"
            gap = profile.token_gap_s if profile is not None else math.inf
            capacity[service.name] = self._fleet.capacity(
                service.name, now, allow_interruptible, self._gateways, gap
            )
        self._admission.configure(profiles, self._configuration.customers, services, capacity)

    def _add_drain_mark(self, target: str, reason: str, until: float) -> None:
        """Exclude a back end from new work, and notify the peers if it was not excluded before."""
        is_new = self._drain_marks.get(target, ("", 0.0))[1] <= self._clock.now()
        self._drain_marks[target] = (reason, until)
        self._fleet.on_drain(target, reason, until)
        if is_new:
            DRAIN_MARKS.inc(reason=reason)
            self._notify_update()

    def _on_release_part(self, part: str) -> bool:
        is_released = self._held_parts.release(part, self._clock.now())
        if is_released:
            self._notify_update()
        return is_released

    def _refuse_held(self) -> None:
        """Refuse the requests that wait for admission and have a held part."""
        now = self._clock.now()
        for request_id, (selection, future) in list(self._queued.items()):
            refusal = self._held_parts.refusal(selection.work.parts, now)
            if refusal is not None and self._queued.pop(request_id, None) is not None:
                future.set_result(refusal)
                self._resolve_admitted(self._admission.cancel(request_id, now))

    def _resolve_admitted(self, request_ids: Collection[str]) -> None:
        for request_id in request_ids:
            self._resolve_offer(request_id, None)

    def _resolve_offer(self, request_id: str, refusal: Refusal | None) -> None:
        selection, future = self._queued.pop(request_id, (None, None))
        if future is not None:
            if refusal is None:
                future.set_result(
                    self._on_choose(
                        selection.work, selection.allow_interruptible, (), selection.digest
                    )
                )
            else:
                future.set_result(refusal)
        elif refusal is None:
            # The caller withdrew between its admission and this message.
            self._resolve_admitted(self._admission.cancel(request_id, self._clock.now()))
