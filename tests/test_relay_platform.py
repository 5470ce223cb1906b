"""Tests of a deployed relay with a stand-in of the platform."""

import threading
import time

import pytest
from platform_answers import (
    close_unanswered,
    send_cut_head,
    send_cut_head_before_other_answer,
    send_refusal,
    send_truncated,
    send_with_extra_answer,
)
from platform_config import config
from platform_world import RelayProcess, wait_until
from relay_caller import Caller

pytestmark = pytest.mark.processes


class TestPlainRequests:
    def test_request_and_answer_are_forwarded_unchanged(self, world):
        worker = world.worker("w1")
        status, headers, body = Caller(world.start_relay()).ask(
            "/safe/a%2Fb?q=1&q=%20", body=b"\x00raw", X_Kept="1", Request_Id="abc"
        )
        assert (status, body, headers["response-signature"]) == (200, b"done", "s.abc")
        method, target, seen, sent = worker.seen[-1]
        assert (method, target, sent) == ("POST", "/safe/a%2Fb?q=1&q=%20", b"\x00raw")
        assert (seen["Request-Id"] if "Request-Id" in seen else seen["request-id"]) == "abc"
        assert {name.lower(): value for name, value in seen.items()}["x-kept"] == "1"

    def test_system_headers_of_callers_are_dropped(self, world):
        """Guards against callers that forge their customer, priority or another's KV handle."""
        worker = world.worker("w1")
        forged = {
            "Tenant_Id": "hall-b",
            "Expect_Instance": "w9",
            "Kv_Source": "1.2.3.4:5/h",
            "Kv_Hold": "h",
            "Kv_Backup": "1.2.3.4:5",
            "Kv_Fetch": "1.2.3.4:5",
            "Pin_Ms": "1000",
            "Serving_Stage": "prefill",
            "Request_Priority": "0",
            "Expect_Version": "9",
            "Not_Executed": "1",
            "Lease_Holder": "me",
            "Fencing_Token": "1",
        }
        status, _, _ = Caller(world.start_relay()).ask("/safe/x", **forged)
        seen = {name.lower(): value for name, value in worker.seen[-1][2].items()}
        assert status == 200 and seen["tenant-id"] == "hall-a" and seen["expect-instance"] == "w1"
        assert "key" not in seen and int(seen["deadline-ms"]) <= 3000
        unwanted = {name.replace("_", "-").lower() for name in forged}
        assert not (unwanted - {"tenant-id", "expect-instance"}) & set(seen)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/none/x", "key-a", 404),
            ("/safe/x", "key-z", 401),
            ("/safe/x", None, 401),
            ("/open/x", None, 200),
        ],
    )
    def test_routes_and_keys_determine_the_status(self, world, path, key, status):
        world.worker("w1")
        assert Caller(world.start_relay()).ask(path, key=key)[0] == status

    def test_idempotent_request_is_retried_elsewhere(self, world):
        workers = [world.worker("w1"), world.worker("w2")]
        relay = world.start_relay()
        for behaviour in (send_refusal, close_unanswered, send_truncated, send_cut_head):
            for worker in workers:
                worker.script = [behaviour]
            before = sum(len(worker.seen) for worker in workers)
            for worker in workers[1:]:
                worker.script = []
            statuses = {Caller(relay).ask("/safe/x")[0] for _ in range(4)}
            assert statuses == {200}, behaviour.__name__
            assert sum(len(worker.seen) for worker in workers) >= before + 4
            for worker in workers:
                worker.script = []

    @pytest.mark.parametrize(
        "behaviour",
        [close_unanswered, send_truncated, send_cut_head, send_cut_head_before_other_answer],
    )
    def test_non_idempotent_request_is_sent_once(self, world, behaviour):
        workers = [world.worker("w1"), world.worker("w2")]
        relay = world.start_relay()
        for worker in workers:
            worker.default_answer = behaviour
        status, headers, _ = Caller(relay).ask("/once/x")
        assert status == 502 and headers["x-run-state"] == "unknown"
        assert sum(len(worker.seen) for worker in workers) == 1

    def test_not_run_refusal_is_correct(self, world):
        workers = [world.worker("w1"), world.worker("w2")]
        for worker in workers:
            worker.default_answer = send_refusal
        status, headers, _ = Caller(world.start_relay()).ask("/once/x")
        assert status == 503 and headers["x-run-state"] == "not-run"
        assert float(headers["retry-after"]) > 0
        assert sum(len(worker.seen) for worker in workers) == 2

    def test_answer_to_another_request_is_not_forwarded(self, world):
        """Guards against extra bytes after an answer being read as the next request's answer."""
        worker = world.worker("w1")
        worker.default_answer = send_with_extra_answer
        relay = world.start_relay()
        caller = Caller(relay)
        for index in range(6):
            status, headers, body = caller.ask("/safe/x", Request_Id=f"mine{index}")
            assert (status, body) == (200, b"done")
            assert headers["response-signature"] == f"s.mine{index}"

    def test_address_taken_by_another_worker_is_dropped(self, world):
        old = world.worker("w1")
        world.store.put("servers", "gone", old.entry("orders"))
        relay = world.start_relay()
        assert {Caller(relay).ask("/once/x")[0] for _ in range(6)} == {200}
        assert all(seen[2]["Expect-Instance"] in ("w1", "gone") for seen in old.seen)

    def test_mute_worker_is_detected_by_idempotent_requests(self, world):
        mute = world.worker("w1", default_answer=lambda handler: time.sleep(2))
        world.worker("w2")
        relay = world.start_relay()
        for _ in range(12):
            assert Caller(relay).ask("/safe/x")[0] == 200
        assert len(mute.seen) <= 4

    def test_disconnected_caller_ends_its_work(self, world):
        ended = threading.Event()

        def slow(handler):
            handler.connection.settimeout(3.0)
            try:
                if handler.connection.recv(1) == b"":
                    ended.set()
            except OSError:
                ended.set()

        worker = world.worker("w1", default_answer=slow)
        caller = Caller(world.start_relay())
        caller.send("/safe/x")
        wait_until(lambda: worker.seen, "the worker got the request")
        caller.connection.close()
        assert ended.wait(0.5)

    def test_route_timeout_is_kept(self, world):
        routes = [
            {
                "Name": "short",
                "Prefix": "/short/",
                "RouteType": "non_idempotent",
                "Service": "orders",
                "TimeoutMs": 400,
            }
        ]
        world.store.put("op", "config", config(2, routes))
        world.worker("w1", default_answer=lambda handler: time.sleep(2))
        relay = world.start_relay()
        started = time.monotonic()
        status, _, _ = Caller(relay).ask("/short/x")
        assert status == 504 and 0.35 < time.monotonic() - started < 0.9
        # A timeout that is too short for an answer says nothing about the worker's connections.
        assert not relay.find_log_lines("back_end_silent")
        # Logs are written by a separate thread, possibly after the answer.
        wait_until(
            lambda: relay.find_log_lines("attempt_failed")
            or relay.find_log_lines("request_aborted"),
            "its log",
        )
        # The send's own timeout and the registry of running requests end the request at the same
        # time; whichever comes first logs the end.
        ended = [line["trouble"] for line in relay.find_log_lines("attempt_failed")]
        ended += [line["kind"] for line in relay.find_log_lines("request_aborted")]
        assert ended in (["out_of_time"], ["back_end_timeout"], ["out_of_time", "back_end_timeout"])


