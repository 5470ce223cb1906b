"""The log events of the gateway's request path."""

from laburnumreel.core import define_event

REQUEST_FAILED = define_event(110, "request_failed", "a request failed unexpectedly")
REQUEST_RETRIED = define_event(111, "request_retried", "a request is tried on another back end")
REQUEST_ABORTED = define_event(112, "request_aborted", "a running request was aborted")
HOSTS_UNREADABLE = define_event(
    113, "hosts_unreadable", "the host list could not be read; the last one stays in use"
)
CREDENTIAL_MISSING = define_event(
    114, "credential_missing", "a service's credential towards its back ends could not be read"
)
ANSWER_NOT_STORED = define_event(
    115, "answer_not_stored", "the answer to a request with an Idempotency-Key was not stored"
)
BACK_END_CRASHED = define_event(116, "back_end_crashed", "a back end crashed while requests ran")
WAITING_FOR_SILENT = define_event(
    117,
    "silent_waited_for",
    "a request's back end is silent and nothing better is held: it waits on",
)
SILENCE_ENDED = define_event(
    118, "silent_spoke", "a request's back end went on after a silence, and the request stays there"
)
REPORT_UNREADABLE = define_event(
    119,
    "report_unreadable",
    "an engine's load or cache report is odd; its last sound one stays in use",
)
HEDGE_SENT = define_event(
    120, "silent_sent_beside", "a request was sent to a second back end, as its own one is silent"
)
HEDGE_ENDED = define_event(
    121, "silent_second_ended", "a send beside a silent back end ended, and another one is awaited"
)
