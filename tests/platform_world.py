"""A stand-in of the users' platform for tests: store, workers and duties on loopback."""

import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from log_lines import read_log_lines
from platform_answers import echo, engine, send_whole
from platform_config import config

from laburnumreel.relay._peer_gossip import USAGE_TO_ALL_MAX_HOSTS
from laburnumreel_standins.caller import last_answers
from laburnumreel_standins.processes import fresh_host

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
WAIT_S = 10.0
# How long a relay may take to start on a busy machine.
MAX_START_S = 60.0
# The number of log lines of each relay in the report of a failing test.
LOG_LINES_SHOWN = 40
RELAY_PORTS = (8001, 8002, 8003, 8004, 8005)


def wait_until(condition, description, seconds=WAIT_S):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise AssertionError(f"timed out after {seconds} s: {description}")


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Buffered, so that head and body are sent in one segment.
    wbufsize = 65536

    def log_message(self, *arguments):
        """Suppress the access log."""

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except ConnectionError:
            self.close_connection = True

    def finish(self):
        # The caller may have left before the buffered rest of the answer is flushed.
        with contextlib.suppress(ConnectionError):
            super().finish()

    def respond(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def view_row(self, row):
        """Return a row of the store as it is sent; a handler may show another one."""
        return row


class _Server:
    def __init__(self, handler):
        self.server = ThreadingHTTPServer((HOST, 0), handler)
        self.server.daemon_threads = True
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def end(self):
        self.server.shutdown()
        self.server.server_close()


class Store(_Server):
    """A store with versioned rows, transactions and the feed of changes.

    While `down` is set, all calls are answered with 503, and while `hung` is set, none is answered;
    the connections of these calls end with it. `history_gone` makes the next feed call fail
    with 410. `feed_delay_s` returns for how long a feed call that has changes of a table is delayed.
    """

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = threading.Condition()
        self.down = False
        self.hung = False
        self.history_gone = False
        self.feed_delay_s = lambda table: 0.0
        self.calls = []
        # Open connections, and those of them that get no answer any more.
        self._connections = set()
        self._silent = set()
        # The table of the last read on each connection.
        self._tables = {}
        # Sent in all answers; each restore of a copy increments it.
        self.era = 0
        store = self

        class Handler(_Handler):
            def setup(self):
                super().setup()
                store._connections.add(self.connection)

            def do_GET(self):
                store._get(self)

            def do_POST(self):
                store._transact(self)

        super().__init__(Handler)

    def put(self, table, key, value):
        """Write a row as the operator or a worker does.

        `value` is written as JSON, bytes as they are; None removes the row.
        """
        encoded_json = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self._write(
                table, key, None if value is None else base64.b64encode(encoded_json).decode()
            )
            self.changed.notify_all()

    def snapshot(self):
        """Return a copy of the store's content for `restore`."""
        with self.changed:
            return dict(self.rows), list(self.log), self.version

    def restore(self, snapshot):
        """Restore a copy, which discards all later writes, and start a new era."""
        with self.changed:
            rows, log, self.version = snapshot
            self.rows, self.log = dict(rows), list(log)
            self.era += 1
            self.changed.notify_all()

    def serve_view(self, view_row):
        """Start another server of this store, which shows each row as `view_row` returns it."""
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store._get(self)

            def do_POST(self):
                store._transact(self)

            def view_row(self, row):
                return view_row(row)

        return _Server(Handler)

    def silence_connections(self, table=None):
        """Let all open connections go silent, or those that read a table; new ones work."""
        self._silent |= {
            connection
            for connection in self._connections
            if table is None or self._tables.get(connection) == table
        }

    def value(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row["Value"]))

    def _write(self, table, key, encoded):
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version}
        if encoded is None:
            self.rows.pop((table, key), None)
            self.log.append({**row, "Deleted": True})
        else:
            self.rows[table, key] = {**row, "Value": encoded}
            self.log.append(self.rows[table, key])

    def _respond(self, handler, status, body):
        if handler.connection in self._silent:
            time.sleep(MAX_START_S)
            raise ConnectionError("the connection is silent")
        if "Rows" in body:
            body = {**body, "Rows": [handler.view_row(row) for row in body["Rows"]]}
        body = {**body, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        handler.respond(status, json.dumps(body).encode(), headers)

    def _hang(self):
        if self.hung:
            wait_until(lambda: not self.hung, "the store goes on", MAX_START_S)
            raise ConnectionError("the call was lost")

    def _get(self, handler):
        url = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        self._tables[handler.connection] = query.get("Table")
        self._hang()
        if self.down:
            self._respond(handler, 503, {})
            return
        if url.path == "/v1/rows-get":
            first_key, end_key = query.get("From", ""), query.get("To")
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["Table"]
                and key >= first_key
                and (end_key is None or key < end_key)
            ]
            limit = int(query.get("Limit", 500))
            body = {"Rows": rows[:limit], "Truncated": len(rows) > limit}
            self._respond(handler, 200, body)
            return
        if self.history_gone:
            self.history_gone = False
            self._respond(handler, 410, {})
            return
        if int(query["after"]) > self.version:
            self._respond(handler, 410, {})
            return
        after, deadline = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            while True:
                rows = self._changes(query["Table"], after)
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0 or self.down:
                    break
                self.changed.wait(remaining_s)
        if rows and (delay_s := self.feed_delay_s(query["Table"])):
            time.sleep(delay_s)
            with self.changed:
                rows = self._changes(query["Table"], after)
        self._respond(handler, 200, {"Rows": rows})

    def _changes(self, table, after):
        return [row for row in self.log if row["Ver"] > after and row["Table"] == table]

    def _transact(self, handler):
        call = json.loads(handler.body())
        self.calls.append(handler.path)
        self._hang()
        if self.down:
            self._respond(handler, 503, {})
            return
        with self.changed:
            found = [self.rows.get((row["Table"], row["Key"])) for row in call["Precondition"]]
            versions = [row["Ver"] if row else 0 for row in found]
            if versions != [row["Ver"] for row in call["Precondition"]]:
                self._respond(handler, 412, {"Rows": [row for row in found if row]})
                return
            for row in call["Put"]:
                self._write(row["Table"], row["Key"], row["Value"])
            for row in call["Remove"]:
                self._write(row["Table"], row["Key"], None)
            self.changed.notify_all()
            self._respond(handler, 200, {})


