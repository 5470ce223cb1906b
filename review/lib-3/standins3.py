"""Stand-ins of the users' platform, servers and callers for the scripts of review 3.

They use the standard library only. Relays are separate processes, started with the command of the
deploy file; everything listens on loopback addresses.
"""

import base64
import contextlib
import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.2
BORN_MS = 1_800_000_000_000
CALLERS_PORT, READY_PORT, PEERS_PORT, ADMIN_PORT, STREAMS_PORT = 8368, 8369, 7780, 7790, 7791

# Set by a script: whether it causes the disruption of its case.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    @property
    def now(self):
        return time.monotonic() - self._began_at

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now:8.3f} {text}\n")
            self._file.flush()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536

    def log_message(self, *arguments):
        """Suppress the access log."""

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def finish(self):
        with contextlib.suppress(OSError):
            super().finish()

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Connections that break off are no error here."""


class _Listener:
    def __init__(self, handler, host="127.0.0.1"):
        self.server = _Server((host, 0), handler)
        self.address = "{}:{}".format(*self.server.server_address)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def end(self):
        self.server.shutdown()
        self.server.server_close()


class Store(_Listener):
    """The platform's metadata store, with pages, the feed, and a drill that restores a copy.

    `on_page` is called after each page of a table that says that more rows follow.
    """

    def __init__(self):
        self.rows, self.log, self.version, self.era = {}, [], 0, 0
        self.changed = threading.Condition()
        self.is_away = False
        self.on_page = lambda table: None
        # Whether a heartbeat that changes no more than `Sequence` leaves the row as it is.
        self.skips_beats = False
        # Called before a heartbeat is performed late, with the worker's name and `Sequence`.
        self.record_late = lambda name, sequence: None
        # The calls of feeds that wait for a change: table, when they began, and whether the
        # connection is silent.
        self.waiting = []
        self._copies = []
        store = self

        class Handler(_Handler):
            def do_GET(self):  # noqa: N802
                store._get(self)

            def do_POST(self):  # noqa: N802
                store._transact(self)

        super().__init__(Handler)

    def put(self, table, key, value):
        """Write a row as the operator or a worker does; None removes it, bytes are kept as is."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            if self.skips_beats and self._is_beat(table, key, value):
                return
            self._write(table, key, None if value is None else base64.b64encode(raw).decode())
            self.changed.notify_all()

    def _is_beat(self, table, key, value):
        row = self.rows.get((table, key))
        if row is None or not isinstance(value, dict) or "Sequence" not in value:
            return False
        known = json.loads(base64.b64decode(row["Value"]))
        return {**known, "Sequence": 0} == {**value, "Sequence": 0}

    def keep_copies(self, interval_s, age_s):
        """Keep copies of the last `age_s` seconds, for `drill`."""

        def run():
            while True:
                with self.changed:
                    copy = time.monotonic(), dict(self.rows), len(self.log), self.version
                    self._copies.append(copy)
                    oldest = time.monotonic() - age_s - interval_s
                    self._copies = [each for each in self._copies if each[0] >= oldest]
                time.sleep(interval_s)

        threading.Thread(target=run, daemon=True).start()

    def drill(self, away_s):
        """Be away for some seconds, and come back from the oldest copy. Return its age."""
        with self.changed:
            self.is_away = True
            began_at = time.monotonic()
            at, rows, log_length, version = self._copies[0]
            self.changed.notify_all()
        time.sleep(away_s)
        with self.changed:
            self.rows, self.log, self.version = rows, self.log[:log_length], version
            self.era += 1
            self.is_away = False
            self.changed.notify_all()
        return began_at - at

    def _write(self, table, key, encoded):
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version}
        if encoded is None:
            self.rows.pop((table, key), None)
            self.log.append({**row, "Deleted": True})
        else:
            self.rows[table, key] = {**row, "Value": encoded}
            self.log.append(self.rows[table, key])

    def _respond(self, handler, status, body, version=None):
        if self.is_away:
            raise ConnectionError("the store is away")
        body = {**body, "Ver": self.version if version is None else version}
        body["NowMs"] = int(time.monotonic() * 1000)
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        handler.respond(status, json.dumps(body).encode(), headers)

    def _get(self, handler):
        if self.is_away:
            raise ConnectionError("the store is away")
        url = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            self._get_page(handler, query)
        else:
            self._feed(handler, query)

    def _get_page(self, handler, query):
        first, end = query.get("From", ""), query.get("To")
        limit = min(MAX_PAGE_ROWS, int(query.get("Limit", MAX_PAGE_ROWS)))
        with self.changed:
            found = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["Table"] and key >= first and (end is None or key < end)
            ]
            version = self.version
        page, size = [], 0
        for row in found:
            size += len(row["Value"])
            if len(page) >= limit or (page and size > MAX_PAGE_BYTES):
                break
            page.append(row)
        truncated = len(page) < len(found)
        self._respond(handler, 200, {"Rows": page, "Truncated": truncated}, version)
        if truncated and limit > 1:
            self.on_page(query["Table"])

    def _feed(self, handler, query):
        after, deadline = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        call = {"table": query["Table"], "began_at": time.monotonic(), "is_silent": False}
        with self.changed:
            self.waiting.append(call)
            try:
                answer = self._wait_for_rows(query["Table"], after, deadline, call)
            finally:
                self.waiting.remove(call)
        if call["is_silent"]:
            # The connection stays open, and nothing comes on it any more.
            threading.Event().wait()
        self._respond(handler, *answer)

    def silence(self, table):
        """Make the connections silent on which calls wait for a change of a table."""
        with self.changed:
            for call in self.waiting:
                if call["table"] == table:
                    call["is_silent"] = True
            self.changed.notify_all()

    def _wait_for_rows(self, table, after, deadline, call):
        with self.changed:
            era = self.era
            if after > self.version:
                return 410, {}
            while True:
                rows = [row for row in self.log if row["Ver"] > after and row["Table"] == table]
                left_s = deadline - time.monotonic()
                is_over = rows or left_s <= 0 or call["is_silent"]
                if is_over or self.is_away or era != self.era:
                    break
                self.changed.wait(left_s)
            if era != self.era:
                raise ConnectionError("the store was away")
            return 200, {"Rows": rows}, self.version

    def _transact(self, handler):
        call = json.loads(handler.read_body())
        with self.changed:
            if self.is_away:
                raise ConnectionError("the store is away")
            found = [self.rows.get((row["Table"], row["Key"])) for row in call["Precondition"]]
            versions = [row["Ver"] if row else 0 for row in found]
            if versions != [row["Ver"] for row in call["Precondition"]]:
                return self._respond(handler, 412, {"Rows": [row for row in found if row]})
            for row in call["Put"]:
                self._write(row["Table"], row["Key"], row["Value"])
            for row in call["Remove"]:
                self._write(row["Table"], row["Key"], None)
            self.changed.notify_all()
            self._respond(handler, 200, {})
        return None


