"""Stand-ins of the users' platform for the review's scripts, with nothing but the standard library.

A store with versioned rows, the interface for duties, workers that own their sockets (so that a
script decides each byte of an answer), relays started with the command of the deploy file, and
clients. All addresses are loopback addresses.
"""

import base64
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEY = "key-a"
HEARTBEAT_S = 1.2
START_LIMIT_S = 60.0


class CannotRunError(Exception):
    """The case could not run, which says nothing of the rule."""


def trouble_is_on():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file with what was sent, answered and run, in seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536

    def log_message(self, *arguments):
        """Write no log."""

    def respond(self, status, body):
        payload = json.dumps(body).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def call(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except ConnectionError:
            self.close_connection = True

    def finish(self):
        try:
            super().finish()
        except ConnectionError:
            return


class _Server:
    def __init__(self, handler, host="127.0.0.1"):
        self.server = ThreadingHTTPServer((host, 0), handler)
        self.server.daemon_threads = True
        self.address = "{}:{}".format(*self.server.server_address[:2])
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()


class Store(_Server):
    """The platform's store: rows, transactions and the feed."""

    def __init__(self):
        self._rows, self._log, self._version = {}, [], 0
        self._changed = threading.Condition()
        # Open connections, and those of them that have gone silent.
        self._connections, self._silent = set(), set()
        store = self

        class Handler(_Handler):
            def setup(self):
                super().setup()
                store._connections.add(self.connection)

            def finish(self):
                store._connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                store._get(self)

            def do_POST(self):
                store._transact(self)

        super().__init__(Handler)

    def put(self, table, key, value):
        """Write a row as the operator or a worker does; None removes it."""
        with self._changed:
            encoded = value if value is None else base64.b64encode(json.dumps(value).encode())
            self._write(table, key, encoded and encoded.decode())
            self._changed.notify_all()

    def value(self, table, key):
        with self._changed:
            row = self._rows.get((table, key))
        return row and json.loads(base64.b64decode(row["Value"]))

    def silence_connections(self):
        """Let all open connections go silent for good; new ones work."""
        self._silent |= self._connections

    def _write(self, table, key, encoded):
        self._version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self._version}
        if encoded is None:
            self._rows.pop((table, key), None)
            self._log.append({**row, "Deleted": True})
        else:
            self._rows[table, key] = {**row, "Value": encoded}
            self._log.append(self._rows[table, key])

    def _respond(self, handler, status, body):
        body = {**body, "Ver": self._version, "NowMs": int(time.monotonic() * 1000)}
        handler.respond(status, body)

    def _hold_if_silent(self, handler):
        """Wait for ever on a silent connection: nothing that is sent on it arrives."""
        while handler.connection in self._silent:
            time.sleep(1.0)

    def _get(self, handler):
        self._hold_if_silent(handler)
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            first, end = query.get("From", ""), query.get("To")
            with self._changed:
                rows = [
                    row
                    for (table, key), row in sorted(self._rows.items())
                    if table == query["Table"] and key >= first and (end is None or key < end)
                ]
                limit = min(500, int(query.get("Limit", 500)))
                self._respond(handler, 200, {"Rows": rows[:limit], "Truncated": len(rows) > limit})
            return
        after, deadline = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        with self._changed:
            while True:
                rows = [
                    row
                    for row in self._log
                    if row["Ver"] > after and row["Table"] == query["Table"]
                ]
                left_s = deadline - time.monotonic()
                if rows or left_s <= 0 or handler.connection in self._silent:
                    break
                self._changed.wait(left_s)
            if handler.connection not in self._silent:
                self._respond(handler, 200, {"Rows": rows})
                return
        self._hold_if_silent(handler)

    def _transact(self, handler):
        call = handler.call()
        with self._changed:
            found = [self._rows.get((row["Table"], row["Key"])) for row in call["Precondition"]]
            versions = [row["Ver"] if row else 0 for row in found]
            if versions != [row["Ver"] for row in call["Precondition"]]:
                self._respond(handler, 412, {"Rows": [row for row in found if row]})
                return
            for row in call["Put"]:
                self._write(row["Table"], row["Key"], row["Value"])
            for row in call["Remove"]:
                self._write(row["Table"], row["Key"], None)
            self._changed.notify_all()
            self._respond(handler, 200, {})


