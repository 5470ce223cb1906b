"""Sends of a request beside the one that a silent back end has: which of the answers is taken."""

from collections.abc import Callable
from typing import Literal, NamedTuple, Protocol

from laburnumreel.coordination import BackEnd
from laburnumreel.core import Clock, Event, Log
from laburnumreel.serving._crashes import has_crashed
from laburnumreel.serving._dispatcher import Wanted
from laburnumreel.serving._events import SECOND_SEND_ENDED, SENT_BESIDE
from laburnumreel.serving._job import Job
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._refusals import is_of_another, means_this, seconds_to_come_back
from laburnumreel.serving._silences import NoTakeover
from laburnumreel.transport import Address, BackEndFailureError, Exchange

# Sound back ends fall silent for about a second. A second one's own failure, or its time to come
# back, is passed on where the first one stays silent for this time from then on.
FAILURE_KEPT_S = 1.6
# How often a second send that has sent a part of something looks whether the first has gone on.
SECOND_CHECK_S = 0.05

# What a send has brought so far: nothing yet, an answer to go on with, a refusal, the back end's own
# failure as a whole answer, nothing that can be the answer, or not all of something in time.
Outcome = Literal["awaited", "answers", "refused", "failed", "useless", "silent"]

_log = Log("serving.second_sends")


