"""The task that owns a relay's view of backend servers and decides where requests go."""

import random
from collections.abc import Iterable, Mapping
from concurrent.futures import Future
from typing import NamedTuple

from laburnumreel.coordination import Quarantine, RetryBudget
from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd, Role
from laburnumreel.relay._conduct import Conduct
from laburnumreel.relay._config import RelayConfig, RelayService
from laburnumreel.relay._events import (
    BACK_END_AVOIDED,
    BACK_END_GONE,
    BACK_END_LISTED,
    REQUEST_HELD_BACK,
)
from laburnumreel.relay._metrics import RELAY_WAITING
from laburnumreel.relay._news import News
from laburnumreel.relay._placement import (
    Candidate,
    EnginePlacement,
    EnginePlan,
    Place,
    PlacementCosts,
    choose_plain,
)
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._prompts import PromptMemory, home_engine
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._waiting import FreedRate, Waiting, order_waiting, retry_after_s
from laburnumreel.relay._work import Work, WorkLedger
from laburnumreel.state import ErrorKind, Refusal

TICK_S = 0.05
# Requests of one host that may wait for a place. Each holds a thread, of which some must be left for
# those that run.
MOST_WAITING = 24
# A client that finds no backend server at all comes back after about this time, in which the
# directory or a restart may bring one.
NO_BACK_END_RETRY_S = 0.5
# The share of the deployment's budget for repeated sends that the hosts plan with. The rest covers
# what one host can't see of the others.
PLANNED_BUDGET_SHARE = 0.7
# The share of a reading engine's memory that keeps starts of prompts; the rest holds what is read.
START_MEMORY_SHARE = 0.6
# A crash counts against a request for this long, and is told to peers as long.
CRASH_S = 30.0

_log = Log("relay.dispatcher")


class Order(NamedTuple):
    """A request that asks for a place.

    `excluded` are backend servers that it met already. `read_apart` is False where its prompt
    can't be read by an engine of its own, `copied` is True where one has read it already.
    """

    waiting: Waiting
    service: str
    prompt: Prompt | None
    body_bytes: int
    excluded: frozenset[str] = frozenset()
    read_apart: bool = True
    copied: bool = False


class Assignment(NamedTuple):
    """The backend servers that a request got, and the work that is counted for it.

    A plain request has a `runner` only. `read_work` is counted at the engine that reads, `run_work`
    at the one that runs the request. `ahead_tokens` were to be read before this prompt.
    """

    runner: ListedBackEnd
    run_work: Work
    reader: ListedBackEnd | None = None
    read_work: Work = Work()
    plan: EnginePlan | None = None
    ahead_tokens: int = 0
    candidates: int = 1
    news_age_s: float = 0.0


class _Place(NamedTuple):
    order: Order
    future: Future


class _Withdraw(NamedTuple):
    request_id: str


class _Ended(NamedTuple):
    back_end: str
    work: Work
    service: str


class _Read(NamedTuple):
    assignment: Assignment
    prompt: Prompt
    took_ms: float


class _Judged(NamedTuple):
    back_end: str
    failed: bool
    took_ms: float | None


class _Unreachable(NamedTuple):
    back_end: str


class _Avoid(NamedTuple):
    back_end: str
    seconds: float


class _Moved(NamedTuple):
    back_end: str


class _Crashed(NamedTuple):
    back_end: str
    digest: str


class _Listed(NamedTuple):
    listing: Listing[ListedBackEnd]


class _Directory(NamedTuple):
    back: bool


class _RetryWanted(NamedTuple):
    service: str


class _OwnNews(NamedTuple):
    pass


class _Held(NamedTuple):
    digest: str


class OwnBeliefs(NamedTuple):
    """The part of a host's news that the dispatcher knows."""

    work: Mapping[str, Work]
    avoided: Mapping[str, float]
    held_back: Mapping[str, float]
    crashes: Mapping[str, float]
    leaving: tuple[str, ...]
    kept: Mapping[str, tuple[str, ...]]


class FleetView(NamedTuple):
    """The backend servers and the work at each, for planning."""

    back_ends: tuple[ListedBackEnd, ...]
    work: Mapping[str, Work]


