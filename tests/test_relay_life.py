"""Tests of a relay's start, stop, settings and invalid input, with a stand-in of the platform."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from platform_answers import send_whole
from platform_config import config
from platform_world import ROOT, RelayProcess, wait_until
from relay_caller import Caller

pytestmark = pytest.mark.processes

# Duration of a series of signals without pauses between them.
SIGNAL_SERIES_S = 3.0


class TestLife:
    def test_planned_stop_completes_running_requests(self, world):
        worker = world.worker(
            "w1", default_answer=lambda handler: (time.sleep(1.0), send_whole(handler))
        )
        relay = world.start_relay()
        caller = Caller(relay)
        caller.send("/once/x")
        wait_until(lambda: worker.seen, "the worker got the request")
        relay.process.terminate()
        wait_until(lambda: not relay.is_ready(), "the relay reports that it is not ready", 1.0)
        assert caller.connection.getresponse().read() == b"done"
        # The platform kills a process eight seconds after SIGTERM.
        assert relay.process.wait(7) == 0
        assert relay.find_log_lines("relay_stopped")

    def test_series_of_signals_keeps_the_planned_stop(self, world):
        """A signal may come while the one before is handled, at any place in the code."""
        world.worker("w1")
        relay = world.start_relay()
        ends_at = time.monotonic() + SIGNAL_SERIES_S
        while time.monotonic() < ends_at:
            relay.process.send_signal(signal.SIGHUP)
        reload_count = len(relay.find_log_lines("relay_settings_reloaded"))
        assert Caller(relay).ask("/once/x")[0] == 200
        relay.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: len(relay.find_log_lines("relay_settings_reloaded")) > reload_count,
            "the settings are reloaded after the series",
        )
        for _ in range(3):
            relay.process.terminate()
        assert relay.process.wait(7) == 0
        assert relay.find_log_lines("relay_stopped")

    def test_ready_only_after_start(self, world, tmp_path, monkeypatch):
        """Guards against a full garbage collection, which stops all threads, once requests come."""
        slow = "import gc, time\ncollect = gc.collect\n"
        slow += "gc.collect = lambda *arguments: (time.sleep(1), collect(*arguments))[1]\n"
        (tmp_path / "sitecustomize.py").write_text(slow)
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))
        relay = world.start_relay()
        # The log is written behind the answer to the readiness check.
        started = wait_until(lambda: relay.find_log_lines("relay_started"), "the start is logged")
        ready = wait_until(lambda: relay.find_log_lines("relay_ready"), "readiness is logged")
        assert started[0]["timestamp"] < ready[0]["timestamp"]

    def test_all_invalid_settings_are_reported(self, world, tmp_path):
        bad = tmp_path / "bad.ini"
        bad.write_text("[host]\nname = a\nzone =\n[store]\naddress = nowhere\n[other]\nx = 1\n")
        ended = subprocess.run(
            [sys.executable, "-m", "laburnumreel_platform"],
            env={**os.environ, "LABURNUMREEL_BOOT": str(bad)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert ended.returncode == 2
        for words in ("zone", "'nowhere'", "HOST:PORT", "an unknown section", "[duties] address"):
            assert words in ended.stderr

    def test_address_in_use_is_reported(self, world):
        running = world.start_relay()
        second = RelayProcess(world, "relay-2")
        world.relays.append(second)
        text = second.settings.read_text()
        second.end(signal.SIGKILL)
        second.settings.write_text(text.replace(second.host, running.host))
        again = subprocess.run(
            [sys.executable, "-m", "laburnumreel_platform"],
            cwd=ROOT,
            env={**os.environ, "LABURNUMREEL_BOOT": str(second.settings)},
            capture_output=True,
            text=True,
            timeout=15,
            check=False,
        )
        line = json.loads(again.stdout.splitlines()[-1])
        assert again.returncode == 3 and line["name"] == "listen_failed"
        assert "in use" in line["detail"] and line["callers"] == f"{running.host}:{running.port}"
        assert "Traceback" not in again.stdout + again.stderr

    def test_settings_reload_without_signal_and_invalid_ones_are_rejected(self, world):
        relay = world.start_relay()
        text = relay.settings.read_text()
        relay.settings.write_text(text + "[retry]\nratio = 0.5\n")
        wait_until(lambda: relay.find_log_lines("relay_settings_reloaded"), "the change is logged")
        relay.settings.write_text("[host]\nname =\n")
        wait_until(lambda: relay.find_log_lines("relay_settings_rejected"), "the error is logged")
        assert relay.is_ready()


class TestBadInput:
    @pytest.mark.parametrize(
        "raw",
        [
            b"GET /safe/x\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: x\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nBad Header: 1\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nLong: " + b"a" * 70_000 + b"\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        ],
    )
    def test_malformed_request_gets_one_error_and_reaches_no_worker(self, world, raw):
        worker = world.worker("w1")
        relay = world.start_relay()
        with socket.create_connection((relay.host, relay.port), 3.0) as connection:
            connection.sendall(raw)
            connection.settimeout(3.0)
            answer = connection.recv(65536)
        assert not answer or answer.split()[1][:1] in (b"4", b"5")
        assert answer.count(b"HTTP/1.1 ") <= 1
        assert not worker.seen
        assert Caller(relay).ask("/safe/x")[0] == 200

    def test_configured_limits_apply_from_their_version_on(self, world):
        worker = world.worker("w1")
        relay = world.start_relay()
        head, body = {"X_Long": "a" * 12_000}, b"b" * 40_000
        assert Caller(relay).ask("/safe/x", body=body, **head)[0] == 200
        limits = {"MaxHeaderBytes": 8000, "MaxBodyBytes": 20_000, "IdleTimeoutMs": 1000}
        changed = config(2)
        changed["Limits"] |= limits
        idle = Caller(relay)
        assert idle.ask("/safe/x")[0] == 200
        world.store.put("op", "config", changed)
        wait_until(
            lambda: [line["version"] for line in relay.find_log_lines("relay_configured")]
            == [1, 2],
            "the new limits are in force",
        )
        served = len(worker.seen)
        assert Caller(relay).ask("/safe/x", **head)[0] == 431
        assert Caller(relay).ask("/safe/x", body=body)[0] == 413
        assert len(worker.seen) == served
        assert Caller(relay).ask("/safe/x")[0] == 200
        # A connection that became idle before the change keeps its longer limit until it is used.
        assert idle.ask("/safe/x")[0] == 200
        idle.connection.sock.settimeout(6.0)
        assert idle.connection.sock.recv(1) == b""

    @pytest.mark.parametrize(("excess", "status"), [(0, b"200"), (1, b"431")])
    @pytest.mark.parametrize("in_two", [False, True])
    def test_head_may_have_the_largest_size(self, world, excess, status, in_two):
        """A head of exactly the configured size was refused (issue 48, KNOWN-RED 34)."""
        world.worker("w1")
        relay = world.start_relay()
        start = (
            b"GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\nRequest-Id: h\r\nLong: "
        )
        end = b"\r\n\r\n"
        size = config()["Limits"]["MaxHeaderBytes"] + excess
        raw = start + b"a" * (size - len(start) - len(end)) + end
        with socket.create_connection((relay.host, relay.port), 8.0) as connection:
            for piece in (raw[:-2], raw[-2:]) if in_two else (raw,):
                connection.sendall(piece)
                time.sleep(0.05)
            assert connection.recv(65536).split()[1] == status

    def test_content_length_with_chunked_body_is_not_smuggled(self, world):
        """Guards against request smuggling in a body whose end relay and worker see differently."""
        worker = world.worker("w1")
        relay = world.start_relay()
        smuggled = b"POST /once/evil HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\n\r\n"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(smuggled), smuggled)
        raw = (
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\nRequest-Id: s1\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + body
        )
        with socket.create_connection((relay.host, relay.port), 3.0) as connection:
            connection.sendall(raw)
            connection.settimeout(3.0)
            answer = connection.recv(65536)
        assert answer.startswith(b"HTTP/1.1 ")
        assert all(seen[1] == "/safe/x" for seen in worker.seen) and len(worker.seen) <= 1
        if worker.seen:
            assert worker.seen[0][3] == smuggled


class TestDeployment:
    def test_adapter_folder_does_not_shadow_a_python_module(self, world):
        told = subprocess.run(
            [sys.executable, "-c", "import platform; print(platform.python_version())"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert told.stdout.strip().count(".") == 2

    def test_metrics_are_served(self, world):
        world.worker("w1")
        relay = world.start_relay()
        Caller(relay).ask("/safe/x")
        status, body = relay.get(relay.admin_port, "/metrics")
        assert status == 200 and b"laburnumreel_relay_requests_total" in body
        details = json.loads(relay.get(relay.admin_port, "/readyz")[1])
        assert details["ready"] and details["configuration"] == 1

    def test_wait_metric_excludes_the_work(self, world):
        def slow(handler):
            time.sleep(work_s)
            send_whole(handler)

        # Longer than a request waits for the processor on a busy machine.
        work_s = 1.5

        world.worker("w1", default_answer=slow)
        relay = world.start_relay()
        # Uses a route whose answers are awaited for as long as the caller waits.
        assert Caller(relay).ask("/once/x")[0] == 200
        metrics = relay.get(relay.admin_port, "/metrics")[1].decode()
        waits = dict(
            line.rsplit(" ", 1)
            for line in metrics.splitlines()
            if line.startswith("laburnumreel_relay_wait_seconds")
        )
        assert float(waits["laburnumreel_relay_wait_seconds_count"]) == 1
        assert float(waits["laburnumreel_relay_wait_seconds_sum"]) < 2 / 3 * work_s
