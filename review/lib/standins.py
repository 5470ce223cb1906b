"""Small stand-ins of the platform, its workers and its clients, for the scripts of this review.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and use the standard library only. All
addresses are on loopback, and all ports are free ones.
"""

import base64
import contextlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
START_LIMIT_S = 40.0
# `HeartbeatMs` of the settings.
HEARTBEAT_S = 1.2
# After this long a script ends what it started and says that it could not run.
CASE_LIMIT_S = 110
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def add(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignore connections that the other end has reset."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536

    def log_message(self, *arguments):
        """Suppress the access log."""

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _Server:
    # Connections that may wait until they are accepted.
    listen_backlog = 256

    def __init__(self, handler):
        self._handler, self.port = handler, 0
        self.listen_again()
        self.address = f"{HOST}:{self.port}"

    def listen_again(self):
        """Listen on the same port, or on a free one at first."""
        self._server = _QuietServer((HOST, self.port), self._handler, bind_and_activate=False)
        self._server.request_queue_size = self.listen_backlog
        self._server.server_bind()
        self._server.server_activate()
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()


class Store(_Server):
    """The platform's store: versioned rows, transactions, and the feed of changes."""

    def __init__(self):
        self._rows, self._log, self._version = {}, [], 0
        self._changed = threading.Condition()
        # The calls that followed a table: time, the relay whose address it was, table, wait in ms.
        self.polls = []
        super().__init__(self._make_handler(""))

    def _make_handler(self, relay):
        store = self

        class Handler(_Handler):
            relay_name = relay

            def do_GET(self):
                store._get(self)

            def do_POST(self):
                store._transact(self)

        return Handler

    def open_address(self, relay):
        """Return a further server of the same store, to tell the calls of one relay apart."""
        return _Server(self._make_handler(relay))

    def put(self, table, key, value):
        """Write a row as the operator or a worker does; None removes it."""
        encoded = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._write(table, key, encoded)
            self._changed.notify_all()

    def value(self, table, key):
        """Return the value of a row, or None."""
        with self._changed:
            row = self._rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row["Value"]))

    def _write(self, table, key, encoded):
        self._version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self._version}
        if encoded is None:
            self._rows.pop((table, key), None)
            self._log.append({**row, "Deleted": True})
        else:
            self._rows[table, key] = {**row, "Value": encoded}
            self._log.append(self._rows[table, key])

    def _answer(self, handler, status, body):
        body = {**body, "Ver": self._version, "NowMs": int(1000 * time.monotonic())}
        headers = [("Content-Type", "application/json")]
        handler.respond(status, json.dumps(body).encode(), headers)

    def _get(self, handler):
        url = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            begin, end = query.get("From", ""), query.get("To")
            with self._changed:
                rows = [
                    row
                    for (table, key), row in sorted(self._rows.items())
                    if table == query["Table"] and key >= begin and (end is None or key < end)
                ]
            limit = int(query.get("Limit", 500))
            body = {"Rows": rows[:limit], "Truncated": len(rows) > limit}
            self._answer(handler, 200, body)
            return
        self.polls.append(
            (time.monotonic(), handler.relay_name, query["Table"], int(query["WaitMs"]))
        )
        after, until = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        with self._changed:
            while True:
                rows = [
                    row
                    for row in self._log
                    if row["Ver"] > after and row["Table"] == query["Table"]
                ]
                left_s = until - time.monotonic()
                if rows or left_s <= 0:
                    break
                self._changed.wait(left_s)
        self._answer(handler, 200, {"Rows": rows})

    def _transact(self, handler):
        call = json.loads(handler.body())
        with self._changed:
            found = [self._rows.get((row["Table"], row["Key"])) for row in call["Precondition"]]
            versions = [row["Ver"] if row else 0 for row in found]
            if versions != [row["Ver"] for row in call["Precondition"]]:
                self._answer(handler, 412, {"Rows": [row for row in found if row]})
                return
            for row in call["Put"]:
                self._write(row["Table"], row["Key"], row["Value"])
            for row in call["Remove"]:
                self._write(row["Table"], row["Key"], None)
            self._changed.notify_all()
            self._answer(handler, 200, {})


