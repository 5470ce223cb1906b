"""The WSGI application of a relay."""

import random
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

from laburnumreel.core import Clock, HeldBody, Log, split_pieces
from laburnumreel.protocol import Answer, status_line
from laburnumreel.relay._config import RelayConfig, RouteTable, pick_share
from laburnumreel.relay._engine import EngineRun
from laburnumreel.relay._events import (
    RELAY_REQUEST_FAILED,
    REQUEST_LOST,
    REQUEST_REFUSED,
    REQUEST_SERVED,
    STREAM_LOOKED_UP,
)
from laburnumreel.relay._forwarding import ForwardedAnswer, Forwarder
from laburnumreel.relay._job import Dependencies, Job, RelayFailedError
from laburnumreel.relay._metrics import RELAY_FIRST_BYTE_S, RELAY_REQUESTS, RELAY_TAKE_UPS
from laburnumreel.relay._plain import serve_plain
from laburnumreel.relay._ports import CallerWire
from laburnumreel.relay._request_slots import RequestSlots
from laburnumreel.relay._requests import Prompt, RelayRequest
from laburnumreel.relay._stop_schedule import StopSchedule
from laburnumreel.relay._stream_directory import StreamFinding
from laburnumreel.serving import RequestRegistry, ResponseBody, RunningRequest
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import READ_AT_KEY, REFUSAL_KEY

# Retry delay if peers have a newer configuration: a host lags behind for about this time.
STALE_CONFIG_RETRY_S = 0.2
NOT_READY_RETRY_S = 0.5
# How long a request waits for the lookup of its stream, which ends by itself before.
MAX_LOOKUP_S = 1.0
# Retry delay if a peer that may know a stream did not answer.
SILENT_PEERS_RETRY_S = 0.2
# Larger answers count as held until the caller has received them; the socket and its buffers take
# smaller ones at once.
MAX_UNHELD_BYTES = 64 * 1024
# Parts in which events are passed on, so that few bytes wait in the buffers of the connection.
MAX_EVENT_PIECE_BYTES = 64 * 1024
# Marks the requests that another host has passed on, in the environment of a request.
FORWARDED_KEY = "laburnumreel.forwarded"
STOPPING = Refusal(ErrorKind.STOPPING, retry_after_s=0.1)
# The time after a host's first configuration within which updates from its peers are expected: they
# are sent several times a second.
PEER_DISCOVERY_S = 1.0

# Used if a request does not describe its prompt.
_NO_PROMPT = Prompt("", (), 0, 0)

StartResponse = Callable[..., Any]

_log = Log("relay.application")