class TestDirectory:
    def test_invalid_entries_are_ignored(self, world):
        good = world.worker("w1")
        entry = good.entry("orders")
        bad = [
            b"\xff\xfe",
            b"[]",
            b'"text"',
            {**entry, "State": "sleeping"},
            {**entry, "Address": 7},
            {**entry, "Slots": "4"},
            {**entry, "Slots": True},
            {**entry, "Zone": None},
            {"Service": "orders"},
            {**entry, "Stage": "unknown"},
        ]
        for index, value in enumerate(bad):
            world.store.put("servers", f"bad{index}", value)
        relay = world.start_relay()
        assert {Caller(relay).ask("/safe/x")[0] for _ in range(8)} == {200}
        assert {seen[2]["Expect-Instance"] for seen in good.seen} == {"w1"}
        assert len({line["key"] for line in relay.find_log_lines("record_unreadable")}) == len(bad)

    def test_draining_worker_gets_no_requests(self, world):
        leaving, staying = world.worker("w1"), world.worker("w2")
        relay = world.start_relay()
        world.store.put("servers", "w1", leaving.entry("orders", State="draining", Sequence=2))
        wait_until(
            lambda: any(line["draining"] for line in relay.find_log_lines("back_end_listed")),
            "drained",
        )
        for _ in range(6):
            assert Caller(relay).ask("/safe/x")[0] == 200
        assert not leaving.seen and len(staying.seen) == 6

    def test_older_configuration_is_not_applied(self, world):
        world.worker("w1")
        relay = world.start_relay()
        world.store.put("op", "config", config(9, keys=("key-b",)))
        wait_until(lambda: Caller(relay).ask("/safe/x", key="key-b")[0] == 200, "in force")
        world.store.put("op", "config", config(4))
        time.sleep(0.4)
        assert Caller(relay).ask("/safe/x", key="key-a")[0] == 401
        assert Caller(relay).ask("/safe/x", key="key-b")[0] == 200

    def test_changes_are_read_after_history_was_dropped(self, world):
        world.worker("w1")
        relay = world.start_relay()
        world.store.history_gone = True
        world.store.put("op", "config", config(5, keys=("key-c",)))
        wait_until(lambda: Caller(relay).ask("/safe/x", key="key-c")[0] == 200, "in force")

    def test_requests_are_served_during_a_store_outage(self, world):
        world.worker("w1")
        relay = world.start_relay()
        world.store.down = True
        wait_until(lambda: len(relay.find_log_lines("directory_lost")) == 2, "the outage is logged")
        assert {Caller(relay).ask("/once/x")[0] for _ in range(4)} == {200}
        time.sleep(1.0)
        world.store.down = False
        # No change comes after the outage; the grace period of expired entries starts here.
        wait_until(
            lambda: len(relay.find_log_lines("directory_back")) == 2, "the return is logged", 1.5
        )

    def test_relay_without_configuration_is_not_ready(self, world):
        world.store.rows.clear()
        relay = RelayProcess(world, "early")
        world.relays.append(relay)
        wait_until(lambda: relay.get(relay.admin_port, "/healthz")[0] == 200, "the relay runs")
        assert not relay.is_ready()
        status, headers, _ = Caller(relay).ask("/safe/x")
        assert status == 503 and headers["x-error-kind"] == "not_ready"


class TestDuties:
    def test_usage_is_reported_once_per_window_by_one_holder(self, world):
        world.worker("w1")
        relays = [world.start_relay("relay-1"), world.start_relay("relay-2")]
        wait_until(
            lambda: relays[0].find_log_lines("relay_peer_heard"), "the relays know each other"
        )
        for index in range(30):
            assert Caller(relays[index % 2]).ask("/safe/x")[0] == 200
            time.sleep(0.04)

        def reported():
            return sum(
                sum(body["Counts"].values())
                for path, _, body in world.duties.calls
                if path == "/usage"
            )

        wait_until(lambda: reported() == 30, "all requests are reported", 12)
        windows = [body["WindowId"] for path, _, body in world.duties.calls if path == "/usage"]
        assert len(windows) == len(set(windows))
        assert len({headers["Lease-Holder"] for _, headers, _ in world.duties.calls}) == 1
