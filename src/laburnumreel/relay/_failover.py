"""Failover from a silent backend server: a replacement is reserved before the server is left."""

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
from laburnumreel.relay._silence_limits import HEALTHY_SILENCE_S
from laburnumreel.state import Refusal
from laburnumreel.transport import BackEndFailureError, Exchange, await_bytes

# The dispatcher answers within about a millisecond if a slot is available.
SLOT_WAIT_S = 0.005
# How often a request checks for the slot and the answers that it waits for.
POLL_INTERVAL_S = 0.05
MIN_WAIT_S = 0.001
# Delay before a denied slot, permit or connection is requested again, doubled up to the maximum.
INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 0.8

_log = Log("relay.elsewhere")


class Hedge(Protocol):
    """A hedged send, made while the first send is still awaited; see `HedgedSend`."""

    assignment: Assignment

    @property
    def exchange(self) -> Exchange: ...

    def start(self) -> bool: ...

    def poll(self) -> str: ...

    def cancel(self) -> None: ...


class Reservation(NamedTuple):
    """A slot and an open connection to the backend server that the request goes to next.

    `hedge` is the hedged send on that connection if the request was already sent. `failed_hedge` is
    an earlier hedged send that the server answered with a failure; that answer is passed on if
    no better one arrives.
    """

    assignment: Assignment
    exchange: Exchange
    hedge: Hedge | None = None
    failed_hedge: Hedge | None = None


