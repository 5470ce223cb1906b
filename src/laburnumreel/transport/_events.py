"""The log events of servers and connections."""

from laburnumreel.core import define_event

HTTP_SERVER_PROBLEM = define_event(200, "http_server_problem", "the HTTP server reported a problem")
READER_STALLED = define_event(
    201, "reader_stalled", "disconnected a caller that took no byte while output waited"
)
BACK_END_SILENT = define_event(
    202, "back_end_silent", "a back end sent no byte in time; dropped its older idle connections"
)
CALLER_CUT = define_event(
    203, "caller_cut", "the host closed a caller's connection with a request on it"
)
CONNECTIONS_FULL = define_event(
    204, "connections_full", "closed idle callers' connections, as a new one came and all are taken"
)
PEER_CALL_FAILED = define_event(220, "peer_call_failed", "a call from a peer failed")
PEER_REFUSED = define_event(221, "peer_refused", "a peer's connection was closed")
