"""Tests of stale refusals that a faulty server writes again on a kept-alive connection."""

import contextlib
import http.client
import json
import time
from functools import partial

import pytest
from platform_answers import engine, send_refusal, send_whole, stream
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

NOT_RUN_STATUSES = (408, 421, 429, 503)
REFUSALS = {
    "with the earlier id": (503, [("Request-Id", "{earlier}"), ("Not-Executed", "1")]),
    "moved, with the earlier id": (421, [("Request-Id", "{earlier}"), ("Not-Executed", "1")]),
    "full, without id": (503, [("Not-Executed", "1")]),
    "too many, without id": (429, [("Not-Executed", "1")]),
    "unreadable, without id": (400, [("Not-Executed", "1")]),
    "moved, without id": (421, []),
    "another server's, without id": (421, [("Instance-Id", "w9")]),
    "failed, without id": (500, []),
}
SELF_REPORT_HEADERS = [("Retry-After", "5"), ("Server-Leaving", "1"), ("Server-Limit", "0.1")]


def format_refusal(status, headers, earlier):
    lines = [f"HTTP/1.1 {status} Refused", *(f"{name}: {value}" for name, value in headers)]
    return (
        "\r\n".join([*lines, "Content-Length: 7", "", "refused"]).format(earlier=earlier).encode()
    )