class Failover:
    """Moves a request from a silent backend server to another one.

    Silence does not prove that a backend server has failed: a healthy one may resume shortly
    after, and a request that has left it and finds no replacement is lost. The exchange with the
    silent server therefore stays open until a permit of the retry budget, a slot and a connection
    are reserved. It also stays open while the hedged send runs, because the second server may
    refuse, fail or be silent as well. The first answer wins. `take_reservation` returns the
    reservation that the request continues with. If nothing can be reserved, the silent server
    has until the request's deadline.

    `make_order` returns the order for the dispatcher after the given seconds of silence, or
    None if the route or its attempts allow no other backend server.
    `request_permit` requests a permit of the retry budget for an assignment.
    `make_hedge` makes a hedged send from a reservation. Without it, the request leaves the silent
    server as soon as a replacement is reserved.
    `has_begun` returns whether the caller has received a part of the answer. Until then, a request
    also leaves a server that refuses connections, so that its caller learns of the failure at
    once, and a server whose silence lasts long after a second server answered with a failure.
    `failed_hedge` is such a failure from an earlier search.
    `max_silent_s` bounds the wait if the server has not run anything yet.

    This protects against a load peak: most backend servers of a service hang at once, all of
    their requests are due for another send at the same time, and many would go to servers that
    hang as well.
    """

    def __init__(
        self,
        job: Job,
        back_end: ListedBackEnd,
        make_order: Callable[[float], PlacementRequest | None],
        request_permit: Callable[[Assignment], bool],
        has_begun: Callable[[], bool] = lambda: False,
        max_silent_s: float = float("inf"),
        make_hedge: Callable[[Reservation], Hedge] | None = None,
        failed_hedge: Hedge | None = None,
        await_bytes: Callable[[Iterable[Exchange], float], None] = await_bytes,
    ) -> None:
        self._job = job
        self._back_end = back_end
        self._make_order = make_order
        self._request_permit = request_permit
        self._has_begun = has_begun
        self._max_silent_s = max_silent_s
        self._make_hedge = make_hedge
        self._await_bytes = await_bytes
        self._silent_since: float | None = None
        self._future: Future | None = None
        self._next_request_at = 0.0
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._has_logged_silence = False
        # Unused permits that the request already had when the silence began.
        self._initial_permits = 0
        self._probe: Future | None = None
        # Hedged sends in flight, the oldest first, and one that its server answered with a failure.
        self._hedges: list[Hedge] = []
        self._failed_hedge = failed_hedge
        self.reservation: Reservation | None = None

    def wait(self, silent_s: float, exchange: Exchange, bytes_came: bool) -> float | None:
        """Return how many more seconds to wait for the silent server, or None to leave it.

        At the first call, the server has been silent for `silent_s`. `exchange` is the exchange
        with it. `bytes_came` is True if it sends bytes without completing an event; its bytes do
        then not count as progress. If None is returned and `take_reservation` returns None as
        well, the request's time is over or the server is given up.
        """
        job, now = self._job, self._job.deps.clock.now()
        if self.reservation is not None:
            # http.client may call again although it was told to stop reading.
            return None
        if self._silent_since is None:
            self._silent_since, self._next_request_at = now - silent_s, now
            self._initial_permits = job.unused_permits
        while True:
            if job.running.abort_reason is not None or job.remaining_s <= MIN_TIME_S:
                self.cancel_search()
                return None
            has_resumed = not bytes_came and exchange.has_unread
            if self._hedges and (has_resumed or self._poll_hedges(now)):
                return POLL_INTERVAL_S if has_resumed else None
            reservation = self._try_reserve(now)
            if reservation is not None:
                if not bytes_came and exchange.has_unread:
                    self._release(reservation)
                    return POLL_INTERVAL_S
                if self._make_hedge is None:
                    self._switch_to(reservation)
                    return None
                self._start_hedge(reservation, now + silent_s)
            is_given_up = self._future is None and not self._may_keep_waiting(now)
            if is_given_up and (bytes_came or not exchange.has_unread):
                return None
            self._log_silence_once()
            if not self._hedges:
                poll_s = (
                    POLL_INTERVAL_S
                    if self._future is not None
                    else max(POLL_INTERVAL_S, self._next_request_at - now)
                )
                return max(MIN_WAIT_S, min(poll_s, job.remaining_s))
            if exchange.has_unread:
                return POLL_INTERVAL_S
            connections = [exchange, *(hedge.exchange for hedge in self._hedges)]
            remaining_s = job.remaining_s - MIN_TIME_S
            self._await_bytes(connections, min(POLL_INTERVAL_S, max(MIN_WAIT_S, remaining_s)))
            now = job.deps.clock.now()

    def on_answer_started(self) -> None:
        """Record that the server has started to answer; the answer may still break off.

        Hedged sends that are already made stay in flight. Without one, the search ends as in
        `on_progress`.
        """
        if self._hedges or self._failed_hedge is not None:
            self.cancel_search()
        else:
            self.on_progress()

    def on_progress(self) -> None:
        """Record that the server has made progress, and release what was reserved."""
        if self._silent_since is None:
            if self._failed_hedge is not None:
                self._release(self.take_reservation())
            return
        self.cancel_search()
        silent_ms = round(1000 * (self._job.deps.clock.now() - self._silent_since))
        self._silent_since, self._has_logged_silence, self._probe = None, False, None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._release(self.take_reservation())
        RELAY_SILENCES.inc(outcome="spoke")
        _log.info(
            SILENT_SERVER_SPOKE,
            request=self._job.request.request_id,
            back_end=self._back_end.name,
            silent_ms=silent_ms,
        )

    def take_reservation(self) -> Reservation | None:
        """Return the reservation that the request continues with, and hand over its ownership.

        If the first exchange has ended by itself, this is the oldest hedged send, even if it has
        no answer yet.
        """
        reservation, self.reservation = self.reservation, None
        failed_hedge, self._failed_hedge = self._failed_hedge, None
        if reservation is None and self._hedges:
            reservation = _as_reservation(self._hedges.pop(0))
        unneeded, self._hedges = self._hedges, []
        for hedge in unneeded:
            self._cancel_hedge(hedge, "not_needed")
        if reservation is None:
            return _as_reservation(failed_hedge) if failed_hedge is not None else None
        return reservation._replace(failed_hedge=failed_hedge)

    def cancel_search(self) -> None:
        """Withdraw the pending order for a slot."""
        future, self._future = self._future, None
        if future is None:
            return
        self._job.deps.dispatcher.withdraw(future)
        # The dispatcher processes its messages in order: a slot that it assigns before it reads
        # the withdrawal arrives with this future.
        future.add_done_callback(lambda done: self._job.release_slots(done.result()))

    def _try_reserve(self, now: float) -> Reservation | None:
        """Return a slot with its permit and connection, or None if none is available yet."""
        if self._future is None and now >= self._next_request_at:
            self._request_slot(now)
        assignment = self._poll_slot(now)
        return self._reserve(assignment, now) if assignment is not None else None

    def _start_hedge(self, reservation: Reservation, next_request_at: float) -> None:
        """Send the request to another server, and look for the next one at `next_request_at`."""
        hedge = self._make_hedge(reservation)
        self._log_event(SENT_BESIDE, to=reservation.assignment.runner.name)
        RELAY_SILENCES.inc(outcome="sent_beside")
        self._probe_silent_server()
        if hedge.start():
            self._hedges.append(hedge)
            self._next_request_at = next_request_at
        else:
            self._back_off(self._job.deps.clock.now())

    def _poll_hedges(self, now: float) -> bool:
        """Poll the hedged sends, and return whether the request continues with one of them."""
        for hedge in list(self._hedges):
            outcome = hedge.poll()
            if outcome == "awaited":
                continue
            self._hedges.remove(hedge)
            if outcome == "answers":
                self._switch_to(_as_reservation(hedge))
                return True
            if outcome == "failed" and self._failed_hedge is None and not self._has_begun():
                self._failed_hedge = hedge
            else:
                self._cancel_hedge(hedge, outcome)
            self._back_off(now)
        return False

    def _may_keep_waiting(self, now: float) -> bool:
        """Return whether a request without a replacement stays with the silent server."""
        if self._has_begun():
            return True
        failed_only = self._failed_hedge is not None and not self._hedges
        max_silent_s = HEALTHY_SILENCE_S if failed_only else self._max_silent_s
        if now - self._silent_since >= max_silent_s:
            return False
        probe = self._probe_silent_server()
        # A server that accepts no connection in time may be hanging; one that refuses it is gone.
        return not (probe.done() and probe.result() == "refused")

    def _probe_silent_server(self) -> Future:
        """Probe whether the silent server accepts connections, and report it if it does not."""
        if self._probe is None:
            dispatcher, name = self._job.deps.dispatcher, self._back_end.name
            self._probe = self._job.deps.pool.probe(self._back_end.address)
            self._probe.add_done_callback(
                lambda done: (
                    dispatcher.record_unreachable(name) if done.result() != "taken" else None
                )
            )
        return self._probe

    def _request_slot(self, now: float) -> None:
        order = self._make_order(now - self._silent_since)
        if order is None:
            self._back_off(now)
            return
        self._future = self._job.deps.dispatcher.place(order)

    def _poll_slot(self, now: float) -> Assignment | None:
        """Return the assignment that was ordered, or None if there is none yet."""
        if self._future is None:
            return None
        try:
            outcome = self._future.result(SLOT_WAIT_S)
        except FutureTimeoutError:
            return None
        self._future = None
        if isinstance(outcome, Refusal):
            self._back_off(now)
            return None
        return outcome

    def _reserve(self, assignment: Assignment, now: float) -> Reservation | None:
        """Reserve a permit and a connection for an assigned slot; None if one is denied."""
        job, first = self._job, assignment.reader or assignment.runner
        if not self._request_permit(assignment):
            job.release_slots(assignment)
            self._back_off(now)
            return None
        try:
            exchange = job.deps.pool.open(
                first.address, fresh=first.address in job.contacted_addresses
            )
        except BackEndFailureError:
            job.deps.dispatcher.record_unreachable(first.name)
            job.release_slots(assignment)
            job.release_permits(self._initial_permits)
            self._back_off(now)
            return None
        return Reservation(assignment, exchange)

    def _back_off(self, now: float) -> None:
        self._next_request_at = now + self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)

    def _switch_to(self, reservation: Reservation) -> None:
        self.reservation = reservation
        RELAY_SILENCES.inc(outcome="left")
        self._log_event(SILENT_SERVER_LEFT, to=reservation.assignment.runner.name)

    def _release(self, reservation: Reservation | None) -> None:
        if reservation is not None:
            release_reservation(self._job, reservation)
            self._job.release_permits(self._initial_permits)

    def _cancel_hedge(self, hedge: Hedge, outcome: str) -> None:
        hedge.cancel()
        self._log_event(SECOND_SEND_ENDED, to=hedge.assignment.runner.name, outcome=outcome)

    def _log_silence_once(self) -> None:
        if self._has_logged_silence:
            return
        self._has_logged_silence = True
        self._log_event(SILENT_SERVER_STAYS, place_asked=self._future is not None)

    def _log_event(self, event: Event, **fields: str | bool) -> None:
        job = self._job
        silent_since = self._silent_since
        _log.info(
            event,
            request=job.request.request_id,
            back_end=self._back_end.name,
            silent_ms=(
                round(1000 * (job.deps.clock.now() - silent_since))
                if silent_since is not None
                else None
            ),
            left_ms=round(1000 * job.remaining_s),
            **fields,
        )


def release_reservation(job: Job, reservation: Reservation | None) -> None:
    """Release a slot and its connection, which a request does not need any more."""
    if reservation is None:
        return
    if reservation.failed_hedge is not None:
        reservation.failed_hedge.cancel()
    if reservation.hedge is not None:
        reservation.hedge.cancel()
        return
    job.release_slots(reservation.assignment)
    reservation.exchange.return_unused()


def _as_reservation(hedge: Hedge) -> Reservation:
    return Reservation(hedge.assignment, hedge.exchange, hedge)
