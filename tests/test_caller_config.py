"""Tests of requests that are being read, queued or served while the configuration changes."""

import signal
import socket
import threading
import time

import pytest
from platform_answers import send_whole
from platform_config import config
from platform_world import wait_until
from relay_caller import Caller
from test_caller_shutdown import BackgroundRequest

pytestmark = pytest.mark.processes

# Documented time limit for a configuration to take effect.
CONFIG_LIMIT_S = 2.5
# The platform's `ContactMs`: for this long a disruption of connections excuses a host.
CONTACT_S = 3.0


def answer_slowly(handler):
    time.sleep(1.0)
    send_whole(handler)


def remove_entries(changed, **names):
    """Return the configuration without the routes, services or customers of these names."""
    for part, removed in names.items():
        changed[part] = [entry for entry in changed[part] if entry["Name"] not in removed]
    return changed


def configured_versions(relay):
    return [line["version"] for line in relay.find_log_lines("relay_configured")]


def put_and_wait(world, relay, changed):
    """Write a configuration and wait until the relay has applied it."""
    world.store.put("op", "config", changed)
    wait_until(
        lambda: changed["Version"] in configured_versions(relay),
        "the configuration to be applied",
        CONFIG_LIMIT_S * 4,
    )


def send_in_pieces(relay, path, number, on_gap):
    """Send a request in pieces and return the answer.

    `on_gap` is called with the index of a piece before the piece is sent.
    """
    body = b'{"a": 1}' * 100
    whole_request = (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\nRequest-Id: piece{number}\r\n"
        f"Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    with socket.create_connection((relay.host, relay.port), 8) as connection:
        size = len(whole_request) // 5 + 1
        for gap, start in enumerate(range(0, len(whole_request), size)):
            on_gap(gap)
            connection.sendall(whole_request[start : start + size])
        return connection.recv(65536)


def count_known_requests(relay, worker):
    """Return how many requests the relay has forwarded, queued or refused."""
    waiting = 0
    for line in relay.get(relay.admin_port, "/metrics")[1].decode().splitlines():
        if line.startswith("laburnumreel_relay_waiting "):
            waiting = int(float(line.split()[1]))
    return waiting + len(worker.requests("POST")) + len(relay.find_log_lines("request_refused"))


class TestRelay:
    @pytest.mark.parametrize(
        "removed",
        [
            {"Routes": ["safe"]},
            {"Routes": ["safe", "once", "open"], "Services": ["orders"]},
            {"Tenants": ["hall-a"]},
        ],
    )
    def test_queued_requests_are_answered(self, world, removed):
        """A route, service or customer is removed while its requests are running and queued."""
        worker = world.worker("w1", default_answer=answer_slowly, Slots=1)
        relay = world.start_relay()
        requests = [BackgroundRequest(relay, "/safe/x", Deadline_Ms="2500") for _ in range(4)]
        wait_until(
            lambda: count_known_requests(relay, worker) == len(requests), "all requests to be read"
        )
        put_and_wait(world, relay, remove_entries(config(2), **removed))
        outcomes = [request.result() for request in requests]
        assert set(outcomes) <= {200, 503} and 200 in outcomes
        assert not relay.find_log_lines("caller_cut")

    def test_queued_streams_are_answered(self, world):
        engine = world.worker("e1", "quotes", Slots=1, Stage="decode")
        usual = engine.default_answer

        def answer_late(handler):
            time.sleep(0.5)
            usual(handler)

        engine.default_answer = answer_late
        relay = world.start_relay()
        requests = [BackgroundRequest(relay, "/talk/x", Deadline_Ms="2500") for _ in range(4)]
        wait_until(
            lambda: count_known_requests(relay, engine) == len(requests), "all requests to be read"
        )
        removed = remove_entries(config(2), Routes=["ask", "talk"], Services=["quotes"])
        put_and_wait(world, relay, removed)
        outcomes = [request.result() for request in requests]
        assert set(outcomes) <= {200, 503} and 200 in outcomes

    @pytest.mark.parametrize(
        "customers",
        [
            [],
            None,
            [{"Name": "hall-a", "ApiKeys": []}],
        ],
    )
    def test_keys_are_needed_after_the_last_customer_is_gone(self, world, customers):
        """Guards against a configuration without a usable customer that opens all routes.

        After the last customer was removed, requests with its key, an unknown key and no key ran
        (issue 47, case 3).
        """
        worker = world.worker("w1")
        relay = world.start_relay()
        assert Caller(relay).ask("/once/x")[0] == 200
        put_and_wait(world, relay, {**config(2), "Tenants": customers})
        runs = len(worker.requests("POST"))
        for key in ("key-a", "key-never", None):
            assert Caller(relay).ask("/once/x", key=key)[0] == 401
        assert len(worker.requests("POST")) == runs
        assert Caller(relay).ask("/open/x", key=None)[0] == 200
        put_and_wait(world, relay, config(3))
        assert Caller(relay).ask("/once/x")[0] == 200

    @pytest.mark.parametrize(
        "customers",
        [
            "none",
            [{"Name": "", "ApiKeys": ["key-a"]}, {"Name": "hall-b", "ApiKeys": ["key-b"]}],
            [{"Name": "hall-b", "ApiKeys": ["key-b", "", 7]}, {"ApiKeys": ["key-a"]}, 7],
        ],
    )
    def test_malformed_customers_keep_no_removed_key_in_force(self, world, customers):
        """Guards against one malformed customer that keeps a whole version from being applied.

        The keys that the version removed stayed in force.
        """
        worker = world.worker("w1")
        relay = world.start_relay()
        assert Caller(relay).ask("/once/x")[0] == 200
        put_and_wait(world, relay, {**config(2), "Tenants": customers})
        runs = len(worker.requests("POST"))
        for key in ("key-a", "", None):
            assert Caller(relay).ask("/once/x", key=key)[0] == 401
        assert len(worker.requests("POST")) == runs
        served = 401 if customers == "none" else 200
        assert Caller(relay).ask("/once/x", key="key-b")[0] == served
        assert relay.find_log_lines("customers_unreadable")

    def test_configuration_is_read_beside_silent_connections(self, world):
        """Guards against a call for the configuration that waits on a dead connection.

        All connections to the store went silent, and new ones worked. Hosts read the other table on a
        new connection, but the next configuration up to 5.5 s later, and 28 s where they are no readers.
        """
        world.worker("w1")
        relay = world.start_relay()
        calls = world.store.calls

        def read_late_s(version):
            """Return how late a version is read that is written as the connections go silent."""
            # The relay's next call is sent after this change, so that it has just begun to wait.
            put_and_wait(world, relay, config(version - 1))
            enough = calls.count("/v1/rows-feed") + 2
            wait_until(lambda: calls.count("/v1/rows-feed") >= enough, "the next calls")
            world.store.silence_connections()
            silent_at = time.monotonic()
            world.store.put("op", "config", config(version))
            wait_until(lambda: version in configured_versions(relay), "the configuration", 30.0)
            return time.monotonic() - silent_at

        assert max(read_late_s(version) for version in (3, 5, 7)) <= CONTACT_S

    def test_host_that_starts_without_customers_needs_keys(self, world):
        """A relay that never knew a customer must not take the empty list for no rule."""
        worker = world.worker("w1")
        world.store.put("op", "config", {**config(2), "Tenants": []})
        relay = world.start_relay()
        assert Caller(relay).ask("/once/x")[0] == 401
        assert not worker.requests("POST")

    def test_partly_read_request_is_answered(self, world):
        """Limits and the idle timeout become smaller while a request is being received."""
        world.worker("w1")
        relay = world.start_relay()

        def change(gap):
            changed = config(2 + gap)
            if gap >= 1:
                changed["Limits"]["MaxBodyBytes"] = 100
            if gap >= 2:
                changed["Limits"]["IdleTimeoutMs"] = 500
            if gap >= 3:
                changed["Limits"]["MaxHeaderBytes"] = 50
            put_and_wait(world, relay, changed)
            time.sleep(0.4)

        assert send_in_pieces(relay, "/safe/x", 1, change).startswith(b"HTTP/1.1 200 ")

    def test_request_is_answered_across_signals_and_configurations(self, world):
        world.extra_settings = "[stop]\ngrace_s = 6\n"
        world.worker("w1")
        relay = world.start_relay()

        def change(gap):
            if gap == 1:
                relay.process.send_signal(signal.SIGHUP)
                put_and_wait(world, relay, config(2))
            if gap == 2:
                relay.process.send_signal(signal.SIGTERM)
                relay.process.send_signal(signal.SIGHUP)
                world.store.put("op", "config", config(3))
            time.sleep(0.3)

        answer = send_in_pieces(relay, "/safe/x", 1, change)
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer

    def test_concurrent_changes_lose_no_request(self, world):
        """No request that was read stays unanswered under concurrent configurations and signals."""
        world.extra_settings = "[stop]\ngrace_s = 5\n"
        worker = world.worker(
            "w1", default_answer=lambda handler: (time.sleep(0.05), send_whole(handler))
        )
        relay = world.start_relay()
        unanswered, statuses, ended = [], set(), threading.Event()

        def send_repeatedly(number):
            reused_caller = None
            while not ended.is_set():
                # Every second caller reuses its connection.
                caller = reused_caller if reused_caller is not None else Caller(relay, timeout_s=8)
                name = f"ask{number}-{time.monotonic_ns()}"
                sent_at = time.monotonic()
                try:
                    status, headers, _ = caller.ask("/safe/x", Request_Id=name)
                    statuses.add(status)
                    is_reusable = number % 2 and headers.get("connection") != "close"
                    reused_caller = caller if is_reusable else None
                except OSError:
                    unanswered.append((name, time.monotonic() - sent_at))
                    reused_caller = None
                    time.sleep(0.05)

        threads = [threading.Thread(target=send_repeatedly, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        for version in range(2, 8):
            changed = config(version)
            changed["Limits"]["IdleTimeoutMs"] = 500 if version % 2 else 15000
            world.store.put("op", "config", changed)
            relay.process.send_signal(signal.SIGHUP)
            time.sleep(0.3)
        relay.process.send_signal(signal.SIGTERM)
        relay.process.send_signal(signal.SIGHUP)
        world.store.put("op", "config", config(9))
        assert relay.process.wait(15) == 0
        ended.set()
        for thread in threads:
            thread.join()
        forwarded_ids = {headers.get("Request-Id") for _, _, headers, _ in worker.seen}
        lost = [name for name, _ in unanswered if name in forwarded_ids]
        cut = [line for line in relay.find_log_lines("caller_cut") if line["requests"]]
        assert not lost and not cut
        assert statuses <= {200, 503}
