"""Backend server whose answers a test writes byte by byte."""

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from laburnumreel_standins.caller import MODEL
from laburnumreel_standins.processes import free_port, fresh_host

LOAD_REPORT = {
    "at": 1.0,
    "role": "both",
    "models": [MODEL],
    "queued_prefill_tokens": 0,
    "decode_streams": 0,
    "max_streams": 64,
    "prefill_tokens_per_s": 20_000.0,
    "decode_tokens_per_s": 3_200.0,
    "kv_free_tokens": 100_000,
    "draining": False,
}
NO_EVENTS = {"events": [], "next": 0, "gap": False}


class ScriptedServer:
    """HTTP server that calls `script(exchange)` for each request.

    A script writes raw bytes with `exchange.wfile.write`. The exchange has the `request_id`, the
    `resume_from` and the `number` of the request, from 0. `report` and `events` are the bodies of
    the load report and of the cache events. `request_ids` has the ids of the requests received.
    """

    def __init__(self, script):
        self.report = json.dumps(LOAD_REPORT).encode()
        self.events = json.dumps(NO_EVENTS).encode()
        self.request_ids = []
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = 0

            def do_GET(self):  # noqa: N802
                if self.path == "/load":
                    self.write_answer(server.report)
                elif self.path.startswith("/cache/events"):
                    self.write_answer(server.events)
                else:
                    self.run()

            def do_HEAD(self):  # noqa: N802
                self.run()

            def do_POST(self):  # noqa: N802
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                if self.path.endswith("/cancel"):
                    self.write_answer(b"{}")
                else:
                    self.run()

            def run(self):
                self.request_id = self.headers.get("X-Request-Id")
                self.resume_from = int(self.headers.get("X-Resume-From") or 0)
                self.number = len(server.request_ids)
                server.request_ids.append(self.request_id)
                # The caller may have disconnected in the meantime.
                with contextlib.suppress(OSError):
                    script(self)

            def write_answer(self, body, status="200 OK", headers=""):
                """Write a complete answer with a Content-Length."""
                head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
                self.wfile.write(head.encode() + body)

            def begin_stream(self):
                """Write the head of a stream that ends with its connection."""
                self.close_connection = True
                self.wfile.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                    + f"X-Request-Id: {self.request_id}\r\n\r\n".encode()
                )

            def write_event(self, value):
                if isinstance(value, dict):
                    value = json.dumps({"id": self.request_id, **value}).encode()
                self.wfile.write(b"data: " + value + b"\n\n")

            def write_token(self, text):
                self.write_event({"choices": [{"index": 0, "text": text, "finish_reason": None}]})

            def end_stream(self):
                self.write_event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]})
                self.write_event(b"[DONE]")

            def log_message(self, *_):
                return

        host = fresh_host()
        self._server = ThreadingHTTPServer((host, free_port(host)), Handler)
        self._server.daemon_threads = True
        self.address = self._server.server_address
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def register_with(self, deployment, service="models", kind="engine"):
        """Add the server to the host list of the deployment and return its name."""
        name = f"scripted-{len(deployment.hosts)}"
        deployment.hosts.append(
            {
                "name": name,
                "address": "{}:{}".format(*self.address),
                "zone": "zone-a",
                "region": "region-a",
                "service": service,
                "kind": kind,
            }
        )
        deployment.set_hosts()
        return name

    def end(self):
        self._server.shutdown()
        self._server.server_close()
