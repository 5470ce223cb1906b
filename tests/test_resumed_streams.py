"""Tests of streams that break off, and of the next server's answers."""

import http.client
import socket

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    close_unanswered,
    echo,
    event,
    send_refusal,
    stream,
)
from platform_config import config
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

WHOLE = b"".join(event(number) for number in range(1, 6))
BEGUN = event(1) + event(2)
REST = event(3) + event(4) + event(5)
EVENTS, JSON, TEXT = "text/event-stream", "application/json", "text/plain"


def make_answer(status, body, kind, *headers):
    """Return a handler that answers with a length and the server's signature."""

    def respond(handler):
        signature = [("Response-Signature", f"s.{handler.headers.get('Request-Id')}")]
        kinds = [("Content-Type", kind)] if kind else []
        handler.respond(status, body, [*echo(handler), *signature, *kinds, *headers])

    return respond


def chunks(*pieces):
    return b"".join(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in pieces)


WHOLE_CHUNKS = chunks(REST) + b"0\r\n\r\n"
OK, AS_EVENTS, CHUNKED = "HTTP/1.1 200 OK", f"Content-Type: {EVENTS}", "Transfer-Encoding: chunked"
FAILED_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n"


def make_stream(*pieces):
    """Return a handler that streams the pieces and ends the stream properly."""

    def respond(handler):
        begin_stream(handler)
        for piece in pieces:
            chunk(handler, piece)
        handler.wfile.write(b"0\r\n\r\n")

    return respond


def make_raw_answer(*lines, pieces=(WHOLE_CHUNKS,)):
    """Return a handler that writes lines and pieces unchanged and then closes the connection."""

    def respond(handler):
        request_id = handler.headers["Request-Id"]
        signature = (f"Request-Id: {request_id}", f"Response-Signature: s.{request_id}")
        head = "\r\n".join([lines[0], *signature, *lines[1:], "", ""]).encode()
        for piece in (head, *pieces):
            handler.wfile.write(piece)
            handler.wfile.flush()
        close_unanswered(handler)

    return respond


STATUSES = (400, 401, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504)
FAILURES = {
    **{f"{status} in JSON": make_answer(status, b'{"Error":"x"}\n\n', JSON) for status in STATUSES},
    **{f"{status} as events": make_answer(status, REST, EVENTS) for status in STATUSES},
    **{
        f"{status}, not executed": make_answer(status, b"refused\n\n", TEXT, ("Not-Executed", "1"))
        for status in STATUSES
    },
}
INCOMPATIBLE_HEADS = {
    "200 in JSON": make_answer(200, b'{"Error":"x"}\n\n', JSON),
    "200 in text": make_answer(200, b"out of\n\nmemory\n\n", TEXT),
    "200 in text that looks like events": make_answer(200, REST, TEXT),
    "200 without a type": make_answer(200, REST, None),
    "200 with an encoding": make_answer(200, REST, EVENTS, ("Content-Encoding", "br")),
    "201 as events": make_answer(201, REST, EVENTS),
    "204": make_answer(204, b"", EVENTS),
    "206 as events": make_answer(206, REST, EVENTS),
    "302 as events": make_answer(302, REST, EVENTS, ("Location", "/talk/x")),
    "101": make_raw_answer("HTTP/1.1 101 Switching Protocols", AS_EVENTS, pieces=[REST]),
    "102, then 503": make_raw_answer(
        "HTTP/1.1 102 Processing", "", "HTTP/1.1 503 Busy", "Content-Length: 0"
    ),
    "of two types": make_raw_answer(OK, "Content-Type: text/plain", AS_EVENTS, CHUNKED),
    # A truncation of such an answer could not be detected.
    "up to the connection's end": make_raw_answer(
        OK, AS_EVENTS, "Connection: close", pieces=[event(3)]
    ),
    "of HTTP/1.0": make_raw_answer("HTTP/1.0 200 OK", AS_EVENTS, pieces=[event(3) + event(4)]),
    "of more than chunks": make_raw_answer(OK, AS_EVENTS, "Transfer-Encoding: gzip, chunked"),
}
WRONG_CONTINUATIONS = {
    "nothing": make_stream(),
    "a comment alone": make_stream(b": still here\n\n"),
    "from 1 again": make_stream(WHOLE),
    "the last event again": make_stream(event(2), REST),
    "an event is missing": make_stream(event(4), event(5)),
    "an event is missing later": make_stream(event(3), event(5)),
    "an event twice": make_stream(event(3), event(3), event(4), event(5)),
    "the rest of an event with data": make_stream(b"data: ken2\n\n", REST),
    "the rest of an id": make_stream(b"2\ndata: token2\n\n", REST),
    "an event without id": make_stream(b"data: token3\n\n", event(4), event(5)),
    "an id that is no number": make_stream(b"id: x\ndata: token3\n\n", event(4), event(5)),
    "text between events": make_stream(b"out of memory\n\n"),
    "text after an event": make_stream(event(3), b"out of memory\n\n", event(4), event(5)),
    "an error's head after an event": make_stream(event(3), FAILED_HEAD),
    "an error's head and body": make_stream(event(3), FAILED_HEAD + b"bad\n\n"),
    "an error's head that is no chunk": make_raw_answer(
        OK, AS_EVENTS, CHUNKED, pieces=[chunks(event(3)), FAILED_HEAD, b"bad\n\n"]
    ),
    "an error event at the end": make_stream(event(3), b"event: error\ndata: out of memory\n\n"),
    "an error event later": make_stream(event(3), b'data: {"error": 1}\n\n', event(4), event(5)),
    "an event with two ids": make_stream(b"id: 3\nid: 9\ndata: token3\n\n", event(4), event(5)),
    "backwards": make_stream(event(5), event(4), event(3)),
    "trailers cut": make_raw_answer(
        OK, AS_EVENTS, CHUNKED, pieces=[WHOLE_CHUNKS[:-2], b"X-Error: out of mem"]
    ),
    "without the last piece": make_raw_answer(OK, AS_EVENTS, CHUNKED, pieces=[chunks(REST)]),
    "shorter than its length": make_raw_answer(
        OK, AS_EVENTS, f"Content-Length: {len(WHOLE)}", pieces=[REST]
    ),
    "longer than its length": make_raw_answer(
        OK, AS_EVENTS, f"Content-Length: {len(REST) - 9}", pieces=[REST]
    ),
}
# Correct continuations, whatever part came first.
CONTINUATIONS = {
    "the rest": make_stream(REST),
    "bit by bit": make_stream(*(bytes([byte]) for byte in REST)),
    "a comment first": make_stream(b": hello\n\n", REST),
    "the end of an event that has no data": make_stream(b"ken2\n\n", REST),
    "with a charset": make_answer(200, REST, "text/event-stream; charset=utf-8"),
    "with trailers": make_raw_answer(
        OK, AS_EVENTS, CHUNKED, pieces=[WHOLE_CHUNKS[:-2], b"X-A: b\r\n\r\n"]
    ),
    "in single bytes, the head too": make_raw_answer(
        OK, AS_EVENTS, CHUNKED, pieces=[bytes([byte]) for byte in WHOLE_CHUNKS]
    ),
}