class Duties(_Listener):
    """The platform's interface for usage reports. It accepts all, as it does not check fences.

    `reports` holds time, holder, fencing token, window and counts of each report. `on_report` is
    called after a report was answered.
    """

    def __init__(self, record):
        self.reports = []
        self.on_report = lambda holder, window: None
        duties = self

        class Handler(_Handler):
            def do_POST(self):  # noqa: N802
                body = json.loads(self.read_body())
                holder, fence = self.headers["Lease-Holder"], self.headers["Fencing-Token"]
                if self.path == "/usage":
                    report = (record.now, holder, int(fence), body["WindowId"], body["Counts"])
                    duties.reports.append(report)
                    counts = json.dumps(body["Counts"], sort_keys=True)
                    record.write(
                        f"platform accepts usage of window {body['WindowId']} from {holder},"
                        f" token {fence}: {counts}"
                    )
                self.respond(200, b"{}")
                if self.path == "/usage":
                    duties.on_report(holder, body["WindowId"])

        super().__init__(Handler)


class Worker(_Listener):
    """A worker of a plain service, which writes its entry again at each heartbeat.

    `arrivals` holds time and id of each request that it ran.
    """

    def __init__(self, name, service, store, record, work_s=0.01, slots=8):
        self.name, self.service, self.store = name, service, store
        self.slots = slots
        self.arrivals = []
        self.is_listed = True
        # Returns for how many seconds the store leaves the next heartbeat undone.
        self.beat_delay_s = lambda: 0.0
        self._has_exited = False
        self._connections = set()
        self._beat = 0
        worker = self

        class Handler(_Handler):
            def setup(self):
                super().setup()
                worker._connections.add(self.connection)

            def run(self):
                self.read_body()
                if worker._has_exited:
                    raise ConnectionError("the worker has exited")
                request_id = self.headers.get("Request-Id", "")
                echo = [("Request-Id", request_id)]
                if self.headers.get("Expect-Instance", name) != name:
                    return self.respond(421, headers=[*echo, ("Instance-Id", name)])
                worker.arrivals.append((time.monotonic(), request_id))
                time.sleep(work_s)
                signature = ("Response-Signature", f"s.{request_id}")
                # "A worker that leaves says so in all its answers too" (LETTER-4.md).
                leaving = [] if worker.is_listed else [("Server-Leaving", "1")]
                self.respond(200, b"done " + request_id.encode(), [*echo, signature, *leaving])
                return None

            do_GET = do_POST = run  # noqa: N815

        super().__init__(Handler)
        threading.Thread(target=self._write_entries, daemon=True).start()

    def exit(self):
        """End as a process does: all connections are closed, and no new one is accepted."""
        self._has_exited = True
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.server.shutdown()
        self.server.server_close()

    def _write_entries(self):
        while self.is_listed:
            self._beat += 1
            entry, delay_s = self._entry(), self.beat_delay_s()
            if delay_s:
                threading.Timer(delay_s, self._write_late, (entry,)).start()
            else:
                self.store.put("servers", self.name, entry)
            time.sleep(HEARTBEAT_S)

    def _write_late(self, entry):
        self.store.record_late(self.name, entry["Sequence"])
        self.store.put("servers", self.name, entry)

    def _entry(self):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._beat,
            "born": BORN_MS,
        }


