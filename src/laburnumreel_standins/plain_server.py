"""Plain service in the process of the test that records every request."""

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from laburnumreel_standins.processes import free_port, fresh_host

Address = tuple[str, int]


class PlainServer:
    """Plain service on a thread of this process.

    `requests` has the method, target, headers (lower-case names) and body of each request. Answers
    wait while `answers_allowed` is cleared, at most 30 s. The connection of the next
    `dropped_requests` requests is closed without an answer.
    """

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.answers_allowed = threading.Event()
        self.answers_allowed.set()
        # The number of further requests whose connection is closed without an answer.
        self.dropped_requests = 0
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                headers = {name.lower(): value for name, value in self.headers.items()}
                server.requests.append((self.command, self.path, headers, body))
                server.answers_allowed.wait(30)
                if server.dropped_requests > 0:
                    server.dropped_requests -= 1
                    self.close_connection = True
                    return
                answer = json.dumps({"path": self.path, "count": len(server.requests)}).encode()
                self.send_response(201 if self.command == "POST" else 200)
                self.send_header("Content-Length", str(len(answer)))
                self.send_header("X-Plain", "yes")
                self.send_header("Set-Cookie", "a=1")
                self.end_headers()
                if self.command != "HEAD":
                    # The caller may have been killed in the meantime.
                    with contextlib.suppress(OSError):
                        self.wfile.write(answer)

            do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = _answer  # noqa: N815

            def log_message(self, *_: object) -> None:
                return

        host = fresh_host()
        self._server = ThreadingHTTPServer((host, free_port(host)), Handler)
        self._server.daemon_threads = True
        self.address: Address = self._server.server_address
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def end(self) -> None:
        self.answers_allowed.set()
        self._server.shutdown()
        self._server.server_close()
