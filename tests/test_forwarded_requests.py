"""Tests of requests that a relay without links to servers passes on to another relay."""

import http.client
import time

import pytest
from cut_links import CutLinks
from mixed_versions import EVENTS, VersionedStream
from platform_answers import begin_stream, chunk, event, send_whole, stream
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes


@pytest.fixture
def cut_relay(world):
    """Start a relay that is cut off from all servers, and one that is not; return both."""
    found = []

    def start(**workers):
        world.worker("w1", "orders", workers.get("orders"))
        world.worker("w2", "orders", workers.get("orders"))
        world.worker("d1", "quotes", workers.get("quotes"))
        world.worker("d2", "quotes", workers.get("quotes"))
        found.append(CutLinks(world, "relay-1"))
        cut, sound = world.start_relay("relay-1"), world.start_relay("relay-2")
        for relay in (cut, sound):
            wait_until(lambda relay=relay: relay.find_log_lines("relay_peer_heard"), "heard")
        assert Caller(cut).ask("/safe/x")[0] == 200
        found[0].cut("reset")
        wait_until(lambda: Caller(cut).ask("/safe/x")[0] == 200, "requests are passed on")
        assert cut.find_log_lines("servers_out_of_reach")
        for worker in world.workers.values():
            worker.seen.clear()
        return cut, sound

    yield start
    for each in found:
        each.end()


def requests_at(world, *names):
    return [seen for name in names for seen in world.workers[name].requests()]


class TestForwardedRequest:
    def test_server_gets_the_request_as_its_caller_sent_it(self, world, cut_relay):
        cut, _ = cut_relay()
        body = b'{"hall": "a"}' * 3000
        status, headers, answer = Caller(cut).ask(
            "/once/x?y=1", body=body, Request_Id="own-id", X_Note="n"
        )
        assert (status, answer) == (200, b"done")
        assert headers["response-signature"] == "s.own-id" and headers["request-id"] == "own-id"
        ((method, path, sent, sent_body),) = requests_at(world, "w1", "w2")
        assert (method, path, sent_body) == ("POST", "/once/x?y=1", body)
        sent = {name.lower(): value for name, value in sent.items()}
        assert sent["request-id"] == "own-id" and sent["x-note"] == "n"
        assert sent["tenant-id"] == "hall-a" and "key" not in sent
        assert 0 < int(sent["deadline-ms"]) <= 3000

    @pytest.mark.parametrize("method", ["GET", "HEAD", "DELETE"])
    def test_methods_without_a_body(self, world, cut_relay, method):
        cut, _ = cut_relay()
        status, _, answer = Caller(cut).ask("/safe/x", method, body=None)
        assert (status, answer) == (200, b"" if method == "HEAD" else b"done")
        assert requests_at(world, "w1", "w2")[0][0] == method

    def test_failure_of_a_server_is_passed_on_unchanged(self, cut_relay):
        def fail(handler):
            send_whole(handler, 418 if handler.path.startswith("/once/") else 200, b"teapot")

        cut, _ = cut_relay(orders=fail)
        status, headers, answer = Caller(cut).ask("/once/x")
        assert (status, answer) == (418, b"teapot") and "response-signature" in headers

    def test_request_without_a_right_key_is_refused_by_the_cut_relay(self, cut_relay):
        cut, sound = cut_relay()
        assert Caller(cut).ask("/safe/x", key="other")[0] == 401
        assert Caller(cut).ask("/nowhere/x")[0] == 404
        assert not sound.find_log_lines("request_refused")

    def test_request_is_counted_once(self, world, cut_relay):
        cut, sound = cut_relay()
        for _ in range(5):
            assert Caller(cut).ask("/safe/x")[0] == 200
        served = [
            line
            for relay in (cut, sound)
            for line in relay.find_log_lines("request_served")
            if line["customer"] == "hall-a"
        ]
        assert len([line for line in served if line in sound.find_log_lines("request_served")]) >= 5
        wait_until(
            lambda: sum(
                call[2]["Counts"].get("hall-a", 0)
                for call in world.duties.calls
                if call[0] == "/usage"
            )
            == len(served),
            "all requests are reported",
            20,
        )

    def test_relay_that_is_cut_off_itself_refuses_what_is_passed_on(self, world, cut_relay):
        """Guards against requests that go round between relays without links."""
        cut, sound = cut_relay()
        for worker in world.workers.values():
            worker.end()
        deadline = time.monotonic() + 10
        while not sound.find_log_lines("servers_out_of_reach") and time.monotonic() < deadline:
            Caller(sound).ask("/safe/x")
        connection = http.client.HTTPConnection(sound.host, sound.stream_port, timeout=5)
        headers = {"Host": "shop.example", "Request-Id": "r", "Key": "key-a", "Deadline-Ms": "3000"}
        connection.request("POST", "/safe/x", b"{}", headers)
        answer = connection.getresponse()
        assert answer.status == 503 and answer.headers["X-Run-State"] == "not-run"
        assert answer.headers["X-Error-Kind"] == "not_ready"
        assert not sound.find_log_lines("request_forwarded")


