"""Tests of backend servers that report a shutdown or that they are full, and of endless answers."""

import random
import time

import pytest
from laburnumreel_platform._workers import WorkerProtocol
from memory_load import endless_event
from platform_answers import begin_stream, chunk, echo, event, send_whole
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller
from relay_samples import listed

from laburnumreel.relay._requests import SelfReport
from laburnumreel.relay._self_reports import MAX_FULL_S, SelfReports


def leaving(handler):
    signature = f"s.{handler.headers.get('Request-Id')}"
    headers = [*echo(handler), ("Response-Signature", signature), ("Server-Leaving", "1")]
    handler.respond(200, b"done", headers)


def full(retry_after):
    def answer(handler):
        headers = [*echo(handler), ("Not-Executed", "1"), ("Retry-After", retry_after)]
        handler.respond(503, headers=headers)

    return answer


def endless(status, *headers):
    """Return an answer whose body continues until the caller closes, or 400 MB were sent."""

    def answer(handler):
        handler.close_connection = True
        handler.send_response_only(status)
        for name, value in (*echo(handler), ("Response-Signature", "s"), *headers):
            handler.send_header(name, value)
        handler.send_header("Content-Length", "99999999999")
        handler.end_headers()
        for _ in range(6400):
            handler.wfile.write(64 * 1024 * b"x")

    return answer


def comments_only(handler):
    """Send one event, and then comments for longer than any caller waits."""
    begin_stream(handler)
    chunk(handler, event(1))
    for _ in range(300):
        chunk(handler, b": still here\n\n")
        time.sleep(0.02)


class TestSelfReports:
    def test_report_of_one_incarnation_does_not_apply_to_the_next(self):
        reports, engine = SelfReports(), listed("b1", started_at_ms=5)
        reports.record_report(engine, SelfReport(leaving=True, full_s=2.0), 0.0, now=0.0)
        assert not reports.accepts_work(engine, now=0.1)
        assert reports.accepts_work(listed("b1", started_at_ms=6), now=0.1)

    def test_shutdown_report_lasts_as_long_as_the_entry(self):
        reports, engine = SelfReports(), listed("b1", started_at_ms=5)
        reports.record_report(engine, SelfReport(leaving=True), 0.0, now=0.0)
        for now in range(0, 2000, 100):
            reports.renew_listed([engine], now)
            reports.forget_old(now)
        assert not reports.accepts_work(engine, now=2000.0)
        assert reports.leaving([engine, listed("b2")]) == {"b1": 5}

    def test_peers_report_applies_to_that_incarnation_only(self):
        reports = SelfReports()
        reports.record_peer_leaving("b1", 5, now=0.0)
        assert not reports.accepts_work(listed("b1", started_at_ms=5), now=1.0)
        assert reports.accepts_work(listed("b1", started_at_ms=9), now=1.0)

    @pytest.mark.parametrize("asked_s", [0.0, 0.8, 5.0, 1e6])
    def test_full_server_gets_nothing_until_its_time_is_over(self, asked_s):
        """Simulates many hosts that got the same time from a full server at once."""
        rng, ends = random.Random(1), []
        engine = listed("b1", started_at_ms=5)
        for _ in range(60):
            reports = SelfReports()
            reports.record_report(engine, SelfReport(full_s=asked_s), rng.random(), now=0.0)
            rest_s = reports.seconds_until_accepting([engine], 0.0) or 0.0
            assert min(asked_s, MAX_FULL_S) <= rest_s <= 1.1 * asked_s + 1e-9 or asked_s == 0
            ends.append(rest_s)
        assert asked_s == 0 or max(ends) - min(ends) > 0.5 * min(0.1 * asked_s, 0.5)

    def test_later_shorter_time_does_not_replace_a_longer_one(self):
        reports, engine = SelfReports(), listed("b1")
        reports.record_report(engine, SelfReport(full_s=3.0), 0.0, now=0.0)
        reports.record_report(engine, SelfReport(full_s=0.1), 0.0, now=0.2)
        assert not reports.accepts_work(engine, now=2.9) and reports.accepts_work(engine, now=3.0)

    @pytest.mark.parametrize("text", ["-3", "soon", "", "nan", "inf", "1e400", "Fri, 04 Dec 2026"])
    def test_invalid_time_is_ignored(self, text):
        assert WorkerProtocol().self_report(503, {"Retry-After": text}, "b1") == SelfReport()

    def test_report_of_another_instance_at_the_address_is_ignored(self):
        headers = {"Instance-Id": "b2", "Server-Leaving": "1"}
        assert WorkerProtocol().self_report(421, headers, "b1") == SelfReport()