class BreakingServers:
    """Servers of which the first breaks off after two events; the next ones answer by `then`."""

    def __init__(self, *then, first=None):
        self._first = first or stream(break_after=2)
        self._then = then
        self.sends = {}

    def __call__(self, handler):
        sends = self.sends.setdefault(handler.headers["Request-Id"], [])
        sends.append(handler.headers.get("Last-Event-Id") or handler.headers.get("last-event-id"))
        (self._first, *self._then)[min(len(sends), 1 + len(self._then)) - 1](handler)


def read_answer(caller):
    """Return the bytes of an answer, and whether it looked complete."""
    found = caller.connection.getresponse()
    assert found.status == 200
    try:
        return found.read(), True
    except http.client.IncompleteRead as error:
        return error.partial, False
    finally:
        caller.connection.close()


def ask_each(world, forms, path="/talk/x", more=()):
    """Yield the caller's answer for each form in which the second server answers."""
    world.extra_settings = "[retry]\nslack = 1000\n"
    workers = [world.worker(f"d{number}", "quotes", Stage="decode") for number in (1, 2, 3)]
    relay = world.start_relay()
    for number, (form, respond) in enumerate(forms.items()):
        servers = BreakingServers(respond, *more)
        for worker in workers:
            worker.default_answer = servers
        caller = Caller(relay)
        caller.send(path, Request_Id=f"r{number}", **PROMPT_HEADERS)
        got = read_answer(caller)
        asked = servers.sends[f"r{number}"]
        assert asked[:2] == [None, "2"], f"{form}: {asked}"
        yield form, asked, got


class TestNextServer:
    @pytest.mark.parametrize("forms", [FAILURES, INCOMPATIBLE_HEADS, WRONG_CONTINUATIONS])
    def test_wrong_answer_does_not_reach_the_caller_and_the_stream_is_incomplete(
        self, world, forms
    ):
        """Guards against error text, or parts of another run, in the middle of a stream."""
        violations = {}
        for form, _, (body, complete) in ask_each(world, forms):
            if complete or not WHOLE.startswith(body) or not body.startswith(BEGUN):
                violations[form] = (body, complete)
        assert not violations

    def test_correct_continuation_is_passed_on(self, world):
        for form, _, (body, complete) in ask_each(world, CONTINUATIONS):
            progress = body.replace(b": hello\n\n", b"")
            assert (progress, complete) == (WHOLE, True), form

    def test_stream_resumes_at_a_third_server_after_a_wrong_second_answer(self, world):
        route = {
            "Name": "long",
            "Prefix": "/long/",
            "RouteType": "streaming",
            "Service": "quotes",
            "Resumable": True,
            "MaxAttempts": 3,
        }
        world.store.put("op", "config", config(2, [route]))
        forms = {
            "503": FAILURES["503 in JSON"],
            "200 in text": INCOMPATIBLE_HEADS["200 in text"],
            "nothing": WRONG_CONTINUATIONS["nothing"],
            "from 1 again": WRONG_CONTINUATIONS["from 1 again"],
            "refused": send_refusal,
            "lost": close_unanswered,
        }
        for form, asked, got in ask_each(world, forms, "/long/x", [stream()]):
            assert (got, asked) == ((WHOLE, True), [None, "2", "2"]), form