class StaleRefusalServer:
    """A server that runs each request, but on a kept-alive connection writes a refusal first.

    `then` is what follows the refusal: "answer", "nothing", or "end" for the connection's end.
    """

    def __init__(self, status, headers, then="answer", pieces=1):
        self._status, self._headers = status, headers
        self._then, self._pieces = then, pieces
        self.ran = []
        self.repeated = 0

    def __call__(self, handler):
        earlier = getattr(handler, "earlier", None)
        handler.earlier = handler.headers["Request-Id"]
        self.ran.append(handler.earlier)
        if earlier is None:
            send_whole(handler)
            return
        self.repeated += 1
        raw = format_refusal(self._status, self._headers, earlier)
        size = -(-len(raw) // self._pieces)
        for start in range(0, len(raw), size):
            handler.wfile.write(raw[start : start + size])
            handler.wfile.flush()
            time.sleep(0.01 if self._pieces > 1 else 0)
        handler.close_connection = self._then != "answer"
        if self._then == "answer":
            time.sleep(0.02)
            send_whole(handler)
        elif self._then == "nothing":
            handler.connection.settimeout(3.0)
            handler.connection.recv(1)


class TestRequests:
    @pytest.mark.parametrize(("then", "pieces"), [("answer", 1), ("answer", 4), ("end", 1)])
    def test_stale_refusal_does_not_set_the_run_state(self, world, then, pieces):
        workers = [world.worker("w1"), world.worker("w2")]
        relay = world.start_relay()
        for form, (status, headers) in REFUSALS.items():
            usual = StaleRefusalServer(status, headers, then, pieces)
            for worker in workers:
                worker.default_answer = usual
            answers = {}
            for index in range(6):
                request_id = f"{form}-{index}".replace(" ", "-").replace(",", "")
                answers[request_id] = Caller(relay).ask("/once/x", Request_Id=request_id)
            assert usual.repeated, form
            assert len(usual.ran) == len(set(usual.ran)), f"{form}: run twice"
            for request_id, (answered, seen, _) in answers.items():
                description = f"{form}: {request_id} got status {answered}"
                assert request_id in usual.ran, description
                assert answered == 200 or (then == "end" and answered == 502), description
                assert seen.get("x-run-state") in (None, "unknown"), description

    def test_run_state_is_unknown_after_only_a_stale_refusal(self, world):
        usual = StaleRefusalServer(503, [("Not-Executed", "1")], then="nothing")
        world.worker("w1", default_answer=usual)
        world.worker("w2", default_answer=usual)
        relay = world.start_relay()
        for index in range(4):
            status, headers, _ = Caller(relay).ask("/once/x", Deadline_Ms="500")
            assert status == 200 or headers["x-run-state"] == "unknown", index
            assert status not in NOT_RUN_STATUSES
        assert usual.repeated and len(usual.ran) == len(set(usual.ran)) == 4

    def test_repeatable_request_is_served_despite_a_stale_refusal(self, world):
        usual = StaleRefusalServer(503, [("Not-Executed", "1")])
        world.worker("w1", default_answer=usual)
        relay = world.start_relay()
        assert {Caller(relay).ask("/safe/x")[0] for _ in range(4)} == {200}
        assert usual.repeated

    def test_refusal_without_id_on_a_new_connection_belongs_to_the_request(self, world):
        def refused(handler):
            handler.close_connection = True
            handler.respond(503, headers=[("Not-Executed", "1")])

        world.worker("w1", default_answer=refused)
        status, headers, _ = Caller(world.start_relay()).ask("/once/x")
        assert (status, headers["x-run-state"]) == (503, "not-run")


def make_raw_refusal(status=503, more=("Not-Executed: 1", "Content-Length: 7"), body=b"refused"):
    return "\r\n".join([f"HTTP/1.1 {status} Refused", *more, "", ""]).encode() + body


NOT_RUN = "Not-Executed: 1"
# Framings of stale refusals other than a complete one with a Content-Length.
FRAMINGS = {
    "in chunks": make_raw_refusal(
        more=[NOT_RUN, "Transfer-Encoding: chunked"], body=b"2\r\nno\r\n0\r\n\r\n"
    ),
    "to the end": make_raw_refusal(more=[NOT_RUN]),
    "that closes": make_raw_refusal(more=[NOT_RUN, "Connection: close", "Content-Length: 7"]),
    "shorter than told": make_raw_refusal(more=[NOT_RUN, "Content-Length: 60"]),
    "longer than told": make_raw_refusal(more=[NOT_RUN, "Content-Length: 3"]),
    "three at once": make_raw_refusal()
    + make_raw_refusal(429)
    + make_raw_refusal(421, ["Content-Length: 7"]),
    "after interim answers": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
    + make_raw_refusal(),
    "as a success": make_raw_refusal(200) + make_raw_refusal(204, [NOT_RUN], b""),
}


class TestFramings:
    """Stale refusals before, after and in the middle of answers, by plain servers and engines."""

    def ask_each(self, world, path, acts):
        """Ask for each form on a kept-alive connection; no answer may claim a false run state."""
        engines = path == "/ask/x"
        service, stage = ("quotes", {"Stage": "decode"}) if engines else ("orders", {})
        worker, ran = world.worker("w1", service, **stage), []
        relay = world.start_relay()
        for form, act in acts.items():

            used = []

            def usual(handler, act=act, used=used):
                ran.append(handler.headers["Request-Id"])
                kept, handler.kept = getattr(handler, "kept", False), True
                usual_answer = stream() if engines else send_whole
                used.append(kept)
                act(handler, usual_answer) if kept else usual_answer(handler)

            worker.default_answer = usual
            for index in range(4):
                request_id = f"{form}-{index}".replace(" ", "-")
                caller = Caller(relay)
                caller.send(path, Request_Id=request_id, **PROMPT_HEADERS)
                found = caller.connection.getresponse()
                assert found.status in (200, 502), f"{request_id}: {found.status}"
                assert found.headers.get("x-run-state") in (None, "unknown"), request_id
                with contextlib.suppress(http.client.HTTPException):
                    found.read()
                wait_until(partial(self.has_ended, relay, request_id), "the connection is idle")
                caller.connection.close()
                assert ran.count(request_id) == 1, request_id
            assert any(used), form

    @staticmethod
    def has_ended(relay, request_id):
        lines = relay.find_log_lines("request_served") + relay.find_log_lines("request_lost")
        return any(line["request"] == request_id for line in lines)

    @pytest.mark.parametrize("path", ["/once/x", "/ask/x"])
    def test_stale_refusal_of_any_framing_does_not_set_the_run_state(self, world, path):
        def before(refused):
            def act(handler, usual_answer):
                handler.wfile.write(refused)
                usual_answer(handler)

            return act

        self.ask_each(world, path, {form: before(raw) for form, raw in FRAMINGS.items()})

    @pytest.mark.parametrize("path", ["/once/x", "/ask/x"])
    def test_refusal_after_or_in_the_answer_does_not_set_the_run_state(self, world, path):
        def after(delay_s, named=False):
            def act(handler, usual_answer):
                usual_answer(handler)
                handler.wfile.flush()
                time.sleep(delay_s)
                own = [f"Request-Id: {handler.headers['Request-Id']}"] if named else []
                handler.wfile.write(make_raw_refusal(more=[NOT_RUN, "Content-Length: 7", *own]))

            return act

        def inside(handler, usual_answer):
            handler.close_connection = True
            request_id = handler.headers["Request-Id"]
            own = f"Request-Id: {request_id}\r\nResponse-Signature: s.{request_id}\r\n"
            head = f"HTTP/1.1 200 OK\r\n{own}Content-Length: 900\r\n\r\nid: 1\ndata: a\n\n"
            handler.wfile.write(head.encode() + make_raw_refusal())

        acts = {
            "at once": after(0.0),
            "at once, named": after(0.0, named=True),
            "while idle": after(0.05),
            "while idle, named": after(0.05, named=True),
            "inside": inside,
        }
        self.ask_each(world, path, acts)


class TestStatuses:
    @pytest.mark.parametrize("path", ["/once/x", "/ask/x"])
    def test_status_that_implies_not_run_needs_the_servers_header(self, world, path):
        """Guards against reporting a request as not run although a server ran it."""
        worker = world.worker("w1", "quotes" if path == "/ask/x" else "orders", Stage="decode")
        relay, wrong = world.start_relay(), {}
        for status in NOT_RUN_STATUSES:
            worker.default_answer = lambda handler, status=status: send_whole(handler, status)
            answered, headers, _ = Caller(relay).ask(path, **PROMPT_HEADERS)
            if status != 421 and (answered, headers.get("x-run-state")) != (502, "unknown"):
                wrong[status] = answered, headers
            if "response-signature" in headers:
                wrong[status] = answered, headers
        assert not wrong

    def test_other_failures_are_passed_on_unchanged(self, world):
        worker = world.worker("w1")
        relay = world.start_relay()
        for status in (400, 404, 409, 500, 504):
            worker.default_answer = lambda handler, status=status: send_whole(handler, status)
            answered, headers, body = Caller(relay).ask("/once/x")
            assert (answered, body) == (status, b"done") and "response-signature" in headers


class TestSelfReports:
    @pytest.mark.parametrize("named", [[], [("Request-Id", "{earlier}")]])
    def test_self_report_of_a_stale_refusal_is_ignored(self, world, named):
        usual = StaleRefusalServer(503, [*named, ("Not-Executed", "1"), *SELF_REPORT_HEADERS])
        world.worker("w1", default_answer=usual)
        relay = world.start_relay()
        assert [Caller(relay).ask("/once/x")[0] for _ in range(4)] == [200] * 4
        assert usual.repeated
        wait_until(lambda: relay.find_log_lines("answer_skipped"), "the refusal is logged")
        for event in ("back_end_leaving", "back_end_full", "back_end_limited"):
            assert not relay.find_log_lines(event)


class StaleReader:
    """An engine that reads prompts, and on a kept-alive connection repeats its last answer."""

    def __init__(self, before_release=b""):
        self._before_release = before_release
        self.read = 0
        self.repeated = 0

    def __call__(self, handler):
        if handler.command == "DELETE":
            if getattr(handler, "earlier", None):
                self.repeated += bool(self._before_release)
                handler.wfile.write(self._before_release)
            handler.respond(200)
            return
        if getattr(handler, "earlier", None) and not self._before_release:
            self.repeated += 1
            handler.wfile.write(handler.earlier)
            handler.wfile.flush()
        self.read += 1
        body = json.dumps({"Handle": f"h{self.read}", "Tokens": 10, "Version": 1})
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {handler.headers['Request-Id']}\r\n"
        handler.earlier = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        handler.wfile.write(handler.earlier)


class TestPromptReaders:
    def test_second_reading_does_not_get_the_copy_of_the_first(self, world):
        """Both answers have the same request id, and the first copy has already been released."""
        route = {
            "Name": "long",
            "Prefix": "/long/",
            "RouteType": "streaming",
            "Service": "quotes",
            "Resumable": True,
            "MaxAttempts": 5,
        }
        world.extra_settings = "[retry]\nslack = 1000\n"
        world.store.put("op", "config", config(2, [route]))
        reader, takers = StaleReader(), []

        def refuse_the_first(handler):
            takers.append(handler.headers["Kv-Source"].rpartition("/")[2])
            (send_refusal if len(takers) == 1 else engine)(handler)

        world.worker("p1", "quotes", default_answer=reader, Stage="prefill")
        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=refuse_the_first, Stage="decode")
        status, _, body = Caller(world.start_relay()).ask("/long/x", **PROMPT_HEADERS)
        assert (status, body.count(b"data:")) == (200, 5)
        assert reader.read == 2 and takers == ["h1", "h2"]

    def test_self_report_before_the_answer_to_a_release_is_ignored(self, world):
        old = format_refusal(
            503,
            [
                ("Request-Id", "old"),
                ("Not-Executed", "1"),
                SELF_REPORT_HEADERS[0],
                SELF_REPORT_HEADERS[2],
            ],
            "",
        )
        reader = StaleReader(before_release=old)
        reading = world.worker("p1", "quotes", default_answer=reader, Stage="prefill")
        world.worker("d1", "quotes", default_answer=send_refusal, Stage="decode")
        relay = world.start_relay()
        for _ in range(3):
            Caller(relay).ask("/ask/x", **PROMPT_HEADERS)
        wait_until(lambda: len(reading.requests("DELETE")) == reader.read == 3, "all are released")
        assert reader.repeated
        for event in ("back_end_full", "back_end_limited"):
            assert not relay.find_log_lines(event)
