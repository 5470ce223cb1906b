"""The WSGI application towards callers."""

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
    refusal_answer,
    refusal_event,
    request_digest,
    status_line,
    strip_key_from_query,
)
from laburnumreel.serving._checks import (
    MODEL_PATHS,
    MODELS_PATH,
    PLAIN_METHODS,
    Arrived,
    Caller,
    body_digest,
    check_customer,
    identify,
    model_request,
)
from laburnumreel.serving._dispatcher import Wanted
from laburnumreel.serving._events import REQUEST_FAILED
from laburnumreel.serving._job import Job, RequestFailedError
from laburnumreel.serving._keyed import KeyedRun, claim, find
from laburnumreel.serving._lifecycle import Body, Place
from laburnumreel.serving._metrics import FIRST_BYTE_S, REQUESTS
from laburnumreel.serving._model import Event, ModelRun
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._plain import PlainRequest, PlainRun
from laburnumreel.serving._registry import Running
from laburnumreel.state import ErrorKind, Profile, Refusal, RunState, Service

_log = Log("serving.application")

Headers = list[tuple[str, str]]
StartResponse = Callable[..., Any]


class Application:
    """Checks, admits and serves requests, each on the thread that waitress gave it."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._stopping = False

    def stop_admitting(self) -> None:
        """Refuse new requests from now on; running ones go on."""
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
        return _whole(answer, environ, start_response)

    def _serve(
        self, environ: dict[str, Any], request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        parts = self._parts
        if self._stopping:
            raise RequestFailedError(Refusal(ErrorKind.STOPPING))
        if not parts.config.ready:
            raise RequestFailedError(Refusal(ErrorKind.NOT_READY))
        now = parts.clock.now()
        arrived = Arrived.from_environ(environ, request_id, parts.config.configuration, now)
        if arrived.path in MODEL_PATHS:
            _allow(arrived.method, ("POST",))
            caller = identify(parts, arrived)
            return self._serve_model(arrived, caller, start_response)
        if arrived.path == MODELS_PATH or arrived.path.startswith(MODELS_PATH + "/"):
            _allow(arrived.method, ("GET", "HEAD"))
            answer = self._models(arrived, identify(parts, arrived))
            return _whole(answer, environ, start_response)
        return self._serve_plain(arrived, start_response)

    def _models(self, arrived: Arrived, caller: Caller) -> Answer:
        models = [
            (model, service.name)
            for model, service in sorted(arrived.configuration.models.items())
            if service.serves(caller.customer)
        ]
        listed = models_body(models)
        name = arrived.path.removeprefix(MODELS_PATH).strip("/")
        if not name:
            return json_answer(listed, arrived.request_id)
        for model in listed["data"]:
            if model["id"] == name:
                return json_answer(model, arrived.request_id)
        raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_MODEL))

    def _serve_model(
        self, arrived: Arrived, caller: Caller, start_response: StartResponse
    ) -> Iterable[bytes]:
        chat = MODEL_PATHS[arrived.path]
        request, raw, service, profile = model_request(arrived, caller, chat)
        work = RoutingRequest(
            request_id=arrived.request_id,
            service=service.name,
            customer=caller.customer,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            prompt_bytes=len(request.prompt),
            output_tokens=request.output_tokens,
            prefixes=prompt_prefixes(request.prompt.decode("utf-8", "replace")),
            priority=profile.priority,
        )
        # The engine's position in a stream counts tokens of a single choice.
        repeatable = profile.resumable and request.choices == 1
        digest = body_digest(service.name, "POST", arrived.path, request.prompt)
        key = _idempotency_key(arrived)
        same = request_digest("POST", arrived.path, raw) if key else ""
        place, job = self._place(arrived, caller, work, service, profile, repeatable, digest, key)
        with _Guard(place) as guard:
            keyed = self._claim(caller, job, place, key, same)
            if isinstance(keyed, Answer):
                return _whole(keyed, arrived.environ, start_response)
            guard.keyed = keyed
            run = ModelRun(self._parts, job, request, place.first)
            if not request.stream:
                answer = self._collect(run, request, arrived, place)
                if keyed is not None:
                    keyed.keep(answer.body)
                    keyed.finish(200, answer.headers)
                REQUESTS.inc(service=service.name)
                return _whole(answer, arrived.environ, start_response)
            events = run.events()
            first = next(events)
            FIRST_BYTE_S.observe(self._parts.clock.now() - arrived.arrived_at, service=service.name)
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
                ("X-Request-Id", arrived.request_id),
            ]
            start_response("200 OK", headers)
            batches = itertools.chain([first], events)
            return Body(_stream(batches, events, run, place, work, keyed, headers), place.release)

    def _collect(
        self, run: ModelRun, request: ModelRequest, arrived: Arrived, place: Place
    ) -> Answer:
        builder = AnswerBuilder(request.chat)
        for events in run.events():
            for payload, chunk in events:
                if payload != DONE:
                    builder.add(chunk)
        place.tokens = run.tokens
        place.release()
        return json_answer(builder.answer(), arrived.request_id)

    def _serve_plain(self, arrived: Arrived, start_response: StartResponse) -> Iterable[bytes]:
        parts = self._parts
        route = arrived.configuration.route(arrived.path)
        if route is None:
            raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_ROUTE))
        service, profile = route.service, route.profile
        _allow(arrived.method, PLAIN_METHODS)
        caller = identify(parts, arrived, route.open_to_all)
        check_customer(service, caller, route.open_to_all)
        body = arrived.body(profile)
        query = strip_key_from_query(arrived.query, caller.key)
        target = f"{arrived.raw_path}?{query}" if query else arrived.raw_path
        request = PlainRequest(
            arrived.method, target, dict(forwarded_headers(arrived.headers, caller.key)), body
        )
        work = RoutingRequest(
            request_id=arrived.request_id,
            service=service.name,
            customer=caller.customer,
            model="",
            prompt_tokens=0,
            prompt_bytes=len(body),
            output_tokens=0,
            prefixes=(),
            priority=profile.priority,
        )
        repeatable = arrived.method in profile.idempotent_methods
        digest = body_digest(service.name, arrived.method, target, body)
        key = _idempotency_key(arrived)
        same = request_digest(arrived.method, target, body) if key else ""
        place, job = self._place(arrived, caller, work, service, profile, repeatable, digest, key)
        with _Guard(place) as guard:
            keyed = self._claim(caller, job, place, key, same)
            if isinstance(keyed, Answer):
                return _whole(keyed, arrived.environ, start_response)
            guard.keyed = keyed
            run = PlainRun(parts, job, request, place.first)
            answer = run.start()
            FIRST_BYTE_S.observe(parts.clock.now() - arrived.arrived_at, service=service.name)
            headers = [*answer.headers, ("X-Request-Id", arrived.request_id)]
            if answer.complete:
                if keyed is not None:
                    keyed.keep(answer.first)
                    keyed.finish(answer.status, headers)
                place.release()
                REQUESTS.inc(service=service.name)
                if arrived.method == "HEAD" and answer.length is not None:
                    headers.append(("Content-Length", str(answer.length)))
                whole = Answer(status_line(answer.status), headers, answer.first)
                return _whole(whole, arrived.environ, start_response)
            if answer.length is not None:
                headers.append(("Content-Length", str(answer.length)))
            start_response(status_line(answer.status), headers)
            pieces = _pass_through(answer.first, run, service.name, keyed, answer.status, headers)
            return Body(pieces, place.release)

    def _place(
        self,
        arrived: Arrived,
        caller: Caller,
        work: RoutingRequest,
        service: Service,
        profile: Profile,
        repeatable: bool,
        digest: str,
        key: str | None,
    ) -> tuple[Place, Job]:
        parts = self._parts
        held_s = parts.dispatcher.held_for(digest)
        if held_s is not None:
            raise RequestFailedError(Refusal(ErrorKind.QUARANTINED, retry_after_s=held_s))
        deadline = arrived.arrived_at + profile.deadline_s
        gone = arrived.environ.get("waitress.client_disconnected", lambda: False)
        if key is None and gone():
            raise RequestFailedError(Refusal(ErrorKind.CALLER_GONE, run_state=RunState.NOT_RUN))
        running = Running(arrived.request_id, caller.digest, deadline, gone, key is not None)
        credential = parts.credentials.of(service.name)
        job = Job(
            running, work, service, profile, credential, repeatable, digest, arrived.arrived_at
        )
        return Place(parts, running), job

    def _claim(
        self, caller: Caller, job: Job, place: Place, key: str | None, same: str
    ) -> KeyedRun | Answer | None:
        """Wait for admission and claim the request if it has a key; or return an earlier answer.

        The claim is written after the wait, so that refused requests cost the store no writes.
        """
        parts, work = self._parts, job.work
        if key is not None:
            stored = find(parts, caller.customer, key, same)
            if stored is not None:
                place.release()
                return stored
        tokens = work.prompt_tokens + work.output_tokens
        place.admit(
            Offer(work.request_id, work.service, work.customer, tokens, job.running.deadline),
            Wanted(work, job.profile.cheap_back_ends == "interruptible", job.digest),
            caller,
        )
        if key is None:
            return None
        claimed = claim(parts, caller.customer, key, same, work.request_id)
        if isinstance(claimed, Answer):
            place.release()
        return claimed


class _Guard:
    """Gives a request's place back, and ends its claim, where the block fails."""

    def __init__(self, place: Place) -> None:
        self._place = place
        self.keyed: KeyedRun | None = None

    def __enter__(self) -> "_Guard":
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: object) -> None:
        if kind is None:
            return
        if self.keyed is not None:
            if isinstance(error, RequestFailedError):
                self.keyed.fail(error.refusal)
            self.keyed.close()
        self._place.release()