class Duties(_Server):
    """The platform's API for usage reports and orders of workers; it accepts all calls."""

    def __init__(self):
        self.calls = []
        duties = self

        class Handler(_Handler):
            def do_POST(self):
                duties.calls.append((time.monotonic(), self.path, dict(self.headers), self.call()))
                self.respond(200, {})

        super().__init__(Handler)


class Request:
    """A request as a worker has read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def id(self):
        return self.headers.get("request-id", "")


class Worker:
    """A worker that gives each request to `answer(worker, connection, request)`.

    `runs` has the id of each request that began to run, and the time. The worker writes its entry
    at each heartbeat.
    """

    def __init__(
        self, store, name, service, answer, slots, port=0, first_beat_after_s=0.0, **fields
    ):
        self.store, self.name, self.service = store, name, service
        self.runs, self.lock = [], threading.Lock()
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._first_beat_after_s = first_beat_after_s
        self.sequence = 0
        self._leaves = threading.Event()
        self._connections = set()
        # How much later the store performs the next beat, 0 for at once, and what is told then.
        self.beat_delay_s = lambda: 0.0
        self.on_late_beat = lambda sequence: None
        self._entry = {
            "Service": service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "born": int(time.time() * 1000),
            **fields,
        }
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def record_run(self, request):
        with self.lock:
            self.runs.append((request.id, time.monotonic()))

    def leave_unsaid(self):
        """Remove the entry without a word that the worker drains; it continues to serve."""
        with self.lock:
            self._leaves.set()
            self.store.put("servers", self.name, None)
            return time.monotonic()

    def _put_late(self, entry):
        self.store.put("servers", self.name, entry)
        self.on_late_beat(entry["Sequence"])

    def _beat(self):
        self._leaves.wait(self._first_beat_after_s)
        while not self._leaves.is_set():
            with self.lock:
                if not self._leaves.is_set():
                    self.sequence += 1
                    entry = {**self._entry, "Sequence": self.sequence}
                    delay_s = self.beat_delay_s()
                    if delay_s:
                        # The store does not answer, and performs the call later.
                        threading.Timer(delay_s, self._put_late, (entry,)).start()
                    else:
                        self.store.put("servers", self.name, entry)
            self._leaves.wait(HEARTBEAT_S)

    def end(self):
        """End the worker as its process would: no port, no connection, no heartbeat."""
        self._leaves.set()
        # A close alone would leave the thread that accepts connections in its wait.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while (request := _read_request(reader)) is not None:
                expected = request.headers.get("expect-instance", self.name)
                if expected != self.name:
                    head = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                    head += f"Request-Id: {request.id}\r\nContent-Length: 0\r\n\r\n"
                    connection.sendall(head.encode())
                    continue
                self._answer(self, connection, request)
        except (OSError, ValueError):
            return
        finally:
            self._connections.discard(connection)
            reader.close()
            connection.close()


def _read_request(reader):
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline().decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length") or 0))
    return Request(method, target, headers, body)


def whole_answer(request, status, reason, body, signature):
    """Return the bytes of an answer with the worker's signature."""
    head = (
        f"HTTP/1.1 {status} {reason}\r\nRequest-Id: {request.id}\r\n"
        f"Response-Signature: {signature}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def render_template(text, fields):
    """Fill in a template of the deploy file, as far as the relay's one uses the language."""

    def lookup(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return ""
        return value

    def section(match):
        value, inner = lookup(match[1]), match[2]
        if isinstance(value, dict):
            items = list(value.items())
            return "".join(
                inner.replace("{{@}}", key)
                .replace("{{.}}", str(each))
                .replace("{{,}}", "," if number < len(items) else "")
                for number, (key, each) in enumerate(items, 1)
            )
        return inner if value != "" else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match[1])), text)