class Duties(_Server):
    """The platform's interface for usage reports and orders; `calls` holds what came."""

    def __init__(self, record):
        self.calls = []
        duties = self

        class Handler(_Handler):
            def do_POST(self):
                body = json.loads(self.body())
                duties.calls.append((time.monotonic(), self.path, dict(self.headers), body))
                record.add(
                    f"platform {self.path} holder={self.headers.get('Lease-Holder')}"
                    f" fence={self.headers.get('Fencing-Token')} {json.dumps(body)}"
                )
                self.respond(200, b"{}")

        super().__init__(Handler)


class Run:
    """One request that a worker began to work on."""

    def __init__(self, worker, handler, body):
        self.worker, self.at = worker, time.monotonic()
        self.method, self.path = handler.command, handler.path
        self.headers, self.body_size = dict(handler.headers), len(body)
        self.request_id = handler.headers.get("Request-Id")


class Worker(_Server):
    """A sound worker of a plain service that works `work_s` seconds on each request."""

    def __init__(self, name, service, record, work_s=0.02, slots=8):
        self.name, self.service, self.work_s, self.slots = name, service, work_s, slots
        self.runs = []
        # The ids of the requests that were answered, and whether the worker has exited.
        self.answered, self._has_exited = set(), False
        self._sequence = 0
        self._born = int(1000 * time.time())
        worker = self

        class Handler(_Handler):
            def do(self):
                body = self.body()
                if worker._has_exited:
                    self.close_connection = True
                    return
                request_id = self.headers.get("Request-Id", "")
                echo = [("Request-Id", request_id)]
                if self.headers.get("Expect-Instance", worker.name) != worker.name:
                    self.respond(421, headers=[("Instance-Id", worker.name), *echo])
                    return
                run = Run(worker.name, self, body)
                worker.runs.append(run)
                record.add(
                    f"worker {worker.name} of {worker.service} runs {request_id}"
                    f" {run.method} {run.path} body={run.body_size}"
                    f" tenant={self.headers.get('Tenant-Id')}"
                )
                if not worker.begin(run, self):
                    return
                if worker._has_exited:
                    self.close_connection = True
                    return
                worker.answered.add(request_id)
                answer = f"{worker.name} {request_id}".encode()
                self.respond(200, answer, [*echo, ("Response-Signature", f"s.{request_id}")])

        for method in ("GET", "POST", "PUT", "DELETE"):
            setattr(Handler, f"do_{method}", Handler.do)
        super().__init__(Handler)

    def begin(self, run, handler):
        """Work on a request; return whether it is to be answered."""
        time.sleep(self.work_s)
        return True

    def exit(self):
        """End as a process does: nothing is answered or accepted any more."""
        self._has_exited = True
        self.stop()

    def entry(self, **fields):
        """Return the worker's entry in the store, with the next sequence number."""
        self._sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born,
            **fields,
        }


def beat_on(store, workers):
    """Write the entries of the workers now, and again each heartbeat until the process ends."""

    def beat():
        for worker in workers:
            store.put("servers", worker.name, worker.entry())

    def run():
        while True:
            time.sleep(HEARTBEAT_S)
            beat()

    beat()
    threading.Thread(target=run, daemon=True).start()


def route(name, prefix, service, kind="idempotent", **fields):
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": "shop.example",
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        "GapAimMs": 250,
        **fields,
    }


