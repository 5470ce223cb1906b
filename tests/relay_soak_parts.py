"""Fault-injecting proxies, worker responses and the record of observations for a soak."""

import selectors
import shutil
import socket
import threading
import time
from collections import Counter
from pathlib import Path

from platform_answers import echo, event
from platform_world import HOST
from repeat_count import RetryCounter

from laburnumreel.relay._settings import RetrySettings

# A retry budget small enough for the faults of a soak to exhaust.
RETRY = RetrySettings(ratio=0.05, slack=6.0, window_s=10.0)
# A draining worker must get no new requests after this time.
DRAIN_GRACE_S = 2.5


class Proxy:
    """A loopback proxy whose `mode` injects a fault.

    Modes: pass, slow, silent (forwards nothing), deaf (forwards no responses) and reset.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server((HOST, 0))
        self._listener.settimeout(0.2)
        self._ended = False
        self.mode = "pass"
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self):
        self._ended = True

    def _accept(self):
        while not self._ended:
            try:
                client_socket, _ = self._listener.accept()
            except TimeoutError:
                continue
            threading.Thread(
                target=self._handle_connection, args=(client_socket,), daemon=True
            ).start()
        self._listener.close()

    def _handle_connection(self, client_socket):
        try:
            with client_socket, socket.create_connection(self._target, 2.0) as server_socket:
                self._forward(client_socket, server_socket)
        except OSError:
            # One side closed its connection; leaving the `with` block closes the other one.
            return

    def _forward(self, client_socket, server_socket):
        selector = selectors.DefaultSelector()
        selector.register(client_socket, selectors.EVENT_READ, server_socket)
        selector.register(server_socket, selectors.EVENT_READ, client_socket)
        while not self._ended:
            for key, _ in selector.select(0.1):
                mode = self.mode
                if mode == "reset":
                    linger = b"\x01\0\0\0\0\0\0\0"
                    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                if mode == "silent" or (mode == "deaf" and key.fileobj is server_socket):
                    time.sleep(0.02)
                    continue
                data = key.fileobj.recv(65536)
                if not data:
                    return
                if mode == "slow":
                    time.sleep(0.15)
                key.data.sendall(data)


def keep_logs(folder, seed, findings, keep_dir):
    """Copy the hosts' logs of a seed with findings to the directory `keep_dir`, if given."""
    if keep_dir and findings:
        seed_dir = Path(keep_dir) / f"seed-{seed}"
        seed_dir.mkdir(parents=True, exist_ok=True)
        for log in Path(folder).glob("*.log"):
            shutil.copy(log, seed_dir)


class Observations:
    """Records executions and outcomes by request ID, and the repeated sends of each service."""

    def __init__(self, retry=RETRY):
        self.repeats = {service: RetryCounter(retry) for service in ("orders", "quotes")}
        # Pairs of a worker and the requests it received while it announced a rate limit.
        self.limits = []
        self.lock = threading.Lock()
        self.runs = Counter()
        self.late_runs = []
        self.draining_since = {}
        # Until this time a relay may not know of a draining worker: it was paused or had no store.
        self.views_stale_until = 0.0
        self.outcomes = Counter()
        self.findings = []

    def record_run(self, request_id, worker):
        with self.lock:
            self.runs[request_id] += 1
            since = self.draining_since.get(worker)
            now = time.monotonic()
            if since is not None and now - since > DRAIN_GRACE_S and now > self.views_stale_until:
                self.late_runs.append((request_id, worker))

    def add_finding(self, text):
        with self.lock:
            self.findings.append(text)


def make_plain_answer(observations, name, rng):
    def answer(handler):
        request_id = handler.headers["Request-Id"]
        observations.repeats["orders"].arrived(request_id, time.monotonic())
        draw = rng.random()
        if draw < 0.05:
            handler.respond(503, headers=[("Not-Executed", "1"), *echo(handler)])
            return
        observations.record_run(request_id, name)
        time.sleep(rng.uniform(0.0, 0.08))
        if draw < 0.08:
            handler.close_connection = True
            handler.connection.shutdown(socket.SHUT_RDWR)
            return
        body = f"for {request_id}".encode()
        handler.respond(200, body, [*echo(handler), ("Response-Signature", f"s.{request_id}")])
        if draw > 0.95:
            handler.wfile.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nResponse-Signature: x\r\nContent-Length: 1\r\n\r\nx"
            )

    return answer


def make_stream_answer(observations, name, rng, count=8):
    def answer(handler):
        if handler.command == "DELETE":
            handler.respond(200)
            return
        request_id = handler.headers["Request-Id"]
        is_prefill = handler.headers.get("Serving-Stage") == "prefill"
        observations.repeats["quotes"].arrived(request_id, time.monotonic(), is_prefill)
        if is_prefill:
            body = b'{"Handle":"h","Tokens":10,"Version":1}'
            handler.respond(200, body, echo(handler))
            return
        observations.record_run(request_id, name)
        handler.send_response_only(200)
        for header, value in (
            *echo(handler),
            ("Response-Signature", f"s.{request_id}"),
            ("Transfer-Encoding", "chunked"),
        ):
            handler.send_header(header, value)
        handler.end_headers()
        cut_at = rng.randrange(1, count) if rng.random() < 0.1 else None
        for number in range(int(handler.headers.get("Last-Event-Id") or 0) + 1, count + 1):
            data = event(number)
            if number == cut_at:
                data = data[: rng.randrange(len(data))]
            if data:
                handler.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                handler.wfile.flush()
            if number == cut_at:
                handler.close_connection = True
                handler.connection.shutdown(socket.SHUT_RDWR)
                return
            time.sleep(rng.uniform(0.0, 0.03))
        handler.wfile.write(b"0\r\n\r\n")

    return answer


EXPECTED_STREAM = b"".join(event(number) for number in range(1, 9))
