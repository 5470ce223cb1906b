"""The HTTP server of a process for health checks and metrics."""

import json
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any

from laburnumreel.core import RequestMemory, render_metrics
from laburnumreel.transport._wsgi import Application, HttpServer

ADMIN_THREADS = 2
# Limits of servers that answer operators and health checks, whose requests have no body to read.
INTERNAL_CONNECTIONS = 32
INTERNAL_BODY_BYTES = 4 * 1024

# Returns whether the process is ready, and details that `/readyz` shows to operators.
ReadinessCheck = Callable[[], tuple[bool, dict[str, Any]]]


# Returns what a page shows, or the result of an action on the argument that its path ends with.
Page = Callable[[], dict[str, Any]]
Action = Callable[[str], dict[str, Any]]


def create_admin_server(
    address: tuple[str, int],
    check_readiness: ReadinessCheck,
    pages: Mapping[str, Page] = MappingProxyType({}),
    actions: Mapping[str, Action] = MappingProxyType({}),
    request_memory: RequestMemory | None = None,
) -> HttpServer:
    """Return an HTTP server that answers `/healthz`, `/readyz` and `/metrics`.

    `/readyz` has status 503 while `check_readiness` returns False. `pages` are further paths that
    GET returns as JSON. `actions` are paths that POST runs, with the path's last segment, which is
    percent-encoded, as the argument.
    """

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        head, _, argument = path[1:].partition("/")
        if path in pages:
            status, content_type, body = _json(pages[path]())
        elif method == "POST" and argument and f"/{head}" in actions:
            status, content_type, body = _json(actions[f"/{head}"](argument))
        else:
            status, content_type, body = _respond(path, check_readiness)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [b"" if method == "HEAD" else body]

    return create_internal_server(application, address, ADMIN_THREADS, request_memory)


def create_internal_server(
    application: Application,
    address: tuple[str, int],
    threads: int,
    request_memory: RequestMemory | None = None,
) -> HttpServer:
    """Return an HTTP server for requests without a body, on few connections."""
    return HttpServer(
        application,
        address,
        threads,
        max_body_bytes=INTERNAL_BODY_BYTES,
        request_memory=request_memory,
        max_connections=INTERNAL_CONNECTIONS,
    )


def _json(value: dict[str, Any], status: str = "200 OK") -> tuple[str, str, bytes]:
    return status, "application/json", json.dumps(value).encode()


def _respond(path: str, check_readiness: ReadinessCheck) -> tuple[str, str, bytes]:
    if path == "/healthz":
        return "200 OK", "text/plain", b"ok\n"
    if path == "/readyz":
        ready, details = check_readiness()
        status = "200 OK" if ready else "503 Service Unavailable"
        return _json({"ready": ready, **details}, status)
    if path == "/metrics":
        return "200 OK", "text/plain; version=0.0.4", render_metrics()
    return "404 Not Found", "text/plain", b"not found\n"