class TestForwardedStream:
    def test_events_come_as_they_are_made(self, cut_relay):
        cut, _ = cut_relay(quotes=stream(gap_s=0.3))
        caller = Caller(cut)
        caller.send("/talk/x", **PROMPT_HEADERS)
        answer = caller.connection.getresponse()
        began_at = time.monotonic()
        first = answer.read1(65536)
        assert first.startswith(event(1)[:5]) and time.monotonic() - began_at < 0.5
        assert first + answer.read() == b"".join(event(number) for number in range(1, 6))

    def test_stream_that_breaks_off_does_not_look_complete(self, cut_relay):
        cut, _ = cut_relay(quotes=stream(break_after=2))
        caller = Caller(cut)
        caller.send("/ask/x", **PROMPT_HEADERS)
        with pytest.raises(http.client.IncompleteRead) as error:
            caller.connection.getresponse().read()
        assert error.value.partial == event(1) + event(2)

    def test_server_stops_once_the_caller_has_left(self, world, cut_relay):
        ended = []

        def run_long(handler):
            begin_stream(handler)
            try:
                for number in range(1, 100):
                    chunk(handler, event(number))
                    time.sleep(0.05)
            except OSError:
                ended.append(time.monotonic())
                raise ConnectionError("the caller has left") from None

        cut, _ = cut_relay(quotes=run_long)
        caller = Caller(cut)
        caller.send("/talk/x", **PROMPT_HEADERS)
        answer = caller.connection.getresponse()
        answer.read1(100)
        left_at = time.monotonic()
        # The answer alone holds the connection, which the relay closes after it.
        answer.close()
        wait_until(lambda: ended, "the server has stopped", 3)
        assert ended[0] - left_at < 1.0

    def test_stream_is_taken_up_at_its_version(self, world, cut_relay):
        cut, sound = cut_relay(quotes=VersionedStream("v1"))
        for name in ("b1", "b2", "b3"):
            world.worker(name, "quotes", VersionedStream("v2"), Version="v2")
        wait_until(lambda: len(sound.find_log_lines("back_end_listed")) >= 7, "listed")
        for number in range(6):
            version = self.take_up(cut, sound, f"r{number}")
            assert len(version) == 1, version

    def take_up(self, cut, sound, request_id):
        """Begin a stream at one relay and take it up at the cut one; return its versions."""
        caller = Caller(sound)
        caller.send("/talk/x", Request_Id=request_id, **PROMPT_HEADERS)
        first = caller.connection.getresponse().read().split(b"\n\n")[:2]
        headers = {**PROMPT_HEADERS, "Resumes": request_id, "Last_Event_Id": "2"}
        status, _, rest = Caller(cut).ask("/talk/x", Request_Id=f"{request_id}-1", **headers)
        events = [*first, *rest.split(b"\n\n")[:-1]]
        assert status == 200 and len(events) == EVENTS, (status, events)
        return {each.partition(b"data: ")[2] for each in events}


def test_relay_that_stops_takes_no_more_requests_of_others(world, cut_relay):
    cut, sound = cut_relay()
    third = world.start_relay("relay-3")

    def is_third_used():
        assert Caller(cut).ask("/safe/x")[0] == 200
        return third.find_log_lines("request_served")

    wait_until(is_third_used, "requests are passed on to the third relay")
    sound.process.terminate()
    for _ in range(20):
        assert Caller(cut).ask("/once/x")[0] == 200
        time.sleep(0.05)
    assert len(third.find_log_lines("request_served")) > 1