class Worker(_Server):
    """A worker with configurable answers.

    `script` holds functions of the handler that answer one request each, in order; when it is
    empty, `default_answer` is called. `seen` holds method, path, headers and body of each request.
    While `limit` is a `LimitCount`, all answers name its limit, and it counts the requests.
    """

    def __init__(self, name, default_answer=None):
        self.name = name
        self.seen = []
        self.script = []
        self.default_answer = default_answer or send_whole
        self.limit = None
        self.cut_event = threading.Event()
        worker = self

        class Handler(_Handler):
            def send_response_only(self, code, message=None):
                super().send_response_only(code, message)
                if worker.limit is not None:
                    worker.limit.record_report(time.monotonic())
                    self.send_header("Server-Limit", str(worker.limit.per_s))

            def do(self):
                if worker.limit is not None:
                    worker.limit.record_arrival(time.monotonic())
                body = self.body()
                worker.seen.append((self.command, self.path, dict(self.headers), body))
                expected = self.headers.get("Expect-Instance", worker.name)
                if expected != worker.name:
                    self.respond(421, headers=[("Instance-Id", worker.name), *echo(self)])
                    return
                answer = worker.script.pop(0) if worker.script else worker.default_answer
                answer(self)

        for method in ("GET", "HEAD", "POST", "DELETE", "PUT"):
            setattr(Handler, f"do_{method}", Handler.do)
        super().__init__(Handler)

    def entry(self, service, **fields):
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1_800_000_000_000,
            **fields,
        }

    def requests(self, method=None):
        return [seen for seen in list(self.seen) if method in (None, seen[0])]


class Duties(_Server):
    """The platform's interface for usage reports and orders; `calls` holds the received calls."""

    def __init__(self):
        self.calls = []
        duties = self

        class Handler(_Handler):
            def do_POST(self):
                headers = dict(self.headers)
                duties.calls.append((self.path, headers, json.loads(self.body())))
                self.respond(200, b"{}")

        super().__init__(Handler)