class Relay:
    """A relay, started with the deploy file's command on a loopback address of its own."""

    def __init__(self, folder, number, store, duties, zone="zone-a", region="region-a", **bounds):
        self.name = f"front-{number}"
        self.host = free_host(number)
        self.front_port, self.ready_port = 8368, 8369
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        fields = {
            "NodeName": self.name,
            "Ip": self.host,
            "Zone": zone,
            "Region": region,
            "Zones": {"zone-a": "region-a", "zone-b": "region-b"},
            "Listen": {
                "Front": f"{self.host}:{self.front_port}",
                "Ready": f"{self.host}:{self.ready_port}",
            },
            "InternalPorts": [7780, 7795],
            "Limits": {"MemoryMb": 300},
            "Platform": {"Address": store, "WritesPerS": 400, "ReadsPerS": 2000},
            "CloudApi": {"Address": duties},
            "Bounds": {
                "DrainMs": 2500,
                "RetryBudgetRatio": 0.2,
                "BudgetSlack": 54,
                "BudgetWindowS": 10,
                "WindowS": 5,
                "UsageLateS": 10,
                "GraceS": 8,
                **bounds,
            },
        }
        self.settings = Path(folder) / f"{self.name}.ini"
        self.settings.write_text(render_template((ROOT / role["template"]).read_text(), fields))
        self._command = role["run"].split()
        self._log = (Path(folder) / f"{self.name}.log").open("ab")
        self.start()

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LABURNUMREEL_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(
            self._command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def is_ready(self):
        connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


_network = f"127.{random.SystemRandom().randrange(20, 250)}.{random.SystemRandom().randrange(250)}"


def free_host(number):
    """Return a loopback address on which all ports of a relay are free."""
    host = f"{_network}.{number}"
    for kind, ports in (
        (socket.SOCK_STREAM, (8368, 8369, 7790, 7791)),
        (socket.SOCK_DGRAM, (7780, 7791)),
    ):
        for port in ports:
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError as error:
                    raise CannotRunError(f"{host}:{port}: {error}") from error
    return host


def wait_until(condition, what, limit_s=START_LIMIT_S):
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= deadline:
            raise CannotRunError(f"not within {limit_s:.0f} s: {what}")
        time.sleep(0.05)


class Client:
    """A client with one kept connection, which takes a new one after the relay has closed it."""

    def __init__(self, relay, timeout_s=8.0):
        self._relay, self._timeout_s = relay, timeout_s
        self._connection = None

    def ask(self, method, path, request_id, body=None, deadline_ms=3000, **headers):
        """Return status, headers by lower-case name and body; status 0 for no whole answer."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._relay.host, self._relay.front_port, timeout=self._timeout_s
            )
        all_headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Key": KEY,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        try:
            self._connection.request(method, path, body, all_headers)
            answer = self._connection.getresponse()
            payload = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return 0, {}, repr(error).encode()
        found = {name.lower(): value for name, value in answer.getheaders()}
        if answer.will_close:
            self.close()
        return answer.status, found, payload

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def route(name, kind, service, **fields):
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        "GapAimMs": 250,
        **fields,
    }


def config(routes, services, version=1, keys=(KEY,)):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hall-a", "ApiKeys": list(keys), "Priority": 1}],
    }


def plain_service(name, connections=100):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": connections}


# The exit code of a case that broke the rule; 1 is that of an error in Python.
BROKEN_EXIT_CODE = 10


def run_case(case, folder, scratch):
    """Run `case(record, scratch, relays)`, end the relays and exit.

    The exit code is `BROKEN_EXIT_CODE` if the rule was broken, 0 if it held, and 2 otherwise.
    """
    record, relays = Record(folder), []

    def stop(number, frame):
        raise CannotRunError("the time is over")

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = case(record, scratch, relays)
        record.write("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        code = BROKEN_EXIT_CODE if broken else 0
    except Exception as error:
        record.write(f"RESULT: the case could not run: {error!r}")
        code = 2
    finally:
        for relay in relays:
            relay.end()
        record.close()
    sys.stdout.flush()
    os._exit(code)