class Request(NamedTuple):
    """What goes to a back end."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None


class Judge(Protocol):
    """Tells from what comes on one exchange whether the request can go on with it."""

    def head(self, exchange: Exchange) -> Outcome:
        """Judge the head."""

    def body(self, data: bytes) -> Outcome:
        """Judge the next bytes, none at the end. Raises BackEndFailureError for what is no answer."""


class Asker(Protocol):
    """The run that a request belongs to."""

    @property
    def delivered(self) -> int:
        """The tokens of a stream that are with the caller."""

    def request(self) -> Request:
        """Return what to send to a back end now."""

    def judge(self) -> Judge:
        """Return what judges the answer to the present request."""


class SecondSend:
    """A send on an exchange of its own, which is read as far as it comes without waiting.

    `give_up` is asked while a part of something has come: it ends the wait for the rest.
    """

    def __init__(
        self,
        back_end: BackEnd,
        exchange: Exchange,
        judge: Judge,
        clock: Clock,
        give_up: Callable[[], bool],
    ) -> None:
        self.back_end = back_end
        self.exchange = exchange
        self.sent_at = clock.now()
        self.is_silent = False
        # Since when the present part of the answer is read or the request is written.
        self.busy_since = self.sent_at
        self.has_head = False
        self.early = b""
        self._judge = judge
        self._clock = clock
        self._method = ""
        exchange.on_timeout = lambda _: None if give_up() else SECOND_CHECK_S

    def write(self, request: Request) -> None:
        """Send the request. Raises BackEndFailureError."""
        self._method = request.method
        self.exchange.write(*request, SECOND_CHECK_S)

    def look(self, request_id: str) -> Outcome:
        """Take in what has come, and judge it."""
        outcome: Outcome = "awaited"
        try:
            while outcome == "awaited" and (self.exchange.can_read_now or self._is_bodiless):
                self.busy_since = self._clock.now()
                if self.has_head:
                    data = self.exchange.read()
                    self.early += data
                    outcome = self._judge.body(data)
                else:
                    self.exchange.read_head(self._method, SECOND_CHECK_S)
                    self.has_head = True
                    if is_of_another(self.exchange, request_id):
                        return "useless"
                    outcome = self._judge.head(self.exchange)
        except BackEndFailureError as error:
            return "silent" if error.reason == "silent" else "useless"
        return outcome

    @property
    def _is_bodiless(self) -> bool:
        """Whether the head is all that comes, whatever it says of a body."""
        return self.has_head and self._method == "HEAD"

    def read_head(self, timeout_s: float) -> None:
        """Wait for the head, where it has not come yet."""
        if not self.has_head:
            self.exchange.read_head(self._method, timeout_s)
            self.has_head = True
        self.exchange.set_timeout(timeout_s)

    def take_early(self) -> bytes:
        """Return what was read of the body before the request went on with this send."""
        early, self.early = self.early, b""
        return early


class SecondSends:
    """The sends of one request beside that to its silent back end.

    Each one takes a retry of the service and a place, and is ended as soon as another one answers.
    """

    def __init__(
        self,
        parts: Parts,
        job: Job,
        asker: Asker,
        tried: list[str],
        asked: set[Address],
        cancel: Callable[[BackEnd], None],
    ) -> None:
        self._parts = parts
        self._job = job
        self._asker = asker
        self._tried = tried
        self._asked = asked
        self._cancel = cancel
        self._awaited: list[SecondSend] = []
        self._chosen: SecondSend | None = None
        self._failed: SecondSend | None = None
        self._failed_at = 0.0
        self._may_send = True
        # Whether the request was quarantined for the crash of a second back end.
        self.quarantined = False
        # How many of all sends that are not taken over may have run.
        self._unsettled = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a back end here that did not refuse it."""
        return self._unsettled > 0

    @property
    def exchanges(self) -> list[Exchange]:
        """The exchanges whose answers are awaited."""
        return [second.exchange for second in self._awaited]

    @property
    def has_answer(self) -> bool:
        """Whether the request has an answer to go on with."""
        return self._chosen is not None

    @property
    def has_more(self) -> bool:
        """Whether the request can go on with one where its own back end has ended."""
        return bool(self._chosen or self._awaited or self._failed)

    def send(self, beside: Exchange, on_sent: Callable[[], None]) -> NoTakeover | None:
        """Send the request to one more back end, unless the first one speaks meanwhile.

        Returns why there is none; `on_sent` is called where a retry is spent.
        """
        job, dispatcher = self._job, self._parts.dispatcher
        if not self._may_send:
            return NoTakeover.NO_RETRY
        wanted = Wanted(job.work, job.profile.cheap_back_ends == "interruptible", job.digest)
        back_end = dispatcher.reserve_takeover(wanted, self._tried, job.profile.silence_s)
        if isinstance(back_end, NoTakeover):
            return back_end
        try:
            address = back_end.address
            exchange = self._parts.pool.open(address, fresh=address in self._asked)
        except BackEndFailureError:
            self._tried.append(back_end.name)
            self._release(back_end, failed=True)
            return None
        if beside.has_unread:
            exchange.discard()
            self._release(back_end)
            return None
        self._tried.append(back_end.name)
        self._begin(back_end, exchange, beside, on_sent)
        return None

    def _begin(
        self,
        back_end: BackEnd,
        exchange: Exchange,
        beside: Exchange,
        on_sent: Callable[[], None],
    ) -> None:
        second = SecondSend(
            back_end,
            exchange,
            self._asker.judge(),
            self._parts.clock,
            lambda: self._is_over(second, beside),
        )
        self._parts.dispatcher.use_takeover(self._job.service.name)
        self._asked.add(back_end.address)
        self._unsettled += 1
        on_sent()
        self._tell(SENT_BESIDE, second)
        try:
            second.write(prepared(self._asker.request(), self._parts, self._job))
        except BackEndFailureError as error:
            self._drop(second, "silent" if error.reason == "silent" else "useless")
            return
        self._awaited.append(second)

    def answers(self) -> bool:
        """Look what has come, and return whether the request has an answer to go on with."""
        for second in list(self._awaited):
            if self._chosen is not None:
                break
            outcome = second.look(self._job.running.request_id)
            if outcome == "awaited":
                self._watch(second)
                continue
            self._awaited.remove(second)
            if outcome == "refused":
                self._parts.dispatcher.refused(second.back_end.name)
            if outcome == "answers":
                self._chosen = second
            elif self._failed is None and (
                outcome == "failed" or (outcome == "refused" and self._names_time(second))
            ):
                self._failed, self._failed_at = second, self._parts.clock.now()
            else:
                self._drop(second, outcome)
        kept_s = self._parts.clock.now() - self._failed_at
        if self._failed is not None and not self._awaited and kept_s >= FAILURE_KEPT_S:
            self._chosen, self._failed = self._failed, None
        return self._chosen is not None

    def take(self) -> SecondSend | None:
        """Return the send to go on with, which is the caller's from now on, and end the others."""
        taken = self._chosen or (self._awaited[0] if self._awaited else self._failed)
        if taken is not None:
            self._unsettled -= 1
            if taken.is_silent:
                request_id = self._job.running.request_id
                self._parts.dispatcher.spoke(taken.back_end.name, request_id)
            taken.exchange.on_timeout = None
        self.end(but=taken)
        return taken

    def end(self, but: SecondSend | None = None) -> None:
        """End all sends but one."""
        if not self.has_more:
            return
        ended = [*self._awaited, *filter(None, (self._chosen, self._failed))]
        self._awaited, self._chosen, self._failed = [], None, None
        for second in ended:
            if second is not but:
                self._end(second, "not_needed")

    def _watch(self, second: SecondSend) -> None:
        """Tell the dispatcher of a back end that is silent in its turn."""
        silent_s = self._parts.clock.now() - second.sent_at
        if not second.is_silent and silent_s >= self._job.profile.silence_s:
            second.is_silent = True
            self._parts.dispatcher.silent(second.back_end.name, self._job.running.request_id)

    def _names_time(self, second: SecondSend) -> bool:
        """Return whether a refusal tells a caller without tokens when to come; none is asked then."""
        if self._asker.delivered:
            return False
        wait_s = seconds_to_come_back(second.exchange.header("Retry-After"))
        self._may_send = self._may_send and wait_s is None
        return wait_s is not None

    def _drop(self, second: SecondSend, outcome: Outcome) -> None:
        if outcome == "refused" and means_this(second.exchange):
            self._unsettled -= 1
        crashed = outcome == "useless" and has_crashed(second.back_end.address)
        if crashed and self._parts.dispatcher.crashed(
            second.back_end.name, self._job.running.request_id, False
        ):
            self.quarantined, self._may_send = True, False
        self._end(second, outcome, crashed)

    def _is_over(self, second: SecondSend, beside: Exchange) -> bool:
        """Whether to end a send of which only a part of something has come."""
        now, running = self._parts.clock.now(), self._job.running
        too_long = now - second.busy_since >= self._job.profile.silence_s
        return (
            too_long or beside.has_unread or running.aborted is not None or now >= running.deadline
        )

    def _end(self, second: SecondSend, outcome: str, crashed: bool = False) -> None:
        incomplete = not second.exchange.complete
        second.exchange.close()
        if incomplete and not crashed and outcome != "refused" and second.back_end.kind == "engine":
            self._cancel(second.back_end)
        request_id = self._job.running.request_id
        self._parts.dispatcher.attempt_ended(second.back_end.name, request_id, crashed)
        self._tell(SECOND_SEND_ENDED, second, outcome=outcome)

    def _release(self, back_end: BackEnd, failed: bool = False) -> None:
        service, request_id = self._job.service.name, self._job.running.request_id
        self._parts.dispatcher.release_takeover(service, back_end.name, request_id, failed)

    def _tell(self, event: Event, second: SecondSend, **fields: str) -> None:
        request_id = self._job.running.request_id
        _log.info(event, request=request_id, back_end=second.back_end.name, **fields)


def prepared(request: Request, parts: Parts, job: Job) -> Request:
    """Return a request with the headers that each send of it has."""
    remaining = job.running.deadline - parts.clock.now()
    headers = dict(request.headers)
    headers["X-Request-Id"] = job.running.request_id
    headers["X-Deadline-Ms"] = str(max(1, int(remaining * 1000)))
    if job.credential:
        headers["Authorization"] = f"Bearer {job.credential}"
    return request._replace(headers=headers)
