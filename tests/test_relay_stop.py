"""Tests of a relay's planned stop: which requests are still taken, and how those that are end."""

import os
import signal
import threading
import time

import pytest
from platform_answers import send_refusal, send_whole
from platform_config import config
from platform_world import wait_until
from relay_caller import BackgroundRequest, Caller
from slow_threads import SlowThreads

pytestmark = pytest.mark.processes

# Requests sent later than this after SIGTERM must not be cut by the end of the stop.
NOTICE_S = 3.0
LONG_ROUTES = [
    {
        "Name": name,
        "Prefix": f"/{name}/",
        "RouteType": route_type,
        "Service": "orders",
        "TimeoutMs": 60_000,
    }
    for name, route_type in (("long", "idempotent"), ("long-once", "non_idempotent"))
]


# Runs as the relay starts: its main thread loses the processor while it has the lock of an event.
SLOW_EVENTS = """
import threading, time

wait = threading.Event.wait

def wait_late(event, timeout=None):
    if timeout and threading.current_thread() is threading.main_thread():
        with event._cond:
            time.sleep(0.5)
    return wait(event, timeout)

threading.Event.wait = wait_late
"""


def wait_past(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def open_for_reader(path):
    """Open a FIFO for writing once a process has opened it for reading."""

    def attempt():
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return None

    return wait_until(attempt, "the relay to read its settings")


@pytest.fixture
def released():
    """Workers of a test answer once this event is set."""
    event = threading.Event()
    yield event
    event.set()


class TestAdmission:
    def test_slow_settings_file_does_not_delay_the_stop(self, world, released):
        """Guards against a notice that starts when the settings have been read."""
        world.extra_settings = "[stop]\ngrace_s = 6\n"
        world.store.put("op", "config", config(2, LONG_ROUTES))
        worker = world.worker("w1", default_answer=lambda handler: released.wait(20))
        relay = world.start_relay()
        kept = BackgroundRequest(relay, "/long/x", Deadline_Ms="60000")
        wait_until(lambda: worker.seen, "the worker to have the request")
        text = relay.settings.read_text()
        relay.settings.unlink()
        os.mkfifo(relay.settings)
        settings = open_for_reader(relay.settings)
        stopped_at = time.monotonic()
        relay.process.send_signal(signal.SIGTERM)
        wait_past(stopped_at + NOTICE_S / 2)
        was_ready = relay.is_ready()
        os.write(settings, text.encode())
        os.close(settings)
        wait_past(stopped_at + NOTICE_S)
        status, headers, _ = Caller(relay).ask("/long-once/x", Deadline_Ms="60000")
        assert (status, headers["x-run-state"]) == (503, "not-run")
        assert float(headers["retry-after"]) <= 1.0
        assert len(worker.seen) == 1 and not was_ready
        assert kept.result() == 504
        assert relay.process.wait(10) == 0


class TestRequestsThatRunOnce:
    """Requests that may run only once are not sent to a server that the stop would cut off."""

    def start(self, world, answer):
        world.store.put("op", "config", config(2, LONG_ROUTES))
        worker = world.worker("w1", default_answer=answer, Slots=1)
        relay = world.start_relay()
        requests = [BackgroundRequest(relay, "/long-once/x", Deadline_Ms="60000") for _ in range(4)]
        wait_until(lambda: worker.seen, "the worker to have a request")
        return worker, relay, requests

    def stop(self, relay, requests, queued):
        """Begin a stop and wait until the queued requests have ended, or much of the grace."""
        relay.process.send_signal(signal.SIGTERM)
        late = time.monotonic() + 6.0
        wait_until(
            lambda: sum(request.outcome is not None for request in requests) == queued
            or time.monotonic() > late,
            "the queued requests to end",
        )

    def test_queued_request_is_not_sent_late(self, world, released):
        worker, relay, requests = self.start(
            world, lambda handler: (released.wait(20), send_whole(handler))
        )
        sent = len(worker.seen)
        self.stop(relay, requests, len(requests) - sent)
        worker.script = [lambda handler: time.sleep(20)] * len(requests)
        released.set()
        outcomes = sorted(request.result() for request in requests)
        assert outcomes == [200] * sent + [503] * (len(requests) - sent)
        assert len(worker.seen) == sent
        assert relay.process.wait(10) == 0

    def test_refused_request_is_not_sent_to_another_server_late(self, world, released):
        worker, relay, requests = self.start(
            world, lambda handler: (released.wait(20), send_refusal(handler))
        )
        self.stop(relay, requests, len(requests) - len(worker.seen))
        other = world.worker("w2", default_answer=lambda handler: time.sleep(20))
        time.sleep(1.0)
        released.set()
        assert [request.result() for request in requests] == [503] * len(requests)
        assert not other.seen
        assert relay.process.wait(10) == 0


class TestEnd:
    def test_request_that_was_read_is_answered_by_a_busy_process(
        self, world, tmp_path, monkeypatch
    ):
        """Guards against a fixed time for the last answers."""
        threads = SlowThreads(tmp_path, monkeypatch)
        world.extra_settings = "[stop]\ngrace_s = 30\n"
        world.worker("w1")
        relay = world.start_relay()
        caller = Caller(relay, timeout_s=30)
        assert caller.ask("/safe/x")[0] == 200
        stopped_at = time.monotonic()
        # No call to the store ends, so that the tasks have not stopped when the request is read.
        with world.store.changed:
            relay.process.send_signal(signal.SIGTERM)
            wait_past(stopped_at + NOTICE_S + 1.0)
            threads.slow_down()
            caller.send("/once/x")
            wait_until(threads.have_request, "the request to be read")
        answer = caller.connection.getresponse()
        assert (answer.status, answer.getheader("X-Run-State")) == (503, "not-run")
        assert relay.process.wait(30) == 0


class TestSignals:
    def test_signal_is_noticed_while_the_main_thread_holds_the_lock_of_an_event(
        self, world, tmp_path, monkeypatch
    ):
        """Guards against a signal handler that waits for the thread that it has interrupted."""
        (tmp_path / "sitecustomize.py").write_text(SLOW_EVENTS)
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))
        relay = world.start_relay()
        for _ in range(8):
            relay.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        wait_until(lambda: relay.find_log_lines("relay_stopped"), "the relay to stop")
        assert relay.process.wait(10) == 0