def config(version, routes, services, tenants):
    """Return a configuration as the operator writes it; limits are those of the `wire` example."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConnections": 200} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants,
    }


_relay_numbers = itertools.count(1)


def fresh_host():
    """Return a loopback address of this process that no relay has yet.

    With ports below those of outgoing connections, nothing takes a relay's ports while it is down.
    """
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{next(_relay_numbers)}"


def free_port(host, first, kind=socket.SOCK_STREAM):
    """Return the first free port of an address from `first` on."""
    for port in range(first, first + 100):
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port
    raise CannotRunError(f"no port is free from {first} on")


class Relay:
    """A relay, started with the command of the deploy file and the settings of its template."""

    def __init__(self, name, folder, store, duties, record, memory_mb=300, store_address=None):
        self.name, self._record = name, record
        self.host = fresh_host()
        self.port = free_port(self.host, 18000)
        self.ready_port = free_port(self.host, 18100)
        self.admin_port = free_port(self.host, 18200)
        self.peer_port = free_port(self.host, 18300, socket.SOCK_DGRAM)
        self._settings = Path(folder) / f"{name}.ini"
        self._settings.write_text(
            f"[host]\nname = {name}\nzone = zone-a\nregion = region-a\nregions = zone-a=region-a\n"
            f"[listen]\ncallers = {self.host}:{self.port}\nreadiness = {self.host}:{self.ready_port}\n"
            f"admin = {self.host}:{self.admin_port}\npeers = {self.host}:{self.peer_port}\n"
            f"[store]\naddress = {store_address or store.address}\n"
            "writes_per_s = 400\nreads_per_s = 2000\n"
            f"[duties]\naddress = {duties.address}\n"
            "[retry]\nratio = 0.2\nslack = 54\nwindow_s = 10\n"
            "[usage]\nwindow_s = 5\nlate_s = 10\n"
            f"[memory]\nhost_mb = {memory_mb}\n"
            "[stop]\ngrace_s = 8\n"
        )
        self._log = (Path(folder) / f"{name}.log").open("ab")
        self.log_path = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        words = _deploy_command()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LABURNUMREEL_BOOT"] = str(self._settings)
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._record.add(f"started {self.name} with the command of the deploy file")

    def wait_ready(self):
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            if self.is_ready():
                self._record.add(f"{self.name} is ready")
                return
            time.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready in time")

    def is_ready(self):
        connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1.0)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number):
        self._record.add(f"sent {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def resident_bytes(self):
        """Return the memory that the process holds now, or 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return 1024 * int(line.split()[1])
        return 0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._log.close()


def _deploy_command():
    """Return the words of the relay's command in the deploy file, with this Python."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["relay"]["run"].split()
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


class Client:
    """A client that keeps one connection open."""

    def __init__(self, relay, record, timeout_s=12.0):
        self._connection = http.client.HTTPConnection(relay.host, relay.port, timeout=timeout_s)
        self._record = record
        self.requests = 0

    def send(self, request_id, method, path, key="key-a", body=None, deadline_ms=8000, note=True):
        """Send a request; return status, headers and body, or None without a whole answer."""
        headers = {"Host": "shop.example", "Request-Id": request_id, "Deadline-Ms": deadline_ms}
        if key is not None:
            headers["Key"] = key
        headers = {name: str(value) for name, value in headers.items()}
        if note:
            size = len(body) if body is not None else 0
            self._record.add(f"client sends {request_id} {method} {path} body={size} key={key}")
        self.requests += 1
        try:
            self._connection.request(method, path, body=body, headers=headers)
            answer = self._connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            self._record.add(f"client got no whole answer to {request_id}: {error!r}")
            return None
        if note:
            self._record.add(f"client got {answer.status} to {request_id}: {data[:80]!r}")
        return answer.status, dict(answer.getheaders()), data

    def close(self):
        self._connection.close()


def play(case_file, case):
    """Run `case(record, folder, ends, trouble)` and exit with its result.

    `ends` is an ExitStack for what has to be stopped; `trouble` is False with `TROUBLE=0`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = NOT_RUN
    try:
        record = Record(Path(case_file).resolve().parent)
        result = _play(record, case, trouble)
        record.add({BROKEN: "the rule was broken", HELD: "the rule held"}.get(result, "not run"))
    except OSError:
        traceback.print_exc()
    print({BROKEN: "broken", HELD: "held"}.get(result, "could not run"))
    sys.stdout.flush()
    os._exit(result)


def _play(record, case, trouble):
    record.add(f"trouble={trouble}")
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end_early)
    signal.alarm(CASE_LIMIT_S)
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        try:
            return case(record, folder, ends, trouble)
        except CannotRunError as error:
            record.add(f"the case could not run: {error}")
        except Exception:
            record.add(f"the case could not run: {traceback.format_exc()}")
        finally:
            signal.alarm(0)
    return NOT_RUN


def _end_early(number, frame):
    raise CannotRunError(f"ended early by {signal.Signals(number).name}")
