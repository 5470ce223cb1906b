"""The task that owns the state of the backend servers and decides where requests go."""

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._assigner import Assigner
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import DEFAULT_HEARTBEAT_S, Address, ListedBackEnd
from laburnumreel.relay._cost_model import Location, PlacementCosts
from laburnumreel.relay._crash_evidence import CrashUpdate, HeldPartView, HeldReason, LostRequest
from laburnumreel.relay._dispatcher_messages import (
    AcquirePermit,
    AddressTaken,
    AttemptEnded,
    AvoidServer,
    CheckCallLimit,
    DirectoryLinkChanged,
    GenerationStarted,
    GetCrashUpdate,
    GetHeldParts,
    GetHoldBack,
    GetOwnBeliefs,
    IsWaitingForHolds,
    LimitEnded,
    ListingRead,
    PlaceRequest,
    PromptAnswered,
    PromptRead,
    ReleasePart,
    ReturnPermit,
    ServerCrashed,
    ServerProbed,
    ServerReported,
    ServerUnreachable,
    UnwatchParts,
    UpdatesReceived,
    UsePermit,
    WatchParts,
    WithdrawRequest,
    WorkEnded,
)
from laburnumreel.relay._events import RELAY_REQUEST_FAILED
from laburnumreel.relay._feed_follower import LinkState
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._holds_wait import HoldsWait
from laburnumreel.relay._metrics import RELAY_WAITING
from laburnumreel.relay._parts_in_flight import PartsInFlight, RequestWithParts
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._refusals import RefusalFactory
from laburnumreel.relay._requests import Prompt, SelfReport
from laburnumreel.relay._retry_budgets import FleetRetryBudgets, RetryDecision
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._waiting import SlotReleaseRate, order_waiting
from laburnumreel.relay._work import Work
from laburnumreel.state import ErrorKind, Refusal

TICK_S = 0.05
# Maximum number of requests of one host that wait for a slot. Each holds a thread, and some threads
# must remain for running requests. Those that wait for holds count as well, those of all services
# together.
MAX_WAITING = 24
# After this many requests of a service found no slot in a pass, the others are left for the next
# pass, because each attempt evaluates all engines.
MAX_FAILED_TRIES = 6
# Minimum time between two passes after one in which requests found no slot, in total and for each
# evaluated backend server. An attempt evaluates all of them, at some 10 microseconds each, so
# passes take at most about an eighth of a processor.
PASS_INTERVAL_S = 0.005
PASS_INTERVAL_PER_BACK_END_S = 0.0005

_log = Log("relay.dispatcher")


