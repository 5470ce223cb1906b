"""Thin layer over waitress: requests, answers, and dropped or silent connections."""

import contextlib
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

import waitress
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.task import WSGITask

_CHANNEL_KEY = "laburnumreel_standins.channel"
# KV imports have the largest bodies.
MAX_BODY_BYTES = 256 * 1024 * 1024
# With the default switch interval of 5 ms, the threads of the streams wait for each other on the
# global interpreter lock, and the gaps between tokens grow.
SWITCH_INTERVAL_S = 0.0005


class BadRequestError(Exception):
    """Raised for a malformed request, which is answered with status 400."""


class DropConnectionError(Exception):
    """Raised to close the connection before the answer or in the middle of it."""


class Channel(HTTPChannel):
    """Connection that can be dropped or silenced. A silent one stays open but passes no bytes."""

    silent = False

    def readable(self) -> bool:
        return not self.silent and super().readable()

    def writable(self) -> bool:
        return not self.silent and bool(super().writable())

    def send(self, data: bytes, do_close: bool = True) -> int:
        return 0 if self.silent else super().send(data, do_close=do_close)

    def drop(self) -> None:
        """Shut down both directions of the connection. Bytes that were sent still arrive."""
        with contextlib.suppress(OSError, AttributeError):
            self.socket.shutdown(socket.SHUT_RDWR)


class _ChannelTask(WSGITask):
    def get_environment(self) -> dict[str, Any]:
        environ = super().get_environment()
        environ[_CHANNEL_KEY] = self.channel
        return environ


Channel.task_class = _ChannelTask


class Request(NamedTuple):
    """HTTP request. `segments` are the decoded parts of the path, `target` is the raw target."""

    method: str
    target: str
    path: str
    segments: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    channel: Channel

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object. Raises BadRequestError if it is not one."""
        try:
            value = json.loads(self.body)
        except ValueError as error:
            raise BadRequestError(f"the body is not JSON: {error}") from error
        if not isinstance(value, dict):
            raise BadRequestError("the body is not a JSON object")
        return value

    def get_integer(self, name: str, default: int) -> int:
        """Return an integer parameter of the query or, if it has none, of the headers.

        Raises BadRequestError if the value is not an integer.
        """
        raw = self.query.get(name, self.headers.get(name, str(default)))
        if not raw.lstrip("-").isdecimal():
            raise BadRequestError(f"{name} is not a whole number")
        return int(raw)


class Answer(NamedTuple):
    """HTTP answer. A body that is an iterable is sent in chunks as they are produced."""

    status: int
    body: bytes | Iterable[bytes]
    headers: dict[str, str] = {}


class Service(Protocol):
    """Stand-in behind a `Server`. `answer` is called by several threads."""

    def answer(self, request: Request) -> Answer: ...


def json_answer(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Answer:
    """Return an answer with a JSON body."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return Answer(status, json.dumps(value).encode(), all_headers)


def error_answer(status: int, message: str, headers: dict[str, str] | None = None) -> Answer:
    """Return an answer with an error body in the format of the OpenAI API."""
    error_type = "invalid_request_error" if status < 500 else "server_error"
    error = {"message": message, "type": error_type, "code": None, "param": None}
    return json_answer({"error": error}, status, headers)


def sleep_if_positive(seconds: float) -> None:
    """Sleep, unless `seconds` is 0.

    Even a sleep of 0 s releases the global interpreter lock, which slows down busy stand-ins.
    """
    if seconds > 0:
        time.sleep(seconds)


class Application:
    """WSGI application that calls a service."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        request = _build_request(environ)
        try:
            answer = self._service.answer(request)
        except (BadRequestError, KeyError, TypeError, ValueError) as error:
            answer = error_answer(400, repr(error))
        except DropConnectionError as error:
            request.channel.drop()
            raise ClientDisconnected from error
        status = f"{answer.status} {HTTPStatus(answer.status).phrase}"
        headers = dict(answer.headers)
        if isinstance(answer.body, bytes):
            headers.setdefault("Content-Length", str(len(answer.body)))
            start_response(status, list(headers.items()))
            return [answer.body]
        start_response(status, list(headers.items()))
        return _stream_body(answer.body, request.channel)


class Server:
    """Waitress server for a service."""

    def __init__(self, service: Service, host: str, port: int, threads: int) -> None:
        self._server = waitress.create_server(
            Application(service),
            host=host,
            port=port,
            threads=threads,
            ident="standin",
            backlog=1024,
            connection_limit=4096,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            max_request_body_size=MAX_BODY_BYTES,
        )
        self._server.channel_class = Channel

    @property
    def port(self) -> int:
        return int(self._server.effective_port)

    def run(self) -> None:
        """Serve until the process ends."""
        self._server.run()


def silence_others(kept: Channel) -> int:
    """Silence all connections of the server of `kept`, except `kept`, and return their number."""
    others = [
        channel for channel in list(kept.server.active_channels.values()) if channel is not kept
    ]
    for channel in others:
        channel.silent = True
    return len(others)


def run_until_terminated(service: Service, host: str, port: int, threads: int) -> None:
    """Serve until SIGTERM or SIGINT. Both end the process at once, with exit code 0."""
    # Stand-ins store nothing on disk, so they need no clean shutdown. The shutdown of waitress
    # would wait for running streams.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: os._exit(0))
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    Server(service, host, port, threads).run()


def _build_request(environ: dict[str, Any]) -> Request:
    target = urlsplit(environ["REQUEST_URI"])
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return Request(
        environ["REQUEST_METHOD"],
        environ["REQUEST_URI"],
        target.path,
        tuple(unquote(part) for part in target.path.split("/")[1:]),
        dict(parse_qsl(target.query, keep_blank_values=True)),
        headers,
        environ["wsgi.input"].read(),
        environ[_CHANNEL_KEY],
    )


def _stream_body(body: Iterable[bytes], channel: Channel) -> Iterable[bytes]:
    try:
        yield from body
    except DropConnectionError as error:
        channel.drop()
        raise ClientDisconnected from error
