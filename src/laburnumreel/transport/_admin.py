"""The HTTP server of a process for health checks and metrics."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from laburnumreel.core import render_metrics
from laburnumreel.transport._wsgi import HttpServer

ADMIN_THREADS = 2

# Returns whether the process is ready, and details that `/readyz` shows to operators.
ReadinessCheck = Callable[[], tuple[bool, dict[str, Any]]]


def create_admin_server(address: tuple[str, int], check_readiness: ReadinessCheck) -> HttpServer:
    """Return an HTTP server that answers `/healthz`, `/readyz` and `/metrics`.

    `/readyz` has status 503 while `check_readiness` returns False.
    """

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        status, content_type, body = _respond(environ["PATH_INFO"], check_readiness)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    return HttpServer(application, address, ADMIN_THREADS)


def _respond(path: str, check_readiness: ReadinessCheck) -> tuple[str, str, bytes]:
    if path == "/healthz":
        return "200 OK", "text/plain", b"ok\n"
    if path == "/readyz":
        ready, details = check_readiness()
        status = "200 OK" if ready else "503 Service Unavailable"
        return status, "application/json", json.dumps({"ready": ready, **details}).encode()
    if path == "/metrics":
        return "200 OK", "text/plain; version=0.0.4", render_metrics()
    return "404 Not Found", "text/plain", b"not found\n"
