"""The metrics of servers and connections."""

from laburnumreel.core import define_counter, define_gauge

STALLED_READERS = define_counter(
    "laburnumreel_stalled_readers_total",
    "Callers disconnected because they took no byte.",
)
BACK_END_CONNECTIONS = define_counter(
    "laburnumreel_back_end_connections_total", "Connections opened to back ends."
)
SILENT_CONNECTIONS = define_counter(
    "laburnumreel_silent_connections_total",
    "Back-end connections that went silent.",
)
COSTLY_ANSWERS = define_counter(
    "laburnumreel_costly_answers_total",
    "Answers that were cut because they had more parts than a sound server sends, by the kind of"
    " part.",
    ("unit",),
)
RATE_LIMITED_CALLS = define_counter(
    "laburnumreel_store_calls_held_total",
    "Calls to the store that were beyond this host's share of its rates.",
    ("kind", "outcome"),
)
REQUEST_BYTES = define_gauge(
    "laburnumreel_request_bytes",
    "Bytes that callers' requests hold: bodies, and what connections keep beside them.",
)
HTTP_REQUESTS = define_counter(
    "laburnumreel_http_requests_total",
    "Requests by local port: read completely, and handled. The difference is requests that wait,"
    " are running, or were dropped with their connection.",
    ("port", "event"),
)
