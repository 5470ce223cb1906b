"""The WSGI application towards callers."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from laburnumreel.coordination import Offer, Work, prompt_prefixes
from laburnumreel.core import Log
from laburnumreel.protocol import (
    DONE,
    Answer,
    AnswerBuilder,
    ModelRequest,
    count_refusal,
    forwarded_headers,
    json_answer,
    models_body,
    new_request_id,
    refusal_answer,
    refusal_event,
    status_line,
    strip_query,
)
from laburnumreel.serving._attempts import Job, RequestFailedError
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
from laburnumreel.serving._events import REQUEST_FAILED
from laburnumreel.serving._lifecycle import Body, Place
from laburnumreel.serving._metrics import FIRST_BYTE_S, REQUESTS
from laburnumreel.serving._model import Event, ModelRun
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._plain import PlainRequest, PlainRun
from laburnumreel.serving._registry import Running
from laburnumreel.state import ErrorKind, Profile, Refusal, Service

_log = Log("serving.application")

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
        request, service, profile = model_request(arrived, caller, chat)
        work = Work(
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
        place, job = self._admit(arrived, caller, work, service, profile, repeatable, digest)
        with _ReleaseOnError(place):
            run = ModelRun(self._parts, job, request)
            if not request.stream:
                answer = self._collect(run, request, arrived, place)
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
            return Body(_stream(itertools.chain([first], events), events, run, place, work), place)

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
        query = strip_query(arrived.query, caller.key)
        target = f"{arrived.raw_path}?{query}" if query else arrived.raw_path
        request = PlainRequest(
            arrived.method, target, dict(forwarded_headers(arrived.headers, caller.key)), body
        )
        work = Work(
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
        place, job = self._admit(arrived, caller, work, service, profile, repeatable, digest)
        with _ReleaseOnError(place):
            run = PlainRun(parts, job, request)
            answer = run.start()
            FIRST_BYTE_S.observe(parts.clock.now() - arrived.arrived_at, service=service.name)
            headers = [*answer.headers, ("X-Request-Id", arrived.request_id)]
            if answer.complete:
                place.release()
                REQUESTS.inc(service=service.name)
                if arrived.method == "HEAD" and answer.length is not None:
                    headers.append(("Content-Length", str(answer.length)))
                whole = Answer(status_line(answer.status), headers, answer.first)
                return _whole(whole, arrived.environ, start_response)
            if answer.length is not None:
                headers.append(("Content-Length", str(answer.length)))
            start_response(status_line(answer.status), headers)
            return Body(_pass_through(answer.first, run, service.name), place)

    def _admit(
        self,
        arrived: Arrived,
        caller: Caller,
        work: Work,
        service: Service,
        profile: Profile,
        repeatable: bool,
        digest: str,
    ) -> tuple[Place, Job]:
        parts = self._parts
        held_s = parts.dispatcher.held_for(digest)
        if held_s is not None:
            raise RequestFailedError(Refusal(ErrorKind.QUARANTINED, retry_after_s=held_s))
        deadline = arrived.arrived_at + profile.deadline_s
        gone = arrived.environ.get("waitress.client_disconnected", lambda: False)
        running = Running(arrived.request_id, caller.digest, deadline, gone)
        place = Place(parts, running)
        with _ReleaseOnError(place):
            tokens = work.prompt_tokens + work.output_tokens
            offer = Offer(arrived.request_id, service.name, caller.customer, tokens, deadline)
            place.admit(offer, caller)
        credential = parts.credentials.of(service.name)
        job = Job(
            running, work, service, profile, credential, repeatable, digest, arrived.arrived_at
        )
        return place, job


class _ReleaseOnError:
    """Gives a request's place back where the block fails."""

    def __init__(self, place: Place) -> None:
        self._place = place

    def __enter__(self) -> None:
        return

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: object) -> None:
        if kind is not None:
            self._place.release()


def _stream(
    batches: Iterable[list[Event]],
    source: Iterator[list[Event]],
    run: ModelRun,
    place: Place,
    work: Work,
) -> Iterator[bytes]:
    try:
        for batch in batches:
            yield b"".join([b"data: " + payload + b"\n\n" for payload, _ in batch])
        REQUESTS.inc(service=work.service)
    except RequestFailedError as error:
        yield refusal_event(error.refusal)
    except GeneratorExit:
        count_refusal(Refusal(ErrorKind.CALLER_GONE))
        raise
    finally:
        source.close()
        place.tokens = run.tokens


def _pass_through(first: bytes, run: PlainRun, service: str) -> Iterator[bytes]:
    try:
        yield first
        yield from run.rest()
        REQUESTS.inc(service=service)
    except RequestFailedError as error:
        # The head is out: the caller learns of it by the missing end.
        count_refusal(error.refusal)
        raise
    except GeneratorExit:
        count_refusal(Refusal(ErrorKind.CALLER_GONE))
        raise


def _whole(
    answer: Answer, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    start_response(answer.status, answer.headers)
    return [b"" if environ["REQUEST_METHOD"] == "HEAD" else answer.body]


def _allow(method: str, allowed: tuple[str, ...]) -> None:
    if method not in allowed:
        raise RequestFailedError(Refusal(ErrorKind.METHOD_NOT_ALLOWED))
