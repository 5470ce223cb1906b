"""Another backend server for a request whose server is silent, held before that one is left."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple, Protocol

from laburnumreel.core import Event, Log
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import (
    SECOND_SEND_ENDED,
    SENT_BESIDE,
    SILENT_SERVER_LEFT,
    SILENT_SERVER_SPOKE,
    SILENT_SERVER_STAYS,
)
from laburnumreel.relay._job import MIN_TIME_S, Job
from laburnumreel.relay._metrics import RELAY_SILENCES
from laburnumreel.relay._silences import SOUND_SILENCE_S
from laburnumreel.state import Refusal
from laburnumreel.transport import BackEndFailureError, Exchange, await_bytes

# The dispatcher answers within about a millisecond where there is a place.
PLACE_WAIT_S = 0.005
# How often a request looks for a place that it waits for.
LOOK_S = 0.05
MIN_WAIT_S = 0.001
# What was denied is asked for again after this time, doubled each time up to the limit.
FIRST_ASK_AGAIN_S, MAX_ASK_AGAIN_S = 0.1, 0.8

_log = Log("relay.elsewhere")


class Beside(Protocol):
    """A send beside the one that is awaited; `SecondSend` is the one in use."""

    assignment: Assignment

    @property
    def exchange(self) -> Exchange: ...

    def begin(self) -> bool: ...

    def look(self) -> str: ...

    def end(self) -> None: ...


class Held(NamedTuple):
    """A place, and a connection to the backend server that gets the request first.

    `second` is the send on that connection, where the request was sent already. `failed` is one
    that has brought a server's own failure, for want of anything better.
    """

    assignment: Assignment
    exchange: Exchange
    second: Beside | None = None
    failed: Beside | None = None


class Elsewhere:
    """Looks for another backend server while one that has a request is silent.

    Silence does not show that a backend server has failed: a sound one may go on a moment later,
    and a request that has left it and finds nothing better is lost. So the exchange goes on until a
    permit of the retry budget, a place and a connection are held, and then beside the second send
    until that one has an answer: the second server may refuse, fail or be silent as well. The first
    answer is taken. `take` returns what the request goes on with. Where nothing can be had, the
    silent server has until the end of the request's time.

    `order` gives what to ask the dispatcher for after so many seconds of silence, or None where the
    route or its attempts allow no other backend server; `permit` asks the retry budget for a place
    that was found; `beside` makes a second send of what is held. Without it, the silent server is
    left for what is held. `begun` tells whether the caller has a part of the answer: until then a
    request is also taken from a server that refuses a connection, as its caller can be told at once
    that it failed, and from one that is silent for long while a second one has answered with a
    failure, which `failed` may be from the beginning. `max_silent_s` bounds the wait where nothing
    was run yet. A stream that has begun is at two servers for `max_overlap_s` at most: after that
    it goes on with the second send, which was not refused by then.

    Load pattern that this answers: most backend servers of a service stand still at once, so that
    all of their requests want to be sent again at the same moment, many to others that stand still.
    """

    def __init__(
        self,
        job: Job,
        back_end: ListedBackEnd,
        order: Callable[[float], PlacementRequest | None],
        permit: Callable[[Assignment], bool],
        begun: Callable[[], bool] = lambda: False,
        max_silent_s: float = float("inf"),
        beside: Callable[[Held], Beside] | None = None,
        max_overlap_s: float = float("inf"),
        failed: Beside | None = None,
        await_bytes: Callable[[Iterable[Exchange], float], None] = await_bytes,
    ) -> None:
        self._job = job
        self._back_end = back_end
        self._order = order
        self._permit = permit
        self._begun = begun
        self._max_silent_s = max_silent_s
        self._beside = beside
        self._max_overlap_s = max_overlap_s
        self._sent_beside_at = 0.0
        self._await_bytes = await_bytes
        self._silent_since: float | None = None
        self._future: Future | None = None
        self._ask_at = 0.0
        self._ask_again_s = FIRST_ASK_AGAIN_S
        self._told = False
        # Permits that the request had before the silence, for sends of its own.
        self._own_permits = 0
        self._probe: Future | None = None
        # Sends that are awaited beside the silent server's, the oldest first, and one that has
        # brought the server's own failure.
        self._seconds: list[Beside] = []
        self._failed = failed
        self.held: Held | None = None

    def wait(self, silent_s: float, exchange: Exchange, bytes_came: bool) -> float | None:
        """Return for how many more seconds to await the silent server, or None to leave it.

        It has been silent for `silent_s` already at the first call; `exchange` is the one with it.
        `bytes_came` tells that it sends, but nothing whole: what comes is then not taken for its
        going on. None without anything to `take` means that the request's time is over, or that the
        server is given up.
        """
        job, now = self._job, self._job.parts.clock.now()
        if self.held is not None:
            # http.client may go on to read although it was told that nothing comes.
            return None
        if self._silent_since is None:
            self._silent_since, self._ask_at = now - silent_s, now
            self._own_permits = job.permits
        while True:
            if job.running.aborted is not None or job.left_s <= MIN_TIME_S:
                self.stop()
                return None
            has_spoken = not bytes_came and exchange.has_unread
            if self._seconds and (has_spoken or self._second_answers(now)):
                return LOOK_S if has_spoken else None
            held = self._find(now)
            if held is not None:
                if not bytes_came and exchange.has_unread:
                    self._give_back(held)
                    return LOOK_S
                if self._beside is None:
                    self._leave_for(held)
                    return None
                self._send_beside(held, now + silent_s)
            gone = self._future is None and not self._may_stay(now)
            if gone and (bytes_came or not exchange.has_unread):
                return None
            self._tell_stays()
            if not self._seconds:
                next_s = LOOK_S if self._future is not None else max(LOOK_S, self._ask_at - now)
                return max(MIN_WAIT_S, min(next_s, job.left_s))
            if exchange.has_unread:
                return LOOK_S
            connections = [exchange, *(second.exchange for second in self._seconds)]
            left_s = job.left_s - MIN_TIME_S
            self._await_bytes(connections, min(LOOK_S, max(MIN_WAIT_S, left_s)))
            now = job.parts.clock.now()

    def began(self) -> None:
        """Take in that the server has sent a part of an answer, which may still break off.

        What was not sent yet is given back; second sends are awaited on.
        """
        if self._seconds or self._failed is not None:
            self.stop()
        else:
            self.spoke()

    def spoke(self) -> None:
        """Take in that the server has gone on, and give back what is held."""
        if self._silent_since is None:
            if self._failed is not None:
                self._give_back(self.take())
            return
        self.stop()
        silent_ms = round(1000 * (self._job.parts.clock.now() - self._silent_since))
        self._silent_since, self._told, self._probe = None, False, None
        self._ask_again_s = FIRST_ASK_AGAIN_S
        self._give_back(self.take())
        RELAY_SILENCES.inc(outcome="spoke")
        _log.info(
            SILENT_SERVER_SPOKE,
            request=self._job.request.request_id,
            back_end=self._back_end.name,
            silent_ms=silent_ms,
        )

    def take(self) -> Held | None:
        """Return what the request can go on with, which is the caller's from now on.

        That is a second send before its answer where the first exchange has ended by itself.
        """
        held, self.held = self.held, None
        failed, self._failed = self._failed, None
        if held is None and self._seconds:
            held = _held(self._seconds.pop(0))
        rest, self._seconds = self._seconds, []
        for second in rest:
            self._end(second, "not_needed")
        if held is None:
            return _held(failed) if failed is not None else None
        return held._replace(failed=failed)

    def stop(self) -> None:
        """Let a place go that was asked for."""
        future, self._future = self._future, None
        if future is None:
            return
        self._job.parts.dispatcher.withdraw(self._job.request.request_id)
        # The dispatcher takes its messages in order: a place that it gives before it hears of the
        # withdrawal comes with this future.
        future.add_done_callback(lambda done: self._job.give_back(done.result()))

    def _find(self, now: float) -> Held | None:
        """Return a place with its permit and connection, if there is one by now."""
        if self._future is None and now >= self._ask_at:
            self._ask(now)
        assignment = self._placed(now)
        return self._hold(assignment, now) if assignment is not None else None

    def _send_beside(self, held: Held, ask_at: float) -> None:
        """Send the request to a second server; a third one is looked for at `ask_at`."""
        second = self._beside(held)
        self._tell(SENT_BESIDE, to=held.assignment.runner.name)
        RELAY_SILENCES.inc(outcome="sent_beside")
        self._probe_server()
        if second.begin():
            self._seconds.append(second)
            self._sent_beside_at = self._job.parts.clock.now()
            self._ask_at = ask_at
        else:
            self._put_off(self._job.parts.clock.now())

    def _second_answers(self, now: float) -> bool:
        """Look what the second sends have brought, and return whether one has an answer."""
        for second in list(self._seconds):
            outcome = second.look()
            if outcome == "awaited":
                continue
            self._seconds.remove(second)
            if outcome == "answers":
                self._leave_for(_held(second))
                return True
            if outcome == "failed" and self._failed is None and not self._begun():
                self._failed = second
            else:
                self._end(second, outcome)
            self._put_off(now)
        overlaps = self._begun() and now - self._sent_beside_at >= self._max_overlap_s
        if self._seconds and overlaps:
            self._leave_for(_held(self._seconds.pop()))
            return True
        return False

    def _may_stay(self, now: float) -> bool:
        """Return whether a request for which nothing better is to be had stays with its server."""
        if self._begun():
            return True
        failed_only = self._failed is not None and not self._seconds
        max_silent_s = SOUND_SILENCE_S if failed_only else self._max_silent_s
        if now - self._silent_since >= max_silent_s:
            return False
        probe = self._probe_server()
        # A server that takes no connection in time may stand still; one that refuses it is gone.
        return not (probe.done() and probe.result() == "refused")

    def _probe_server(self) -> Future:
        """Look whether the silent server takes connections, so that others learn if it doesn't."""
        if self._probe is None:
            dispatcher, name = self._job.parts.dispatcher, self._back_end.name
            self._probe = self._job.parts.pool.probe(self._back_end.address)
            self._probe.add_done_callback(
                lambda done: (
                    dispatcher.record_unreachable(name) if done.result() != "taken" else None
                )
            )
        return self._probe

    def _ask(self, now: float) -> None:
        order = self._order(now - self._silent_since)
        if order is None:
            self._put_off(now)
            return
        self._future = self._job.parts.dispatcher.place(order)

    def _placed(self, now: float) -> Assignment | None:
        """Return the place that was asked for, if there is one by now."""
        if self._future is None:
            return None
        try:
            outcome = self._future.result(PLACE_WAIT_S)
        except FutureTimeoutError:
            return None
        self._future = None
        if isinstance(outcome, Refusal):
            self._put_off(now)
            return None
        return outcome

    def _hold(self, assignment: Assignment, now: float) -> Held | None:
        """Get a permit and a connection for a place, and hold all three."""
        job, first = self._job, assignment.reader or assignment.runner
        if not self._permit(assignment):
            job.give_back(assignment)
            self._put_off(now)
            return None
        try:
            exchange = job.parts.pool.open(first.address, fresh=first.address in job.asked)
        except BackEndFailureError:
            job.parts.dispatcher.record_unreachable(first.name)
            job.give_back(assignment)
            job.drop_permits(self._own_permits)
            self._put_off(now)
            return None
        return Held(assignment, exchange)

    def _put_off(self, now: float) -> None:
        self._ask_at = now + self._ask_again_s
        self._ask_again_s = min(MAX_ASK_AGAIN_S, 2 * self._ask_again_s)

    def _leave_for(self, held: Held) -> None:
        self.held = held
        RELAY_SILENCES.inc(outcome="left")
        self._tell(SILENT_SERVER_LEFT, to=held.assignment.runner.name)

    def _give_back(self, held: Held | None) -> None:
        if held is not None:
            give_back(self._job, held)
            self._job.drop_permits(self._own_permits)

    def _end(self, second: Beside, outcome: str) -> None:
        second.end()
        self._tell(SECOND_SEND_ENDED, to=second.assignment.runner.name, outcome=outcome)

    def _tell_stays(self) -> None:
        if self._told:
            return
        self._told = True
        self._tell(SILENT_SERVER_STAYS, place_asked=self._future is not None)

    def _tell(self, event: Event, **fields: str | bool) -> None:
        job = self._job
        since = self._silent_since
        _log.info(
            event,
            request=job.request.request_id,
            back_end=self._back_end.name,
            silent_ms=round(1000 * (job.parts.clock.now() - since)) if since is not None else None,
            left_ms=round(1000 * job.left_s),
            **fields,
        )


def give_back(job: Job, held: Held | None) -> None:
    """Give a place and its connection back, which a request does not need any more."""
    if held is None:
        return
    if held.failed is not None:
        held.failed.end()
    if held.second is not None:
        held.second.end()
        return
    job.give_back(held.assignment)
    held.exchange.put_back()


def _held(second: Beside) -> Held:
    return Held(second.assignment, second.exchange, second)
