"""Log events of the transport layer."""

from laburnumreel.core import define_event

PEER_CALL_FAILED = define_event(220, "peer_call_failed", "a call from a peer failed")
PEER_REFUSED = define_event(221, "peer_refused", "a peer's connection was closed")