class RelayProcess:
    """A relay process on loopback."""

    def __init__(self, world, name="relay-1"):
        self.name = name
        # A separate loopback address, and ports outside the range of outgoing connections, so that
        # nothing else on the machine can bind them before the relay does.
        self.host = fresh_host()
        self.port, self.ready_port, self.admin_port, self.peer_port, self.stream_port = RELAY_PORTS
        self.settings = world.folder / f"{name}.ini"
        self.settings.write_text(self._settings_text(world))
        self.log_path = world.folder / f"{name}.log"
        self.log = self.log_path.open("ab")
        environment = {**os.environ, "LABURNUMREEL_BOOT": str(self.settings)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "laburnumreel_platform"],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )

    def _settings_text(self, world):
        return (
            f"[host]\nname = {self.name}\nzone = zone-a\nregion = region-a\n"
            f"regions = zone-a=region-a,zone-b=region-b\n"
            f"[listen]\ncallers = {self.host}:{self.port}\nreadiness = {self.host}:{self.ready_port}\n"
            f"admin = {self.host}:{self.admin_port}\npeers = {self.host}:{self.peer_port}\n"
            f"streams = {self.host}:{self.stream_port}\n"
            f"[store]\naddress = {world.store_addresses.get(self.name, world.store.address)}\n"
            f"[duties]\naddress = {world.duties.address}\n"
            f"[usage]\nwindow_s = 1\nlate_s = 10\n"
            f"[log]\nlevel = debug\n"
            f"{world.extra_settings}"
        )

    def is_ready(self):
        return self.get(self.ready_port, "/v1/readiness")[0] == 200

    def get(self, port, path):
        try:
            with socket.create_connection((self.host, port), 1.0) as connection:
                connection.sendall(f"GET {path} HTTP/1.0\r\n\r\n".encode())
                answer = b""
                while data := connection.recv(65536):
                    answer += data
        except OSError:
            return 0, b""
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def find_log_lines(self, name):
        """Return the log lines of an event, by the event's name."""
        return [line for line in read_log_lines(self.log_path) if line.get("name") == name]

    @property
    def last_log_lines(self):
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_LINES_SHOWN:])

    def end(self, signal_number=signal.SIGTERM, timeout_s=15.0):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.process.wait(timeout_s)


class World:
    """The store, duties, workers and relays of one test."""

    def __init__(self, folder):
        self.folder = Path(folder)
        last_answers.clear()
        self.store, self.duties = Store(), Duties()
        self.workers, self.relays = {}, []
        # Addresses of the store that differ from its own, by relay.
        self.store_addresses = {}
        # Sections that a test adds to the settings of every relay.
        self.extra_settings = ""
        self.store.put("op", "config", config())

    def worker(self, name, service="orders", default_answer=None, **fields):
        worker = Worker(name, default_answer or (send_whole if service == "orders" else engine))
        self.workers[name] = worker
        self.store.put("servers", name, worker.entry(service, **fields))
        return worker

    def send_usage_to_holder_only(self):
        """List hosts that never answer, so that relays send usage counts only to the holder.

        Relays do so in deployments of more than a dozen hosts.
        """
        for number in range(USAGE_TO_ALL_MAX_HOSTS):
            row = {"address": f"127.250.0.{number + 1}:9", "boot": f"boot{number}"}
            self.store.put("relay_hosts", f"silent-{number}", row)

    def launch_relay(self, name):
        """Start a relay without waiting until it is ready."""
        relay = RelayProcess(self, name)
        self.relays.append(relay)
        return relay

    def start_relay(self, name="relay-1"):
        relay = self.launch_relay(name)
        try:
            wait_until(
                lambda: relay.process.poll() is not None or relay.is_ready(),
                "the relay is ready",
                MAX_START_S,
            )
            assert relay.process.poll() is None, "the relay has ended"
        except AssertionError as error:
            log = relay.log_path.read_text(errors="replace")[-4000:]
            raise AssertionError(f"{error}; exit {relay.process.poll()}; log: {log}") from None
        return relay

    def evidence(self):
        """Return the sections that the report of a failing test shows, by title."""
        found = {f"log of {relay.name}": relay.last_log_lines for relay in self.relays}
        return {"last answers": "\n".join(last_answers), **found}

    def end(self):
        for relay in self.relays:
            if relay.process.poll() is None:
                relay.process.kill()
            relay.process.wait()
            relay.log.close()
        for server in (self.store, self.duties, *self.workers.values()):
            server.end()