@pytest.mark.processes
class TestAnswers:
    def test_server_that_reports_its_shutdown_gets_no_requests(self, world):
        first = world.worker("w1", default_answer=leaving)
        relay = world.start_relay()
        assert Caller(relay).ask("/safe/x")[0] == 200
        wait_until(lambda: relay.find_log_lines("back_end_leaving"), "the word is logged")
        status, headers, _ = Caller(relay).ask("/safe/x")
        assert status == 503 and "retry-after" in headers and len(first.seen) == 1
        # The report does not apply to a new start under the same name.
        first.default_answer = send_whole
        world.store.put("servers", "w1", first.entry("orders", born=1_900_000_000_000))
        wait_until(lambda: Caller(relay).ask("/safe/x")[0] == 200, "the new process is used")

    def test_shutdown_report_reaches_peers(self, world):
        worker = world.worker("w1", default_answer=leaving)
        relays = [world.start_relay(name) for name in ("relay-1", "relay-2")]
        wait_until(
            lambda: relays[1].find_log_lines("relay_peer_heard"), "the relays know each other"
        )
        Caller(relays[0]).ask("/safe/x")
        wait_until(
            lambda: relays[1].find_log_lines("back_end_leaving"), "the report reaches the peer", 3.0
        )
        assert Caller(relays[1]).ask("/safe/x")[0] == 503 and len(worker.seen) == 1

    def test_full_server_is_avoided_and_callers_get_retry_after(self, world):
        worker = world.worker("w1", default_answer=full("1.5"))
        relay = world.start_relay()
        started = time.monotonic()
        assert Caller(relay).ask("/once/x")[0] == 503
        wait_until(lambda: relay.find_log_lines("back_end_full"), "the word is logged")
        status, headers, _ = Caller(relay).ask("/once/x")
        assert status == 503 and len(worker.seen) == 1
        left_s = 1.5 - (time.monotonic() - started)
        assert left_s - 0.2 < float(headers["retry-after"]) < 1.2 * 1.65 + 0.1
        worker.default_answer = send_whole
        wait_until(lambda: Caller(relay).ask("/once/x")[0] == 200, "the server is used again")
        assert time.monotonic() - started >= 1.4

    def test_endless_body_fails_soon(self, world):
        world.worker("w1", default_answer=endless(200))
        relay = world.start_relay()
        started = time.monotonic()
        status, _, body = Caller(relay).ask("/once/x")
        assert status in (502, 504) and len(body) < 2000
        assert time.monotonic() - started < 4.0

    def test_endless_failure_is_a_failure(self, world):
        world.worker("d1", "quotes", default_answer=endless(500), Stage="decode")
        relay = world.start_relay()
        started = time.monotonic()
        status, _, _ = Caller(relay).ask("/talk/x", **PROMPT_HEADERS)
        assert status in (502, 504) and time.monotonic() - started < 4.0

    def test_server_of_an_endless_event_is_counted_and_avoided(self, world):
        """Guards against events over their bound that don't count as a failure of their server."""
        faulty = world.worker("d1", "quotes", endless_event, Stage="decode")
        sound = world.worker("d2", "quotes", Stage="decode")
        relay = world.start_relay()
        for _ in range(40):
            Caller(relay).ask("/ask/x", **PROMPT_HEADERS)
        lines = relay.find_log_lines("attempt_failed")
        assert len(lines) == len(faulty.requests("POST"))
        assert {line["trouble"] for line in lines} == {"too_long"}
        assert 3 * len(faulty.requests("POST")) < len(sound.requests("POST"))

    def test_endless_refusal_does_not_delay_the_request(self, world):
        """The request is sent to another backend server, which answers within its objective."""
        world.worker("w1", default_answer=endless(503, ("Not-Executed", "1")))
        world.worker("w2")
        caller = Caller(world.start_relay())
        for _ in range(4):
            started = time.monotonic()
            assert caller.ask("/safe/x")[0] == 200
            assert time.monotonic() - started < 1.0

    def test_stream_of_comments_counts_as_silent_and_resumes_elsewhere(self, world):
        sends = []

        def comments_once(handler):
            sends.append(handler)
            if len(sends) == 1:
                comments_only(handler)
                return
            begin_stream(handler)
            for number in range(2, 4):
                chunk(handler, event(number))
            handler.wfile.write(b"0\r\n\r\n")

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=comments_once, Stage="decode")
        status, _, body = Caller(world.start_relay()).ask("/talk/x", **PROMPT_HEADERS)
        assert status == 200 and len(sends) == 2
        events = [part for part in body.split(b"\n\n") if part.startswith(b"id:")]
        assert events == [event(number).strip() for number in (1, 2, 3)]
        assert body.count(b": still here") <= 20