def make_cut_stream(tail, head=BEGUN):
    """Return a handler that sends two events in a chunk, then `tail`, and closes the connection."""

    def respond(handler):
        begin_stream(handler)
        chunk(handler, head)
        handler.wfile.write(tail)
        handler.wfile.flush()
        close_unanswered(handler)

    return respond


# Points at which the first server's answer may break, all before a complete last chunk.
CUTS = {
    "between chunks": b"",
    "in the length of a chunk": b"1",
    "in the length of a chunk, which looks like the last one": b"0",
    "in the length of a chunk with zeros before it": b"00",
    "after the length of a chunk, before its line's end": b"0\r",
    "in an extension": b"0;x",
    "after the line of a chunk": b"16\r\n",
    "in an event": b"16\r\nid: 3\nda",
    "after an event, in its chunk": b"20\r\nid: 3\ndata: token3\n\n",
    "before the end of a chunk": b"14\r\nid: 3\ndata: tok\n\n"[:-1],
    "in a length that is none": b"-1\r\nid: 3\ndata: token3\n\n",
    "in a length by another name": b"0x0\r\n\r\n",
}


class TestBreakPoints:
    def test_stream_resumes_after_its_last_whole_event(self, world):
        """Guards against mistaking the beginning of a chunk's length for the last chunk."""
        servers = {}
        world.extra_settings = "[retry]\nslack = 1000\n"
        workers = [world.worker(f"d{number}", "quotes", Stage="decode") for number in (1, 2)]
        relay = world.start_relay()
        violations = {}
        for number, (form, tail) in enumerate(CUTS.items()):
            servers = BreakingServers(stream(), first=make_cut_stream(tail))
            for worker in workers:
                worker.default_answer = servers
            caller = Caller(relay)
            caller.send("/talk/x", Request_Id=f"r{number}", **PROMPT_HEADERS)
            got = read_answer(caller)
            if got != (WHOLE, True):
                violations[form] = got
        assert not violations

    def test_lost_stream_does_not_look_complete(self, world):
        world.extra_settings = "[retry]\nslack = 1000\n"
        worker = world.worker("d1", "quotes", Stage="decode")
        relay = world.start_relay()
        violations = {}
        for form, tail in CUTS.items():
            worker.default_answer = make_cut_stream(tail)
            caller = Caller(relay)
            caller.send("/ask/x", **PROMPT_HEADERS)
            body, complete = read_answer(caller)
            if complete or not WHOLE.startswith(body):
                violations[form] = (body, complete)
        assert not violations


class TestCallersWithoutChunkedEncoding:
    """An HTTP/1.0 caller takes the end of the connection for the end of the answer."""

    def ask(self, relay, path, begun=lambda: None):
        headers = {"Host": "shop.example", "Request-Id": "r1", "Key": "key-a"}
        headers |= {name.replace("_", "-"): value for name, value in PROMPT_HEADERS.items()}
        lines = [f"POST {path} HTTP/1.0", *(f"{name}: {value}" for name, value in headers.items())]
        with socket.create_connection((relay.host, relay.port), 8.0) as sock:
            sock.sendall("\r\n".join([*lines, "Content-Length: 2", "", "{}"]).encode())
            answer = b""
            while data := sock.recv(65536):
                answer += data
                if BEGUN in answer:
                    begun()
            return answer.partition(b"\r\n\r\n")

    def test_broken_stream_is_reset(self, world):
        world.worker("d1", "quotes", default_answer=stream(break_after=2), Stage="decode")
        relay = world.start_relay()
        with pytest.raises(ConnectionResetError):
            self.ask(relay, "/ask/x")

    def test_stream_of_a_killed_relay_is_reset(self, world):
        world.worker("d1", "quotes", default_answer=stream(gap_s=0.3), Stage="decode")
        relay = world.start_relay()
        with pytest.raises(ConnectionResetError):
            self.ask(relay, "/ask/x", relay.process.kill)

    def test_whole_stream_ends_properly(self, world):
        world.worker("d1", "quotes", Stage="decode")
        head, _, body = self.ask(world.start_relay(), "/ask/x")
        assert head.startswith(b"HTTP/1.0 200") and body == WHOLE