class RelayApplication:
    """Checks, places and serves requests, each on the thread that waitress assigned to it.

    `newest_version` returns the newest configuration version that any host is known to have, or
    None before an update from a peer has arrived. `era` returns the era of the store that this
    host's configuration comes from. At most `max_requests` requests are served at once. While this
    host reaches no backend server, requests go to other hosts by `forwarder`.
    """

    def __init__(
        self,
        deps: Dependencies,
        callers: CallerWire,
        registry: RequestRegistry,
        newest_version: Callable[[], int | None],
        rng: random.Random,
        max_requests: int,
        forwarder: Forwarder,
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._deps = deps
        self._clock: Clock = deps.clock
        self._callers = callers
        self._registry = registry
        self._newest_version = newest_version
        self._rng = rng
        self._era = era
        self._forwarder = forwarder
        self._table: RouteTable | None = None
        self._stop: StopSchedule | None = None
        self._is_closed = False
        self._places = RequestSlots(max_requests, deps.clock, rng)
        self._configured_at, self._configured_era = 0.0, 0
        self._has_caught_up = False

    @property
    def table(self) -> RouteTable | None:
        """The routes in force, or None before the first configuration."""
        return self._table

    def configure(self, config: RelayConfig) -> bool:
        """Apply a configuration; return False if the current one is as new or newer."""
        if self._table is not None and config.version <= self._table.version:
            return False
        if self._table is None:
            self._configured_at, self._configured_era = self._clock.now(), self._era()
        self._table = RouteTable(config)
        return True

    @property
    def is_current(self) -> bool:
        """Whether this host has had a configuration as new as its peers' since it started.

        A store that was restored from an older copy may give a starting host a configuration with
        routes or keys that have been removed since. The host waits until the newer configuration
        is written to the store again.
        """
        if self._has_caught_up or self._table is None:
            return self._table is not None
        newest = self._newest_version()
        settled = self._clock.now() - self._configured_at >= PEER_DISCOVERY_S
        if newest is None and not settled:
            # No peer was heard yet. Only a store that was never restored from a copy (era 0) is
            # known to return the newest configuration.
            return self._configured_era == 0
        # Once the peers had time to report a newer version, a positive result is kept for good.
        # Before that it is checked again each time.
        self._has_caught_up = settled and (newest or 0) <= self._table.version
        return (newest or 0) <= self._table.version

    def begin_stop(self, stop: StopSchedule) -> None:
        """Admit only the requests that a planned stop allows; running ones continue."""
        self._stop = stop

    def stop_admitting(self) -> None:
        """Refuse new requests from now on; running ones continue."""
        self._is_closed = True

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        now = self._clock.now()
        # Deadlines count from when the request was read, even if it waited for a thread afterwards.
        decoded = self._callers.request(environ, environ.get(READ_AT_KEY, now))
        if decoded.is_error():
            return self._refuse(decoded.error, None, "", start_response)
        request = decoded.ok._replace(
            queued_s=now - decoded.ok.arrived_at, is_forwarded=FORWARDED_KEY in environ
        )
        if REFUSAL_KEY in environ:
            return self._refuse(environ[REFUSAL_KEY], request, "", start_response)
        try:
            return self._serve(request, start_response, environ.get("wsgi.file_wrapper"))
        except RelayFailedError as error:
            return self._refuse(error.refusal, request, "", start_response)
        except Exception as error:
            _log.error(
                RELAY_REQUEST_FAILED, request=request.request_id, error=repr(error), exc_info=True
            )
            return self._refuse(Refusal(ErrorKind.INTERNAL), request, "", start_response)

    def _serve(
        self,
        request: RelayRequest,
        start_response: StartResponse,
        wrap_file: Callable[[HeldBody], Iterable[bytes]] | None,
    ) -> Iterable[bytes]:
        job = self._check(request)
        retry_after_s = self._places.acquire(job.service.name, len(self._table.config.services))
        if retry_after_s is not None:
            raise RelayFailedError(
                Refusal(ErrorKind.THREADS_EXHAUSTED, retry_after_s=retry_after_s)
            )
        self._registry.watch(job.running)
        if job.parts:
            self._deps.dispatcher.watch_parts(job)
        is_held = False
        try:
            body = self._serve_job(job, start_response)
            if wrap_file is None or job.streaming or len(body[0]) <= MAX_UNHELD_BYTES:
                return body
            is_held = True
            return wrap_file(HeldBody(body[0], job.release_answer))
        except RelayFailedError as error:
            return self._refuse(error.refusal, request, job.route.kind, start_response, job)
        finally:
            if not is_held:
                job.release_answer()
            if not job.streaming:
                self._finish(job)

    def _check(self, request: RelayRequest) -> Job:
        """Return a job with the route, customer and service of a request.

        Raises `RelayFailedError` if the request is not admitted.
        """
        if request.is_caller_gone():
            raise RelayFailedError(Refusal(ErrorKind.CALLER_GONE, run_state=RunState.NOT_RUN))
        if request.is_forwarded and self._deps.dispatcher.is_cut_off:
            detail = "this host reaches no backend server either"
            raise RelayFailedError(Refusal(ErrorKind.NOT_READY, detail, NOT_READY_RETRY_S))
        # A request that may end in time is checked again once its deadline is known.
        self._refuse_if_stopping(request, request.arrived_at)
        table = self._table
        if table is None or not self.is_current:
            detail = "no configuration is known yet that is as new as the peers'"
            raise RelayFailedError(Refusal(ErrorKind.NOT_READY, detail, NOT_READY_RETRY_S))
        route = table.route(request.host, request.path)
        if route is None:
            self._refuse_if_stale(table)
            raise RelayFailedError(Refusal(ErrorKind.UNKNOWN_ROUTE))
        if request.prompt is None:
            request = request._replace(prompt=_NO_PROMPT)
        customer, priority = "", route.priority
        if table.needs_keys and not route.public:
            found = table.customer(request.key) if request.key else None
            if found is None:
                self._refuse_if_stale(table)
                kind = ErrorKind.UNKNOWN_KEY if request.key else ErrorKind.MISSING_KEY
                raise RelayFailedError(Refusal(kind))
            customer = found.name
            priority = route.priority if found.priority is None else found.priority
        name = pick_share(route.shares, self._rng.random()) if route.shares else ""
        service = table.config.services.get(name)
        if service is None:
            detail = f"service {name} is not configured"
            raise RelayFailedError(Refusal(ErrorKind.NO_BACK_END, detail, NOT_READY_RETRY_S))
        patience_s = route.timeout_s
        if request.caller_timeout_s is not None:
            patience_s = min(patience_s, request.caller_timeout_s)
        running = RunningRequest(
            request.request_id,
            None,
            request.arrived_at + patience_s,
            request.is_caller_gone,
            is_repeatable=route.repeatable,
        )
        self._refuse_if_stopping(request, running.deadline)
        job = Job(self._deps, request, route, service, customer, priority, running, table.version)
        held = self._deps.dispatcher.held(job.digest, job.parts, job.token)
        if held is not None:
            raise RelayFailedError(
                Refusal(ErrorKind.CRASHES_BACK_ENDS, held.detail, held.remaining_s)
            )
        return job

    def _refuse_if_stopping(self, request: RelayRequest, deadline: float) -> None:
        """Raise `RelayFailedError` if the stop of this host does not admit the request."""
        stop = self._stop
        if self._is_closed or not (stop is None or stop.admits(request.arrived_at, deadline)):
            raise RelayFailedError(STOPPING)

    def _refuse_if_stale(self, table: RouteTable) -> None:
        """Raise `RelayFailedError` if the configuration is known to be outdated.

        An unknown route or key may be known to the newer configuration.
        """
        if (self._newest_version() or 0) > table.version:
            detail = f"configuration {table.version} is not the newest"
            raise RelayFailedError(Refusal(ErrorKind.NOT_READY, detail, STALE_CONFIG_RETRY_S))

    def _serve_job(self, job: Job, start_response: StartResponse) -> Iterable[bytes]:
        """Serve a request here, or at another host if this one reaches no backend server."""
        if self._forwarder.takes(job):
            return self._forward(job, start_response)
        try:
            if job.service.engine is None:
                return self._serve_whole(job, start_response)
            if job.takes_up_stream:
                job.software = self._find_software(job)
            return self._serve_stream(job, start_response)
        except RelayFailedError:
            # The links may have been lost while the request was tried here.
            is_over = job.running.abort_reason is not None
            if is_over or job.run_state is not RunState.NOT_RUN:
                raise
            if not self._forwarder.takes_after_doubt(job):
                raise
            return self._forward(job, start_response)

    def _forward(self, job: Job, start_response: StartResponse) -> Iterable[bytes]:
        answer = self._forwarder.send(job)
        headers = self._callers.answer_headers(answer.headers)
        if answer.length is not None and job.request.method != "HEAD":
            headers.append(("Content-Length", answer.length))
        start_response(status_line(answer.status), headers)
        job.streaming = True

        def end() -> None:
            answer.close()
            self._finish(job)

        return ResponseBody(self._forwarded_pieces(job, answer), end)

    def _forwarded_pieces(self, job: Job, answer: ForwardedAnswer) -> Iterator[bytes]:
        sent = 0
        try:
            while piece := answer.read():
                sent += len(piece)
                yield piece
        except RelayFailedError as error:
            self._log_lost(job, error.refusal, sent)
            raise
        except GeneratorExit:
            self._log_lost(job, Refusal(ErrorKind.CALLER_GONE), sent)
            raise

    def _find_software(self, job: Job) -> str | None:
        """Return the version of the software that began the stream which a caller takes up.

        Raises `RelayFailedError` if it can't be told: at any other version, the caller would get a
        text that two versions have written.
        """
        began_at = self._clock.now()
        future = self._deps.streams.find(job.stream, job.service.name)
        try:
            finding = future.result(MAX_LOOKUP_S)
        except FutureTimeoutError:
            finding = StreamFinding(None, "silent")
        RELAY_TAKE_UPS.inc(source=finding.source)
        _log.info(
            STREAM_LOOKED_UP,
            request=job.request.request_id,
            resumes=job.request.resumes,
            service=job.service.name,
            software=finding.software,
            source=finding.source,
            asked=finding.asked,
            took_ms=round(1000 * (self._clock.now() - began_at)),
        )
        if finding.software is None:
            detail = f"the software that began the stream is {finding.source}"
            is_silent = finding.source == "silent"
            retry_after_s = SILENT_PEERS_RETRY_S if is_silent else None
            raise RelayFailedError(Refusal(ErrorKind.STREAM_NOT_RESUMABLE, detail, retry_after_s))
        return finding.software

    def _serve_whole(self, job: Job, start_response: StartResponse) -> list[bytes]:
        reply = serve_plain(job)
        self._observe_first_byte(job)
        self._log_served(job, reply.status, reply.back_end, len(reply.body))
        headers = self._callers.answer_headers(reply.headers)
        return _whole_answer(
            Answer(status_line(reply.status), headers, reply.body),
            job.request.method,
            start_response,
        )

    def _serve_stream(self, job: Job, start_response: StartResponse) -> Iterable[bytes]:
        run = EngineRun(job)
        try:
            first = run.start()
            self._observe_first_byte(job)
            headers = self._callers.answer_headers(run.headers)
            if run.is_stream:
                start_response(status_line(run.status), headers)
                job.streaming = True
        finally:
            if not job.streaming:
                run.close()
        if not run.is_stream:
            self._log_served(job, run.status, run.back_end, len(first))
            return _whole_answer(
                Answer(status_line(run.status), headers, first), job.request.method, start_response
            )
        return ResponseBody(
            self._stream_events(job, run, first), lambda: self._stream_ended(job, run)
        )

    def _stream_events(self, job: Job, run: EngineRun, first: bytes) -> Iterator[bytes]:
        sent, pause_s, last_at = len(first), 0.0, self._clock.now()
        first_ms = round(1000 * job.elapsed_s)
        try:
            yield from split_pieces(first, MAX_EVENT_PIECE_BYTES)
            for piece in run.remaining_events():
                sent += len(piece)
                now = self._clock.now()
                pause_s, last_at = max(pause_s, now - last_at), now
                yield from split_pieces(piece, MAX_EVENT_PIECE_BYTES)
        except RelayFailedError as error:
            self._log_lost(job, error.refusal, sent)
            # The exception makes waitress close the connection in the middle of the answer, so that
            # it does not look complete.
            raise
        except GeneratorExit:
            self._log_lost(job, Refusal(ErrorKind.CALLER_GONE), sent)
            raise
        back_end = run.back_end
        self._log_served(
            job,
            run.status,
            back_end,
            sent,
            first_ms=first_ms,
            longest_pause_ms=round(1000 * pause_s),
            on_time=first_ms <= 1000 * job.route.objective_s and pause_s <= job.route.gap_s,
        )

    def _stream_ended(self, job: Job, run: EngineRun) -> None:
        run.close()
        self._finish(job)

    def _finish(self, job: Job) -> None:
        job.release_permits()
        self._registry.unwatch(job.running)
        if job.parts:
            self._deps.dispatcher.unwatch_parts(job)
        self._places.release(job.service.name)

    def _observe_first_byte(self, job: Job) -> None:
        RELAY_FIRST_BYTE_S.observe(job.elapsed_s, kind=str(job.route.kind))

    def _log_served(
        self, job: Job, status: int, back_end: str, size: int, **stream: int | bool
    ) -> None:
        RELAY_REQUESTS.inc(kind=str(job.route.kind), outcome="served")
        _log.info(
            REQUEST_SERVED,
            request=job.request.request_id,
            route=job.route.name,
            customer=job.customer,
            status=status,
            back_end=back_end,
            bytes=size,
            took_ms=round(1000 * job.elapsed_s),
            queued_ms=round(1000 * job.request.queued_s),
            sends=job.sends,
            **stream,
        )

    def _log_lost(self, job: Job, refusal: Refusal, sent: int) -> None:
        RELAY_REQUESTS.inc(kind=str(job.route.kind), outcome="lost")
        _log.warning(
            REQUEST_LOST,
            request=job.request.request_id,
            route=job.route.name,
            kind=str(refusal.kind),
            detail=refusal.detail,
            bytes=sent,
            took_ms=round(1000 * job.elapsed_s),
            left_ms=round(1000 * job.remaining_s),
            sends=job.sends,
        )

    def _refuse(
        self,
        refusal: Refusal,
        request: RelayRequest | None,
        kind: str,
        start_response: StartResponse,
        job: Job | None = None,
    ) -> Iterable[bytes]:
        RELAY_REQUESTS.inc(kind=str(kind), outcome=str(refusal.kind))
        request_id = request.request_id if request is not None else ""
        not_run = refusal.state is RunState.NOT_RUN
        _log.info(
            REQUEST_REFUSED if not_run else REQUEST_LOST,
            request=request_id,
            kind=str(refusal.kind),
            run_state=str(refusal.state),
            detail=refusal.detail[:200],
            retry_after_s=refusal.retry_after_s,
            config_version=self._table.version if self._table is not None else None,
            waited_ms=round(1000 * job.elapsed_s) if job is not None else None,
            left_ms=round(1000 * job.remaining_s) if job is not None else None,
            queued_ms=round(1000 * request.queued_s) if request is not None else None,
            sends=job.sends if job is not None else 0,
        )
        answer = self._callers.refusal(refusal, request_id)
        method = request.method if request is not None else "GET"
        return _whole_answer(answer, method, start_response)


def _whole_answer(answer: Answer, method: str, start_response: StartResponse) -> list[bytes]:
    headers = [pair for pair in answer.headers if pair[0].lower() != "content-length"]
    if method != "HEAD":
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(answer.status, headers)
    return [b"" if method == "HEAD" else answer.body]