def _stream(
    batches: Iterator[list[Event]],
    source: Iterator[list[Event]],
    run: ModelRun,
    place: Place,
    work: RoutingRequest,
    keyed: KeyedRun | None,
    headers: Headers,
) -> Iterator[bytes]:
    """Yield the events of an answer, those of one read together."""
    pieces = (
        (b"".join([b"data: " + payload + b"\n\n" for payload, _ in batch]), batch[-1][0] == DONE)
        for batch in batches
    )
    try:
        try:
            for piece, last in pieces:
                _keep(keyed, piece, last, 200, headers)
                yield piece
        except GeneratorExit:
            count_refusal(Refusal(ErrorKind.CALLER_GONE))
            if keyed is not None:
                # The answer is completed for the caller's next try.
                for piece, last in pieces:
                    _keep(keyed, piece, last, 200, headers)
            raise
        REQUESTS.inc(service=work.service)
    except RequestFailedError as error:
        if keyed is not None:
            keyed.fail(error.refusal)
        yield refusal_event(error.refusal)
    finally:
        source.close()
        if keyed is not None:
            keyed.close()
        place.tokens = run.tokens


def _pass_through(
    first: bytes, run: PlainRun, service: str, keyed: KeyedRun | None, status: int, headers: Headers
) -> Iterator[bytes]:
    """Yield the pieces of an answer that is too large to be held."""
    pieces = itertools.chain([first], run.rest())
    try:
        for piece in pieces:
            _keep(keyed, piece, False, status, headers)
            yield piece
        if keyed is not None:
            keyed.finish(status, headers)
        REQUESTS.inc(service=service)
    except RequestFailedError as error:
        # The head is out: the caller learns of it by the missing end.
        count_refusal(error.refusal)
        raise
    except GeneratorExit:
        count_refusal(Refusal(ErrorKind.CALLER_GONE))
        if keyed is not None:
            for piece in pieces:
                keyed.keep(piece)
            keyed.finish(status, headers)
        raise
    finally:
        run.close()
        if keyed is not None:
            keyed.close()


def _keep(keyed: KeyedRun | None, piece: bytes, last: bool, status: int, headers: Headers) -> None:
    if keyed is not None:
        keyed.keep(piece)
        if last:
            keyed.finish(status, headers)


def _idempotency_key(arrived: Arrived) -> str | None:
    key = idempotency_key(arrived.method, arrived.headers)
    if key.is_error():
        raise RequestFailedError(key.error)
    return key.ok


def _whole(
    answer: Answer, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    start_response(answer.status, answer.headers)
    return [b"" if environ["REQUEST_METHOD"] == "HEAD" else answer.body]


def _allow(method: str, allowed: tuple[str, ...]) -> None:
    if method not in allowed:
        raise RequestFailedError(Refusal(ErrorKind.METHOD_NOT_ALLOWED))
