"""The log events of servers and connections."""

from laburnumreel.core import define_event

HTTP_SERVER_PROBLEM = define_event(
    200, "http_server_problem", "waitress logged a warning or an error"
)
READER_STALLED = define_event(
    201, "reader_stalled", "disconnected a caller that read no byte while output was pending"
)
BACK_END_SILENT = define_event(
    202, "back_end_silent", "a back end sent no byte in time; closed its older idle connections"
)
CALLER_CUT = define_event(
    203, "caller_cut", "closed a caller's connection that still had a request"
)
CONNECTIONS_FULL = define_event(
    204,
    "connections_full",
    "connection limit reached; closed idle or stalled callers' connections for new ones",
)
ANSWER_TOO_COSTLY = define_event(
    205,
    "answer_too_costly",
    "cut an answer that has more heads, chunks or events than a sound server sends",
)
KEPT_CONNECTION_SILENT = define_event(
    206,
    "kept_connection_silent",
    "a kept connection was silent and a new one worked; dropped the older ones to its address",
)
PEER_CALL_FAILED = define_event(220, "peer_call_failed", "failed to answer a call from a peer")
PEER_REFUSED = define_event(221, "peer_refused", "closed a peer's connection")