class Dispatcher(Task):
    """Places requests, keeps count of work, and judges backend servers by their answers."""

    def __init__(
        self,
        clock: Clock,
        here: Place,
        regions: Mapping[str, str],
        retry: RetrySettings,
        return_grace_s: float,
        rng: random.Random,
        costs: PlacementCosts | None = None,
    ) -> None:
        super().__init__("relay-dispatcher", TICK_S)
        self._clock = clock
        self._here = here
        self._regions = dict(regions)
        self._retry = retry
        self._rng = rng
        self._costs = costs or PlacementCosts()
        self._engines = EnginePlacement(here, self._costs)
        self._back_ends = BackEndList(return_grace_s)
        self._services: Mapping[str, RelayService] = {}
        self._ledger = WorkLedger()
        self._conduct = Conduct()
        self._prompts = PromptMemory()
        self._quarantine = Quarantine()
        self._crashes: dict[str, float] = {}
        # Crashes that peers told of, so that each counts once, and when they are forgotten.
        self._crashes_heard: dict[tuple[str, str, str], float] = {}
        self._left: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._freed: dict[str, FreedRate] = {}
        self._waiting: dict[str, _Place] = {}
        self._hosts = 1

    # Calls from other threads.

    def place(self, order: Order) -> Future:
        """Return the future of an `Assignment`, or of a `Refusal`, for a request."""
        future: Future = Future()
        self.tell(_Place(order, future))
        return future

    def withdraw(self, request_id: str) -> None:
        """Let a request that waits go."""
        self.tell(_Withdraw(request_id))

    def ended(self, back_end: str, work: Work, service: str) -> None:
        """Count work off."""
        self.tell(_Ended(back_end, work, service))

    def read(self, assignment: Assignment, prompt: Prompt, took_ms: float) -> None:
        """Take in that an engine has read a prompt."""
        self.tell(_Read(assignment, prompt, took_ms))

    def judged(self, back_end: str, failed: bool, took_ms: float | None = None) -> None:
        """Take in how an attempt ended at a backend server."""
        self.tell(_Judged(back_end, failed, took_ms))

    def unreachable(self, back_end: str) -> None:
        """Take in that a backend server could not be connected to, or went silent."""
        self.tell(_Unreachable(back_end))

    def avoid(self, back_end: str, seconds: float) -> None:
        """Send nothing to a backend server for a time, and tell the peers."""
        self.tell(_Avoid(back_end, seconds))

    def moved(self, back_end: str) -> None:
        """Take in that another backend server has this one's address."""
        self.tell(_Moved(back_end))

    def crashed(self, back_end: str, digest: str) -> None:
        """Take in that a backend server crashed while it ran a request."""
        self.tell(_Crashed(back_end, digest))

    def listed(self, listing: Listing[ListedBackEnd]) -> None:
        """Take what the directory says."""
        self.tell(_Listed(listing))

    def directory(self, back: bool) -> None:
        """Take in that the directory was lost or is back."""
        self.tell(_Directory(back))

    def configured(self, config: RelayConfig) -> None:
        """Take a configuration."""
        self.tell(config)

    def peer(self, news: News) -> None:
        """Take a peer's news."""
        self.tell(news)

    def peer_silent(self, name: str) -> None:
        """Take in that a peer is not heard any more."""
        self.tell(("silent", name))

    def hosts(self, count: int) -> None:
        """Take how many hosts share the budget for repeated sends."""
        self.tell(("hosts", count))

    def may_retry(self, service: str) -> bool:
        """Return whether one more send of a request is within the budget, and count it."""
        return self.ask(_RetryWanted(service)).result()

    def held_for(self, digest: str) -> float | None:
        """Return for how many seconds a request is held back, or None."""
        return self.ask(_Held(digest)).result()

    def beliefs(self) -> Future:
        """Return the future of this host's `OwnBeliefs`."""
        return self.ask(_OwnNews())

    def view(self) -> Future:
        """Return the future of the `FleetView`."""
        return self.ask("view")

    # The task's own thread.

    def handle(self, message: object) -> object:
        now = self._clock.now()
        match message:
            case _Place():
                self._offer(message, now)
            case _Withdraw(request_id):
                self._waiting.pop(request_id, None)
            case _Ended(back_end, work, service):
                self._ledger.remove(back_end, work)
                self._freed.setdefault(service, FreedRate()).freed(now)
                self._serve_waiting(now)
            case _Read(assignment, prompt, took_ms):
                self._on_read(assignment, prompt, took_ms, now)
            case _Judged(back_end, failed, took_ms):
                self._conduct.ended(back_end, failed, now)
                if took_ms is not None:
                    self._conduct.worked(back_end, took_ms, now)
            case _Unreachable(back_end):
                self._on_unreachable(back_end, now)
            case _Avoid(back_end, seconds):
                self._conduct.rest(back_end, now + seconds, now)
            case _Moved(back_end):
                self._back_ends.forget(back_end)
                _log.info(BACK_END_GONE, back_end=back_end, reason="another has its address")
            case _Crashed(back_end, digest):
                self._on_crash(back_end, digest, now)
            case _Listed(listing):
                self._on_listing(listing, now)
            case _Directory(back):
                if back:
                    self._back_ends.directory_back(now)
                else:
                    self._back_ends.directory_lost(now)
            case RelayConfig():
                self._services = message.services
            case News():
                self._on_news(message, now)
            case ("silent", name):
                self._ledger.forget_peer(name)
            case ("hosts", count):
                self._hosts = max(1, count)
            case _RetryWanted(service):
                return self._budget(service).take(now)
            case _Held(digest):
                return self._quarantine.held_for(digest, now)
            case _OwnNews():
                return self._own_beliefs(now)
            case "view":
                return self._view(now)
            case _:
                return super().handle(message)
        return None

    def tick(self) -> None:
        now = self._clock.now()
        self._serve_waiting(now)
        self._give_up(now)
        self._crashes = _lasting(self._crashes, now)
        self._crashes_heard = _lasting(self._crashes_heard, now)
        self._left = _lasting(self._left, now)

    def close(self) -> None:
        for place in self._waiting.values():
            place.future.set_result(Refusal(ErrorKind.STOPPING))

    def _offer(self, place: _Place, now: float) -> None:
        order = place.order
        self._budget(order.service).succeeded(now)
        refusal = self._refusal_at_once(order, now)
        if refusal is not None:
            place.future.set_result(refusal)
            return
        self._waiting[order.waiting.request_id] = place
        self._serve_waiting(now)

    def _refusal_at_once(self, order: Order, now: float) -> Refusal | None:
        candidates = self._candidates(order, now)
        if not candidates:
            return Refusal(
                ErrorKind.NO_BACK_END,
                f"service {order.service} has no usable back end",
                retry_after_s=NO_BACK_END_RETRY_S * (1 + self._rng.random()),
            )
        ahead = sum(1 for each in self._waiting.values() if each.order.service == order.service)
        per_s = self._freed.setdefault(order.service, FreedRate()).per_s(now)
        wait_s = ahead / per_s if ahead and per_s > 0 else 0.0
        if ahead >= MOST_WAITING or now + wait_s > order.waiting.deadline:
            return Refusal(
                ErrorKind.DEADLINE_UNMEETABLE,
                f"{ahead} requests wait for a place",
                retry_after_s=retry_after_s(ahead, per_s, self._rng),
            )
        return None

    def _serve_waiting(self, now: float) -> None:
        if not self._waiting:
            return
        full: set[str] = set()
        for item in order_waiting([place.order.waiting for place in self._waiting.values()], now):
            place = self._waiting[item.request_id]
            order = place.order
            if order.service in full and not order.excluded:
                continue
            assignment = self._assign(order, now)
            if assignment is None:
                full.add(order.service)
                continue
            del self._waiting[item.request_id]
            place.future.set_result(assignment)
        RELAY_WAITING.set(len(self._waiting))

    def _give_up(self, now: float) -> None:
        for request_id, place in list(self._waiting.items()):
            if now >= place.order.waiting.deadline:
                del self._waiting[request_id]
                per_s = self._freed.setdefault(place.order.service, FreedRate()).per_s(now)
                place.future.set_result(
                    Refusal(
                        ErrorKind.DEADLINE_UNMEETABLE,
                        "no place became free in time",
                        retry_after_s=retry_after_s(len(self._waiting), per_s, self._rng),
                    )
                )

    def _assign(self, order: Order, now: float) -> Assignment | Refusal | None:
        candidates = self._candidates(order, now)
        if not candidates:
            return Refusal(
                ErrorKind.NO_BACK_END,
                f"service {order.service} has no usable back end",
                retry_after_s=NO_BACK_END_RETRY_S * (1 + self._rng.random()),
            )
        age_s = self._ledger.oldest_news_s(now)
        service = self._services.get(order.service)
        if order.prompt is None or service is None or service.engine is None:
            chosen = choose_plain(candidates, self._here, order.body_bytes, self._costs)
            if chosen is None:
                return None
            work = Work(requests=1)
            self._ledger.add(chosen.name, work)
            return Assignment(chosen.back_end, work, candidates=len(candidates), news_age_s=age_s)
        plan = self._engines.choose(
            order.prompt,
            order.body_bytes,
            service.engine,
            candidates,
            order.read_apart and not order.copied,
            order.copied,
            self._settled(service, candidates, now),
        )
        if plan is None:
            return None
        late_s = now + plan.first_token_ms / 1000 - order.waiting.deadline
        if late_s > 0:
            return Refusal(
                ErrorKind.DEADLINE_UNMEETABLE,
                f"the first token is expected in {plan.first_token_ms:.0f} ms",
                retry_after_s=max(0.1, late_s) * (1 + self._rng.random() / 2),
            )
        return self._assigned(order, plan, len(candidates), age_s, now)

    def _assigned(
        self, order: Order, plan: EnginePlan, candidates: int, age_s: float, now: float
    ) -> Assignment:
        prompt = order.prompt
        tokens = prompt.input_tokens + prompt.max_output_tokens
        run_work = Work(requests=1, streams=1, kv_tokens=tokens)
        if plan.reader is None:
            run_work = run_work._replace(reading_tokens=plan.read_tokens)
            read_work, ahead = Work(), plan.generator.work.reading_tokens
        else:
            read_work = Work(requests=1, reading_tokens=plan.read_tokens)
            ahead = plan.reader.work.reading_tokens
            self._ledger.add(plan.reader.name, read_work)
            self._prompts.used(plan.reader.name, prompt, now)
        self._ledger.add(plan.generator.name, run_work)
        self._prompts.used(plan.generator.name, prompt, now)
        reader = plan.reader.back_end if plan.reader else None
        return Assignment(
            plan.generator.back_end, run_work, reader, read_work, plan, ahead, candidates, age_s
        )

    def _settled(self, service: RelayService, candidates: Iterable[Candidate], now: float) -> bool:
        """Return whether the engines of this region can keep all starts that are asked for."""
        near = [each for each in candidates if each.region == self._here.region]
        readers = sum(1 for each in near if each.back_end.role is Role.PREFILL)
        if readers == len(near):
            return False
        room = readers * service.engine.kv_tokens * START_MEMORY_SHARE
        return room >= self._prompts.working_set(now) > 0

    def _candidates(self, order: Order, now: float) -> list[Candidate]:
        usable = [
            back_end
            for back_end in self._back_ends.usable(order.service, now)
            if back_end.name not in order.excluded
            and back_end.name not in self._left
            and not self._conduct.resting(back_end.name, now)
        ]
        if order.prompt is None:
            return [self._plain_candidate(back_end, now) for back_end in usable]
        homes = {
            home_engine(order.prompt, [each.name for each in usable if each.role is role])
            for role in (Role.PREFILL, Role.DECODE, None)
        }
        return [
            Candidate(
                back_end,
                self._regions.get(back_end.zone, back_end.zone),
                self._ledger.total(back_end.name, now),
                self._conduct.failure_share(back_end.name, now),
                self._prompts.kept_tokens(back_end.name, order.prompt, now),
                self._conduct.read_ms(back_end.name, now),
                home=back_end.name in homes,
            )
            for back_end in usable
        ]

    def _plain_candidate(self, back_end: ListedBackEnd, now: float) -> Candidate:
        return Candidate(
            back_end,
            self._regions.get(back_end.zone, back_end.zone),
            self._ledger.total(back_end.name, now),
            self._conduct.failure_share(back_end.name, now),
            plain_ms=self._conduct.plain_ms(back_end.name, now),
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._retry.ratio * PLANNED_BUDGET_SHARE, 0, self._retry.window_s
            )
        budget.minimum = int(self._retry.slack * PLANNED_BUDGET_SHARE / self._hosts)
        return budget

    def _on_read(self, assignment: Assignment, prompt: Prompt, took_ms: float, now: float) -> None:
        reader, work = assignment.reader, assignment.read_work
        self._ledger.remove(reader.name, work)
        self._conduct.ended(reader.name, False, now)
        tokens = assignment.ahead_tokens + work.reading_tokens
        self._conduct.read(reader.name, tokens, took_ms, now)
        self._prompts.used(reader.name, prompt, now)
        self._serve_waiting(now)

    def _on_unreachable(self, back_end: str, now: float) -> None:
        self._conduct.unreachable(back_end, now)
        rest_s = self._conduct.rests(now).get(back_end, 0.0)
        _log.warning(BACK_END_AVOIDED, back_end=back_end, rest_s=round(rest_s, 2))

    def _on_crash(self, back_end: str, digest: str, now: float) -> None:
        self._prompts.restarted(back_end)
        self._crashes[digest] = now + CRASH_S
        self._strike(digest, now)

    def _strike(self, digest: str, now: float) -> None:
        if self._quarantine.crashed({digest}, alone=False, now=now):
            _log.warning(REQUEST_HELD_BACK, digest=digest[:16])

    def _on_listing(self, listing: Listing[ListedBackEnd], now: float) -> None:
        before = {entry.name: entry for entry in self._back_ends}
        present = {name: entry for name, entry in listing.entries.items() if entry is not None}
        if listing.complete:
            self._back_ends.replace(present.values(), now)
        else:
            for name, entry in listing.entries.items():
                if entry is None:
                    self._back_ends.drop(name, now)
                else:
                    self._back_ends.put(entry)
        for name, entry in present.items():
            old = before.get(name)
            if old is not None and old.started_at_ms != entry.started_at_ms:
                self._prompts.restarted(name)
                self._left.pop(name, None)
            if old is None or old._replace(beat=0) != entry._replace(beat=0):
                _log.info(
                    BACK_END_LISTED,
                    back_end=name,
                    service=entry.service,
                    zone=entry.zone,
                    role=entry.role,
                    draining=entry.draining,
                    cheap=entry.cheap,
                    version=listing.version,
                )
        for name in before:
            if self._back_ends.get(name) is None:
                _log.info(BACK_END_GONE, back_end=name, version=listing.version)
        self._conduct.keep_only(lambda name: self._back_ends.get(name) is not None)
        self._prompts.keep_only(lambda name: self._back_ends.get(name) is not None)
        self._serve_waiting(now)

    def _on_news(self, news: News, now: float) -> None:
        if news.stopping:
            self._ledger.forget_peer(news.sender)
        else:
            self._ledger.peer(news.sender, news.work, now)
        for back_end, left_s in news.avoided.items():
            self._conduct.told(back_end, now + left_s)
        for back_end in news.leaving:
            if back_end not in self._left:
                self._left[back_end] = now + CRASH_S
        self._prompts.peer(news.kept, now)
        self._quarantine.on_peer(news.held_back, now)
        for digest in news.crashes:
            heard = (news.sender, news.boot, digest)
            if heard not in self._crashes_heard:
                self._strike(digest, now)
            self._crashes_heard[heard] = now + CRASH_S
        self._serve_waiting(now)

    def _own_beliefs(self, now: float) -> OwnBeliefs:
        return OwnBeliefs(
            work=dict(self._ledger.own),
            avoided=self._conduct.rests(now),
            held_back=self._quarantine.entries(now),
            crashes={digest: until - now for digest, until in self._crashes.items()},
            leaving=tuple(entry.name for entry in self._back_ends if entry.draining),
            kept=self._prompts.take_news(),
        )

    def _view(self, now: float) -> FleetView:
        back_ends: Iterable[ListedBackEnd] = self._back_ends
        listed = tuple(back_ends)
        work = {entry.name: self._ledger.total(entry.name, now) for entry in listed}
        return FleetView(listed, work)


def _lasting(beliefs: dict, now: float) -> dict:
    """Return the beliefs that have not ended, given with the time at which each does."""
    return {subject: until for subject, until in beliefs.items() if until > now}