class Dispatcher(Task):
    """Places requests, tracks outstanding work, and records the health of backend servers."""

    def __init__(
        self,
        clock: Clock,
        own_location: Location,
        regions: Mapping[str, str],
        retry: RetrySettings,
        return_grace_s: float,
        rng: random.Random,
        costs: PlacementCosts | None = None,
        host: str = "",
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        super().__init__("relay-dispatcher", TICK_S)
        self._clock = clock
        self._retry_budget = FleetRetryBudgets(retry, clock.now())
        self._fleet_state = FleetState(
            own_location,
            regions,
            return_grace_s,
            host,
            self._retry_budget.requests_per_s,
            rng,
            heartbeat_s,
        )
        self._rng = rng
        self._refusals = RefusalFactory(self._fleet_state, rng)
        self._assigner = Assigner(
            own_location, self._fleet_state, self._refusals, costs or PlacementCosts()
        )
        self._release_rates: dict[str, SlotReleaseRate] = {}
        # By the future of each request: callers may use the same request id more than once.
        self._waiting: dict[Future, PlaceRequest] = {}
        # The time at which a request last had to wait for a slot, by service.
        self._last_short_at: dict[str, float] = {}
        self._next_pass_at = float("-inf")
        self._on_crash_news: Callable[[], None] = lambda: None
        self._on_software: Callable[[Mapping[str, frozenset[str]], bool], None] = (
            lambda listed, is_gap: None
        )
        self._listed_software: Mapping[str, frozenset[str]] = {}
        self._check_address: Callable[[Address], Future] | None = None
        self._is_cut_off = self._is_reach_doubtful = False
        self._holds_wait = HoldsWait(rng)
        self._parts_in_flight = PartsInFlight()

    # Calls from other threads.

    def place(self, request: PlacementRequest) -> Future:
        """Return a future that resolves to an `Assignment` or a `Refusal` for a request."""
        future: Future = Future()
        self.tell(PlaceRequest(request, future))
        return future

    def withdraw(self, future: Future) -> None:
        """Remove the waiting request for which `place` returned this future."""
        self.tell(WithdrawRequest(future))

    def on_work_ended(self, back_end: str, work: Work, service: str) -> None:
        """Record that work at a backend server has ended."""
        self.tell(WorkEnded(back_end, work, service))

    def on_prompt_read(self, assignment: Assignment, prompt: Prompt, took_ms: float) -> None:
        """Record that an engine has read a prompt in `took_ms` milliseconds."""
        self.tell(PromptRead(assignment, prompt, took_ms))

    def on_stream_started(self, back_end: str, read_work: Work) -> None:
        """Record that an engine has read the prompt of a stream that it runs."""
        self.tell(GenerationStarted(back_end, read_work))

    def record_outcome(self, back_end: str, failed: bool, took_ms: float | None = None) -> None:
        """Record how an attempt at a backend server ended."""
        self.tell(AttemptEnded(back_end, failed, took_ms))

    def record_unreachable(self, back_end: str) -> None:
        """Record that a connection to a backend server failed or became silent."""
        self.tell(ServerUnreachable(back_end))

    def avoid(self, back_end: str, seconds: float) -> None:
        """Avoid a backend server for some seconds, and report this to the peers."""
        self.tell(AvoidServer(back_end, seconds))

    def on_self_report(self, back_end: ListedBackEnd, self_report: SelfReport) -> None:
        """Record what a backend server reported about itself in an answer."""
        if self_report != SelfReport():
            self.tell(ServerReported(back_end, self_report))

    def on_limit_removed(self, back_end: ListedBackEnd) -> None:
        """Record that a backend server with a limit answered without naming the limit."""
        self.tell(LimitEnded(back_end))

    def acquire_call_permit(self, back_end: ListedBackEnd) -> bool:
        """Count a call other than a request against a backend server's limit.

        Return False, without counting it, if the limit has no room.
        """
        return self.ask(CheckCallLimit(back_end)).result()

    def on_address_reused(self, back_end: str) -> None:
        """Record that the address of a backend server is now used by another one."""
        self.tell(AddressTaken(back_end))

    def record_crash(self, back_end: str, lost: LostRequest) -> None:
        """Record that a backend server crashed while running a request."""
        self.tell(ServerCrashed(back_end, lost))

    def set_crash_listener(self, on_crash_news: Callable[[], None]) -> None:
        """Set the function to call when the peers should learn of a crash or a hold at once."""
        self._on_crash_news = on_crash_news

    def set_software_listener(
        self, on_software: Callable[[Mapping[str, frozenset[str]], bool], None]
    ) -> None:
        """Set the function to call with the listed versions by service, whenever they change.

        Its second argument is whether backend servers may have come and gone unseen before.
        """
        self._on_software = on_software

    def set_address_check(self, check_address: Callable[[Address], Future]) -> None:
        """Set the function that opens a connection; its future is whether that was accepted."""
        self._check_address = check_address

    @property
    def is_cut_off(self) -> bool:
        """Whether this host reaches no backend server."""
        return self._is_cut_off

    @property
    def is_reach_doubtful(self) -> bool:
        """Whether connections to servers failed, and it is not known yet if this host is cut off."""
        return self._is_reach_doubtful and not self._is_cut_off

    def set_holds_query(self, ask_holds: Callable[[int], None]) -> None:
        """Set the function to call when peers should tell at once which parts are held."""
        self._holds_wait.set_ask(ask_holds)

    def is_waiting_for_holds(self) -> bool:
        """Return whether this host may not know what its peers hold."""
        return self.ask(IsWaitingForHolds()).result()

    def crash_update(self) -> CrashUpdate:
        """Return what peers need to know of crashes."""
        return self.ask(GetCrashUpdate()).result()

    def held_parts(self) -> list[HeldPartView]:
        """Return the parts of prompts that are held, for operators."""
        return self.ask(GetHeldParts()).result()

    def release_part(self, part: str) -> bool:
        """Let a held part go on all hosts, and return whether it was held here."""
        return self.ask(ReleasePart(part)).result()

    def watch_parts(self, request: RequestWithParts) -> None:
        """End an admitted request when a part of its prompt gets held, until `unwatch_parts`."""
        self.tell(WatchParts(request))

    def unwatch_parts(self, request: RequestWithParts) -> None:
        """Leave a request alone, because it has ended."""
        self.tell(UnwatchParts(request))

    def on_prompt_answered(self, parts: tuple[str, ...]) -> None:
        """Record that the answer to a prompt with these shared parts has begun."""
        if parts:
            self.tell(PromptAnswered(parts))

    def on_listing(self, listing: Listing[ListedBackEnd]) -> None:
        """Apply a listing of the directory."""
        self.tell(ListingRead(listing))

    def apply_listing(self, listing: Listing[ListedBackEnd]) -> Future:
        """Apply a listing of the directory; return a future that is done when it is applied."""
        return self.ask(ListingRead(listing))

    def on_directory_link(self, link: LinkState) -> None:
        """Record that the directory was lost, is doubted by peers, or is back."""
        self.tell(DirectoryLinkChanged(link))

    def on_peer_updates(self, batch: Sequence[PeerUpdate]) -> None:
        """Apply updates from peers."""
        self.tell(UpdatesReceived(batch))

    def on_peer_silent(self, name: str) -> None:
        """Record that a peer is no longer heard from."""
        self.tell(("silent", name))

    def hosts(self, count: int, replaces_killed: bool = False) -> None:
        """Set the number of hosts that share the retry budget and the limits of backend servers.

        `replaces_killed` tells whether the previous process of this host was killed.
        """
        self.tell(("hosts", count, replaces_killed))

    def retry(self, retry: RetrySettings) -> None:
        """Set the settings of the retry budget."""
        self.tell(retry)

    def acquire_retry_permit(self, service: str) -> RetryDecision:
        """Reserve a permit of the retry budget for one more send of a request, if there is one."""
        return self.ask(AcquirePermit(service)).result()

    def use_retry_permit(self, service: str) -> None:
        """Use a permit that `may_repeat` reserved, as the send is made now."""
        self.tell(UsePermit(service))

    def release_retry_permit(self, service: str) -> None:
        """Release a permit that `may_repeat` reserved, as the send will not be made."""
        self.tell(ReturnPermit(service))

    def held(self, digest: str, parts: tuple[str, ...], token: str) -> HeldReason | None:
        """Return why a request is held back because it crashes backend servers, or None."""
        return self.ask(GetHoldBack(digest, parts, token)).result()

    def local_state(self, cross_region: bool) -> Future:
        """Return a future of the `LocalFleetState` for peers nearby, or far away if `cross_region`."""
        return self.ask(GetOwnBeliefs(cross_region))

    def view(self) -> Future:
        """Return a future of the `FleetView`."""
        return self.ask("view")

    # The task's own thread.

    def handle(self, message: object) -> object:
        now = self._clock.now()
        self._holds_wait.on_run(self._fleet_state.crash_evidence.has_peers, now)
        match message:
            case PlaceRequest():
                self._place_or_queue(message, now)
            case WithdrawRequest(future):
                self._waiting.pop(future, None)
            case WorkEnded(back_end, work, service):
                self._fleet_state.ledger.remove(back_end, work)
                self._release_rates.setdefault(service, SlotReleaseRate()).record_release(now)
                self._place_waiting(now)
            case PromptRead(assignment, prompt, took_ms):
                self._fleet_state.on_prompt_read(assignment, prompt, took_ms, now)
                self._place_waiting(now)
            case GenerationStarted(back_end, read_work):
                self._fleet_state.ledger.remove(back_end, read_work)
                self._place_waiting(now)
            case AttemptEnded(back_end, failed, took_ms):
                self._fleet_state.record_outcome(back_end, failed, took_ms, now)
            case ServerUnreachable(back_end):
                self._fleet_state.record_unreachable(back_end, now)
                self._probe_servers(now)
            case ServerProbed(back_end, is_reached, began_at):
                if self._fleet_state.on_probed(back_end, is_reached, began_at, now):
                    self._on_crash_news()
                self._probe_servers(now)
                self._place_waiting(now)
            case AvoidServer(back_end, seconds):
                self._fleet_state.avoid(back_end, seconds, now)
            case ServerReported(back_end, self_report):
                self._fleet_state.on_self_report(back_end, self_report, self._rng, now)
            case LimitEnded(back_end):
                self._fleet_state.limits.record_limit_ended(back_end, now)
            case CheckCallLimit(back_end):
                return self._fleet_state.limits.may_call(back_end, now)
            case AddressTaken(back_end):
                self._fleet_state.on_address_reused(back_end, now)
            case ServerCrashed(back_end, lost):
                self._fleet_state.record_crash(back_end, lost, now)
                self._on_crash_news()
            case WatchParts(request):
                self._parts_in_flight.add(request)
            case UnwatchParts(request):
                self._parts_in_flight.remove(request)
            case PromptAnswered(parts):
                self._fleet_state.crash_evidence.record_answer(parts, now)
            case ListingRead(listing):
                is_gap = self._fleet_state.on_listing(listing, now)
                self._report_software(is_gap)
                self._place_waiting(now)
            case DirectoryLinkChanged(link):
                self._fleet_state.on_directory_link(link, now)
            case RetrySettings():
                self._retry_budget.set_retry(message)
            case UpdatesReceived(batch):
                holds_more = [self._fleet_state.on_peer_update(update, now) for update in batch]
                if any(holds_more):
                    self._refuse_held(now)
                if self._holds_wait.on_updates(batch, now):
                    self._next_pass_at = now
                self._place_waiting(now)
            case ("silent", name):
                self._fleet_state.forget_peer(name)
            case ("hosts", count, replaces_killed):
                self._fleet_state.limits.set_hosts(count)
                self._retry_budget.set_host_count(count, replaces_killed, now)
                self._holds_wait.on_hosts(count, now)
            case AcquirePermit(service):
                return self._retry_budget.reserve(service, now)
            case UsePermit(service):
                self._retry_budget.record_retry(service, now)
            case ReturnPermit(service):
                self._retry_budget.release_unused(service, now)
            case GetHoldBack(digest, parts, token):
                return self._fleet_state.crash_evidence.held(digest, parts, token, now)
            case GetCrashUpdate():
                return self._fleet_state.crash_evidence.update(now)
            case IsWaitingForHolds():
                return self._holds_wait.is_waiting(now)
            case GetHeldParts():
                return self._fleet_state.crash_evidence.held_parts(now)
            case ReleasePart(part):
                is_released = self._fleet_state.crash_evidence.release(part, now)
                self._on_crash_news()
                return is_released
            case GetOwnBeliefs(cross_region):
                return self._fleet_state.local_state(cross_region, now)
            case "view":
                return self._fleet_state.view(self._last_short_at, now)
            case _:
                return super().handle(message)
        return None

    def tick(self) -> None:
        now = self._clock.now()
        self._holds_wait.on_run(self._fleet_state.crash_evidence.has_peers, now)
        if self._fleet_state.crash_evidence.hold_guilty(now):
            self._refuse_held(now)
            self._on_crash_news()
        self._place_waiting(now)
        self._refuse_expired(now)
        self._probe_servers(now)
        self._fleet_state.forget_old(now)

    def close(self) -> None:
        for pending in self._waiting.values():
            pending.future.set_result(Refusal(ErrorKind.STOPPING))

    def _place_or_queue(self, pending: PlaceRequest, now: float) -> None:
        request = pending.order
        if not request.was_placed:
            self._retry_budget.record_request(request.service, now)
        refusal = self._immediate_refusal(request, now)
        if refusal is not None:
            pending.future.set_result(refusal)
            return
        self._waiting[pending.future] = pending
        if len(self._waiting) == 1 or now >= self._next_pass_at:
            self._next_pass_at = now
            self._place_waiting(now)
        elif not self._holds_wait.delays(request, now):
            # The other waiting requests were tried in the last pass.
            self._place_or_fail(pending, now)

    def _probe_servers(self, now: float) -> None:
        """Connect to servers after failures, to tell whether these were this host's."""
        if self._check_address is None:
            self._fleet_state.reach.trust_failures(now)
            return
        probes, reach = self._fleet_state.next_probes(now), self._fleet_state.reach
        self._is_cut_off, self._is_reach_doubtful = reach.is_cut_off, reach.is_doubtful
        for back_end in probes:
            checked = self._check_address(back_end.address)
            checked.add_done_callback(
                lambda done, name=back_end.name: self.tell(ServerProbed(name, done.result(), now))
            )

    def _report_software(self, is_gap: bool) -> None:
        listed = self._fleet_state.listed_software()
        if is_gap or listed != self._listed_software:
            self._listed_software = listed
            self._on_software(listed, is_gap)

    def _refuse_held(self, now: float) -> None:
        """Refuse the waiting requests with a part that is now held, and end those that were sent.

        One of them goes on if a trial is due here: preferably one that waits.
        """
        evidence = self._fleet_state.crash_evidence
        trials = set()
        for pending in list(self._waiting.values()):
            refusal = self._held_refusal(pending.order, now)
            if refusal is not None:
                del self._waiting[pending.future]
                pending.future.set_result(refusal)
            elif evidence.has_held(pending.order.parts, now):
                trials.add(pending.order.token)

        def find_reason(request: RequestWithParts) -> HeldReason | None:
            parts, token = request.parts, request.token
            reason = None if token in trials else evidence.held_in_flight(parts, token, now)
            if reason is None or trials:
                return reason
            request_id = request.running.request_id
            is_trial = evidence.start_due_trial(parts, token, request_id, now)
            return None if is_trial else reason

        for ended in self._parts_in_flight.end_held(find_reason):
            evidence.record_ended(ended.back_ends, ended.lost, now)

    def _held_refusal(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Return the refusal of a request that is held or was aborted, or None."""
        aborted = self._parts_in_flight.abort_reason(request.token)
        return aborted or self._refusals.held(request, now)

    def _immediate_refusal(self, request: PlacementRequest, now: float) -> Refusal | None:
        held = self._refusals.held(request, now)
        if held is not None:
            return held
        if request.waiting.is_started:
            # A request that has already started goes before those that wait.
            return self._refusals.over_limits(request, 0, now)
        is_delayed = self._holds_wait.delays(request, now)
        ahead = delayed = 0
        for each in self._waiting.values():
            is_same_service = each.order.service == request.service
            if self._holds_wait.delays(each.order, now):
                delayed += is_same_service or is_delayed
            else:
                ahead += is_same_service
        refusal = self._refusals.over_limits(request, ahead, now)
        if refusal is not None:
            return refusal
        if not self._fleet_state.has_usable(request, now):
            return self._refusals.no_back_end(request, now)
        per_s = self._release_rates.setdefault(request.service, SlotReleaseRate()).per_s(now)
        wait_s = ahead / per_s if ahead and per_s > 0 else 0.0
        if ahead + delayed >= MAX_WAITING or now + wait_s > request.waiting.deadline:
            detail = f"{ahead + delayed} requests wait for a place"
            refusal = self._refusals.no_slot(ahead, per_s, detail)
            # None of the delayed requests gets a slot before.
            delay_s = refusal.retry_after_s + self._holds_wait.remaining_s(now)
            return refusal._replace(retry_after_s=delay_s)
        return None

    def _place_waiting(self, now: float) -> None:
        if not self._waiting or now < self._next_pass_at:
            return
        failed_tries: Counter[str] = Counter()
        weighed_count = 0
        # By identity: requests with the same id may be equal.
        pending_by_waiting = {
            id(pending.order.waiting): pending
            for pending in self._waiting.values()
            if not self._holds_wait.delays(pending.order, now)
        }
        for waiting_request in order_waiting(
            [pending.order.waiting for pending in pending_by_waiting.values()], now
        ):
            pending = pending_by_waiting[id(waiting_request)]
            service = pending.order.service
            if failed_tries[service] >= MAX_FAILED_TRIES:
                continue
            weighed_count = max(weighed_count, self._place_or_fail(pending, now))
            if pending.future in self._waiting:
                failed_tries[service] += 1
        if failed_tries:
            self._next_pass_at = now + max(
                PASS_INTERVAL_S, PASS_INTERVAL_PER_BACK_END_S * weighed_count
            )
        RELAY_WAITING.set(len(self._waiting))

    def _place_or_fail(self, pending: PlaceRequest, now: float) -> int:
        """Try to place a request, and refuse it on an unexpected error.

        An error at one request must not keep the others from being placed. Return how many backend
        servers were evaluated.
        """
        try:
            return self._try_place(pending, now)
        except Exception as error:
            request_id = pending.order.waiting.request_id
            _log.error(RELAY_REQUEST_FAILED, request=request_id, error=repr(error), exc_info=True)
            self._waiting.pop(pending.future, None)
            if not pending.future.done():
                pending.future.set_result(Refusal(ErrorKind.INTERNAL))
            return 0

    def _try_place(self, pending: PlaceRequest, now: float) -> int:
        """Place a request if possible, and return the number of evaluated servers."""
        request = pending.order
        held = self._held_refusal(request, now)
        if held is not None:
            del self._waiting[pending.future]
            pending.future.set_result(held)
            return 0
        evidence = self._fleet_state.crash_evidence
        if evidence.has_held(request.parts, now):
            # A trial reaches one server only.
            request = request._replace(can_use_reader=False)
        candidates = self._fleet_state.candidates(request, now)
        assignment = self._assigner.assign(request, candidates, self._is_contended(request), now)
        if assignment is None:
            self._last_short_at[request.service] = now
        else:
            del self._waiting[pending.future]
            evidence.start_trial(request.parts, request.token, request.waiting.request_id, now)
            pending.future.set_result(assignment)
        return len(candidates)

    def _refuse_expired(self, now: float) -> None:
        for pending in list(self._waiting.values()):
            if now >= pending.order.waiting.expires_at:
                del self._waiting[pending.future]
                per_s = self._release_rates.setdefault(
                    pending.order.service, SlotReleaseRate()
                ).per_s(now)
                ahead, detail = len(self._waiting), "no place became free in time"
                pending.future.set_result(self._refusals.no_slot(ahead, per_s, detail))

    def _is_contended(self, request: PlacementRequest) -> bool:
        """Return whether other requests wait for the same engines."""
        return any(
            pending.order.service == request.service and pending.order.copy_zone is None
            for pending in self._waiting.values()
            if pending.order is not request
        )
