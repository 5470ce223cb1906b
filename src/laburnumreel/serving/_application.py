"""The WSGI application that serves callers."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from laburnumreel.coordination import Offer, RoutingRequest, prompt_prefixes
from laburnumreel.core import Log
from laburnumreel.protocol import (
    DONE,
    Answer,
    AnswerBuilder,
    ModelRequest,
    count_refusal,
    forwarded_headers,
    idempotency_key,
    json_answer,
    models_body,
    new_request_id,
    prompt_parts,
    refusal_answer,
    refusal_event,
    request_digest,
    status_line,
    strip_key_from_query,
)
from laburnumreel.serving._checks import (
    ANONYMOUS_CUSTOMER,
    MODEL_PATHS,
    MODELS_PATH,
    PLAIN_METHODS,
    Caller,
    IncomingRequest,
    authenticate,
    body_digest,
    check_customer,
    check_model_request,
)
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._dispatcher import BackEndSelection
from laburnumreel.serving._events import REQUEST_FAILED
from laburnumreel.serving._idempotent_run import IdempotentRun, claim_request, find_stored_answer
from laburnumreel.serving._job import Job, RequestFailedError
from laburnumreel.serving._lifecycle import AdmissionSlot, ResponseBody
from laburnumreel.serving._metrics import FIRST_BYTE_S, REQUESTS
from laburnumreel.serving._model import ModelRun, StreamEvent
from laburnumreel.serving._plain import PlainRequest, PlainRun
from laburnumreel.serving._registry import RunningRequest
from laburnumreel.state import ErrorKind, Profile, Refusal, RunState, Service
from laburnumreel.transport import REFUSAL_KEY

# Copies of a whole answer that exist at once: its parts, and its JSON.
ANSWER_COPIES = 2

_log = Log("serving.application")

Headers = list[tuple[str, str]]
StartResponse = Callable[..., Any]


class Application:
    """Checks, admits and serves requests, each on its waitress thread."""

    def __init__(self, deps: GatewayDependencies) -> None:
        self._deps = deps
        self._stopping = False

    def stop_admitting(self) -> None:
        """Refuse new requests from now on; running ones continue."""
        self._stopping = True

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        request_id = new_request_id()
        try:
            return self._serve(environ, request_id, start_response)
        except RequestFailedError as error:
            answer = refusal_answer(error.refusal, request_id)
        except Exception as error:
            _log.error(REQUEST_FAILED, request=request_id, error=repr(error), exc_info=True)
            answer = refusal_answer(Refusal(ErrorKind.INTERNAL), request_id)
        return _send_answer(answer, environ, start_response)

    def _serve(
        self, environ: dict[str, Any], request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        deps = self._deps
        if REFUSAL_KEY in environ:
            raise RequestFailedError(environ[REFUSAL_KEY])
        if self._stopping:
            raise RequestFailedError(Refusal(ErrorKind.STOPPING))
        if not deps.config.ready:
            raise RequestFailedError(Refusal(ErrorKind.NOT_READY))
        now = deps.clock.now()
        incoming = IncomingRequest.from_environ(environ, request_id, deps.config.configuration, now)
        if incoming.path in MODEL_PATHS:
            _require_method(incoming.method, ("POST",))
            caller = authenticate(deps, incoming)
            return self._serve_model(incoming, caller, start_response)
        if incoming.path == MODELS_PATH or incoming.path.startswith(MODELS_PATH + "/"):
            _require_method(incoming.method, ("GET", "HEAD"))
            answer = self._list_models(incoming, authenticate(deps, incoming))
            return _send_answer(answer, environ, start_response)
        return self._serve_plain(incoming, start_response)

    def _list_models(self, incoming: IncomingRequest, caller: Caller) -> Answer:
        models = [
            (model, service.name)
            for model, service in sorted(incoming.configuration.models.items())
            if service.serves(caller.customer)
        ]
        model_list = models_body(models)
        name = incoming.path.removeprefix(MODELS_PATH).strip("/")
        if not name:
            return json_answer(model_list, incoming.request_id)
        for model in model_list["data"]:
            if model["id"] == name:
                return json_answer(model, incoming.request_id)
        raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_MODEL))

    def _serve_model(
        self, incoming: IncomingRequest, caller: Caller, start_response: StartResponse
    ) -> Iterable[bytes]:
        chat = MODEL_PATHS[incoming.path]
        request, raw_body, service, profile = check_model_request(incoming, caller, chat)
        work = RoutingRequest(
            request_id=incoming.request_id,
            service=service.name,
            customer=caller.customer,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            prompt_bytes=len(request.prompt),
            output_tokens=request.output_tokens,
            prefixes=prompt_prefixes(request.prompt.decode("utf-8", "replace")),
            priority=profile.priority,
            parts=prompt_parts(request, service.name),
        )
        # An engine's resume position counts the tokens of a single choice.
        is_repeatable = profile.resumable and request.choices == 1
        digest = body_digest(service.name, "POST", incoming.path, request.prompt)
        key = _read_idempotency_key(incoming, caller)
        claim_digest = request_digest("POST", incoming.path, raw_body) if key else ""
        slot, job = self._create_slot_and_job(
            incoming, caller, work, service, profile, is_repeatable, digest, key
        )
        with _ReleaseOnError(slot) as guard:
            idempotent_run = self._admit_and_claim(caller, job, slot, key, claim_digest)
            if isinstance(idempotent_run, Answer):
                return _send_answer(idempotent_run, incoming.environ, start_response)
            guard.idempotent_run = idempotent_run
            run = ModelRun(self._deps, job, request, slot.initial_back_end)
            if not request.stream:
                answer = self._collect_answer(run, request, incoming, slot)
                if idempotent_run is not None:
                    idempotent_run.append(answer.body)
                    idempotent_run.finish(200, answer.headers)
                REQUESTS.inc(service=service.name)
                return _send_answer(answer, incoming.environ, start_response)
            events = run.events()
            first_batch = next(events)
            FIRST_BYTE_S.observe(self._deps.clock.now() - incoming.arrived_at, service=service.name)
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
                ("X-Request-Id", incoming.request_id),
            ]
            start_response("200 OK", headers)
            batches = itertools.chain([first_batch], events)
            return ResponseBody(
                _stream_events(batches, events, run, slot, work, idempotent_run, headers),
                slot.release,
            )

    def _collect_answer(
        self, run: ModelRun, request: ModelRequest, incoming: IncomingRequest, slot: AdmissionSlot
    ) -> Answer:
        builder = AnswerBuilder(request.chat)
        for events in run.events():
            for payload, chunk in events:
                if payload != DONE:
                    builder.add(chunk, len(payload))
            run.kept_bytes = ANSWER_COPIES * builder.kept_bytes
        slot.tokens = run.tokens
        slot.release()
        return json_answer(builder.answer(), incoming.request_id)

    def _serve_plain(
        self, incoming: IncomingRequest, start_response: StartResponse
    ) -> Iterable[bytes]:
        deps = self._deps
        route = incoming.configuration.route(incoming.path)
        if route is None:
            raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_ROUTE))
        service, profile = route.service, route.profile
        _require_method(incoming.method, PLAIN_METHODS)
        caller = authenticate(deps, incoming, route.open_to_all)
        check_customer(service, caller, route.open_to_all)
        body = incoming.body(profile)
        query = strip_key_from_query(incoming.query, caller.key)
        target = f"{incoming.raw_path}?{query}" if query else incoming.raw_path
        request = PlainRequest(
            incoming.method, target, dict(forwarded_headers(incoming.headers, caller.key)), body
        )
        work = RoutingRequest(
            request_id=incoming.request_id,
            service=service.name,
            customer=caller.customer,
            model="",
            prompt_tokens=0,
            prompt_bytes=len(body),
            output_tokens=0,
            prefixes=(),
            priority=profile.priority,
        )
        is_repeatable = incoming.method in profile.idempotent_methods
        digest = body_digest(service.name, incoming.method, target, body)
        key = _read_idempotency_key(incoming, caller)
        claim_digest = request_digest(incoming.method, target, body) if key else ""
        slot, job = self._create_slot_and_job(
            incoming, caller, work, service, profile, is_repeatable, digest, key
        )
        with _ReleaseOnError(slot) as guard:
            idempotent_run = self._admit_and_claim(caller, job, slot, key, claim_digest)
            if isinstance(idempotent_run, Answer):
                return _send_answer(idempotent_run, incoming.environ, start_response)
            guard.idempotent_run = idempotent_run
            run = PlainRun(deps, job, request, slot.initial_back_end)
            answer = run.start()
            FIRST_BYTE_S.observe(deps.clock.now() - incoming.arrived_at, service=service.name)
            headers = [*answer.headers, ("X-Request-Id", incoming.request_id)]
            if answer.is_complete:
                if idempotent_run is not None:
                    idempotent_run.append(answer.first_bytes)
                    idempotent_run.finish(answer.status, headers)
                slot.release()
                REQUESTS.inc(service=service.name)
                if incoming.method == "HEAD" and answer.content_length is not None:
                    headers.append(("Content-Length", str(answer.content_length)))
                complete_answer = Answer(status_line(answer.status), headers, answer.first_bytes)
                return _send_answer(complete_answer, incoming.environ, start_response)
            if answer.content_length is not None:
                headers.append(("Content-Length", str(answer.content_length)))
            start_response(status_line(answer.status), headers)
            pieces = _stream_body(
                answer.first_bytes, run, service.name, idempotent_run, answer.status, headers
            )
            return ResponseBody(pieces, slot.release)

    def _create_slot_and_job(
        self,
        incoming: IncomingRequest,
        caller: Caller,
        work: RoutingRequest,
        service: Service,
        profile: Profile,
        is_repeatable: bool,
        digest: str,
        key: str | None,
    ) -> tuple[AdmissionSlot, Job]:
        deps = self._deps
        quarantine_s = deps.dispatcher.remaining_quarantine_s(digest)
        if quarantine_s is not None:
            raise RequestFailedError(Refusal(ErrorKind.QUARANTINED, retry_after_s=quarantine_s))
        deadline = incoming.arrived_at + profile.deadline_s
        has_disconnected = incoming.environ.get("waitress.client_disconnected", lambda: False)
        if key is None and has_disconnected():
            raise RequestFailedError(Refusal(ErrorKind.CALLER_GONE, run_state=RunState.NOT_RUN))
        running = RunningRequest(
            incoming.request_id, caller.digest, deadline, has_disconnected, key is not None
        )
        credential = deps.credentials.for_service(service.name)
        job = Job(
            running, work, service, profile, credential, is_repeatable, digest, incoming.arrived_at
        )
        return AdmissionSlot(deps, running), job

    def _admit_and_claim(
        self, caller: Caller, job: Job, slot: AdmissionSlot, key: str | None, claim_digest: str
    ) -> IdempotentRun | Answer | None:
        """Wait for admission and claim a request with a key, or return its stored answer.

        The claim is written after the wait, so that refused requests cause no writes to the store.
        """
        deps, work = self._deps, job.work
        if key is not None:
            stored = find_stored_answer(deps, caller.customer, key, claim_digest)
            if stored is not None:
                slot.release()
                return stored
        tokens = work.prompt_tokens + work.output_tokens
        slot.admit(
            Offer(work.request_id, work.service, work.customer, tokens, job.running.deadline),
            BackEndSelection(work, job.profile.cheap_back_ends == "interruptible", job.digest),
            caller,
        )
        if key is None:
            return None
        claimed = claim_request(deps, caller.customer, key, claim_digest, work.request_id)
        if isinstance(claimed, Answer):
            slot.release()
        return claimed


class _ReleaseOnError:
    """Releases the slot of a request and ends its claim if the block raises."""

    def __init__(self, slot: AdmissionSlot) -> None:
        self._slot = slot
        self.idempotent_run: IdempotentRun | None = None

    def __enter__(self) -> "_ReleaseOnError":
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: object) -> None:
        if kind is None:
            return
        if self.idempotent_run is not None:
            if isinstance(error, RequestFailedError):
                self.idempotent_run.fail(error.refusal)
            self.idempotent_run.close()
        self._slot.release()


def _stream_events(
    batches: Iterator[list[StreamEvent]],
    source: Iterator[list[StreamEvent]],
    run: ModelRun,
    slot: AdmissionSlot,
    work: RoutingRequest,
    idempotent_run: IdempotentRun | None,
    headers: Headers,
) -> Iterator[bytes]:
    """Yield the events of an answer; the events of one read form one piece."""
    pieces = (
        (b"".join([b"data: " + payload + b"\n\n" for payload, _ in batch]), batch[-1][0] == DONE)
        for batch in batches
    )
    try:
        try:
            for piece, is_last in pieces:
                _append_piece(idempotent_run, piece, is_last, 200, headers)
                yield piece
        except GeneratorExit:
            count_refusal(Refusal(ErrorKind.CALLER_GONE))
            if idempotent_run is not None:
                # Complete the answer, so that the caller's next attempt can have it.
                for piece, is_last in pieces:
                    _append_piece(idempotent_run, piece, is_last, 200, headers)
            raise
        REQUESTS.inc(service=work.service)
    except RequestFailedError as error:
        if idempotent_run is not None:
            idempotent_run.fail(error.refusal)
        yield refusal_event(error.refusal)
    finally:
        source.close()
        if idempotent_run is not None:
            idempotent_run.close()
        slot.tokens = run.tokens


def _stream_body(
    first_bytes: bytes,
    run: PlainRun,
    service: str,
    idempotent_run: IdempotentRun | None,
    status: int,
    headers: Headers,
) -> Iterator[bytes]:
    """Yield the pieces of an answer that is not buffered as a whole."""
    pieces = itertools.chain([first_bytes], run.read_remaining())
    try:
        for piece in pieces:
            _append_piece(idempotent_run, piece, False, status, headers)
            yield piece
        if idempotent_run is not None:
            idempotent_run.finish(status, headers)
        REQUESTS.inc(service=service)
    except RequestFailedError as error:
        # The head is already sent, so the missing end of the body signals the error.
        count_refusal(error.refusal)
        raise
    except GeneratorExit:
        count_refusal(Refusal(ErrorKind.CALLER_GONE))
        if idempotent_run is not None:
            for piece in pieces:
                idempotent_run.append(piece)
            idempotent_run.finish(status, headers)
        raise
    finally:
        run.close()
        if idempotent_run is not None:
            idempotent_run.close()


def _append_piece(
    idempotent_run: IdempotentRun | None, piece: bytes, is_last: bool, status: int, headers: Headers
) -> None:
    if idempotent_run is not None:
        idempotent_run.append(piece)
        if is_last:
            idempotent_run.finish(status, headers)


def _read_idempotency_key(incoming: IncomingRequest, caller: Caller) -> str | None:
    key = idempotency_key(incoming.method, incoming.headers)
    if key.is_error():
        raise RequestFailedError(key.error)
    if key.ok is not None and caller.customer == ANONYMOUS_CUSTOMER:
        # Other callers may choose the same key, and nothing tells them apart.
        detail = "On a path that is open to all, no Idempotency-Key is accepted."
        raise RequestFailedError(Refusal(ErrorKind.BAD_IDEMPOTENCY_KEY, detail))
    return key.ok


def _send_answer(
    answer: Answer, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    start_response(answer.status, answer.headers)
    return [b"" if environ["REQUEST_METHOD"] == "HEAD" else answer.body]


def _require_method(method: str, allowed: tuple[str, ...]) -> None:
    if method not in allowed:
        raise RequestFailedError(Refusal(ErrorKind.METHOD_NOT_ALLOWED))