class Relay:
    """A relay process, started with the command of the deploy file."""

    def __init__(self, name, world):
        self.name, self._world = name, world
        self.host = world.fresh_host()
        self._settings = world.folder / f"{name}.ini"
        self._settings.write_text(world.settings(self))
        self.process = None
        self.started_at = 0.0

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LABURNUMREEL_BOOT": str(self._settings),
        }
        # Only for a dump of the threads' stacks when the script ends the relay with SIGABRT.
        if "PYTHONFAULTHANDLER" in os.environ:
            environment["PYTHONFAULTHANDLER"] = os.environ["PYTHONFAULTHANDLER"]
        self.started_at = time.monotonic()
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "laburnumreel_platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.host, READY_PORT, timeout=1.0)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class World:
    """The stand-ins and relays of one script, in a temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.duties = Duties(self.record)
        self.relays = []
        self._hosts = itertools.count(1)
        self._net = random.randint(16, 250)
        self._ids = itertools.count(1)
        self.bounds = {"drain_ms": 2500, "window_s": 5, "late_s": 10}

    def fresh_host(self):
        """Return a loopback address on which nobody uses the ports of a relay."""
        while True:
            number = next(self._hosts)
            host = f"127.{self._net}.{number // 250}.{number % 250 + 1}"
            with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
                for port in (CALLERS_PORT, READY_PORT, ADMIN_PORT, STREAMS_PORT):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
                return host

    def settings(self, relay):
        """Return what the platform makes of deploy/relay.ini for a small deployment."""
        host = relay.host
        return (
            f"[host]\nname = {relay.name}\nzone = zone-a\nregion = region-a\n"
            f"regions = zone-a=region-a\n"
            f"[listen]\ncallers = {host}:{CALLERS_PORT}\nreadiness = {host}:{READY_PORT}\n"
            f"admin = {host}:{ADMIN_PORT}\npeers = {host}:{PEERS_PORT}\n"
            f"streams = {host}:{STREAMS_PORT}\nforwarded = {host}:{STREAMS_PORT}\n"
            f"[store]\naddress = {self.store.address}\nwrites_per_s = 400\nreads_per_s = 2000\n"
            f"[back_ends]\ndrain_ms = {self.bounds['drain_ms']}\nheartbeat_ms = 1200\n"
            f"[duties]\naddress = {self.duties.address}\n"
            f"[retry]\nratio = 0.2\nslack = 54\nwindow_s = 10\n"
            f"[usage]\nwindow_s = {self.bounds['window_s']}\nlate_s = {self.bounds['late_s']}\n"
            f"[memory]\nhost_mb = 300\n[stop]\ngrace_s = 8\n"
        )

    def add_relay(self, name):
        relay = Relay(name, self)
        self.relays.append(relay)
        return relay

    def wait_until(self, condition, description, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.02)
        raise CaseError(f"not within {seconds} s: {description}")

    def call(self, relay, path, method="GET", key="key-a", deadline_ms=3000, body=None):
        """Send a request on a new connection; return its id, and its status or 0."""
        request_id = f"{next(self._ids):08x}{random.getrandbits(32):08x}"
        headers = {"Host": "shop.example", "Request-Id": request_id, "Key": key}
        headers["Deadline-Ms"] = str(deadline_ms)
        connection = http.client.HTTPConnection(
            relay.host, CALLERS_PORT, timeout=deadline_ms / 1000 + 1
        )
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            answer.read()
            return request_id, answer.status
        except (OSError, http.client.HTTPException):
            return request_id, 0
        finally:
            connection.close()

    def end(self):
        for relay in self.relays:
            relay.kill()
        for relay in self.relays:
            if relay.process is not None:
                relay.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, tenants=("hall-a",)):
    """Return a configuration with a plain service `orders`."""
    route = {
        "Host": "shop.example",
        "Service": "orders",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }
    once = {"Name": "once", "Prefix": "/once/", "RouteType": "non_idempotent", "MaxAttempts": 1}
    return {
        "Version": version,
        "Routes": [
            {**route, "Name": "safe", "Prefix": "/safe/", "RouteType": "idempotent"},
            {**route, **once},
        ],
        "Services": [{"Name": "orders", "HealthPath": "/health", "MaxConnections": 100}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": name, "ApiKeys": [f"key-{name[-1]}"]} for name in tenants],
    }


def run_case(folder, case):
    """Run `case(world)`, which returns whether the rule was broken; exit with 1, 0 or 2."""
    # A script that is ended early ends what it has started, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    world = World(folder)
    try:
        is_broken = case(world)
        world.record.write("the rule was broken" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    except CaseError as error:
        world.record.write(f"the case could not run: {error}")
        status = 2
    except SystemExit:
        status = 2
    except Exception as error:
        # An error of the script itself says nothing about the rule.
        world.record.write(f"the script failed: {error!r}")
        status = 2
    finally:
        world.end()
    print({0: "held", 1: "broken", 2: "not run"}[status], flush=True)
    # Callers' threads that still run must not keep a script that was ended early.
    os._exit(status)
