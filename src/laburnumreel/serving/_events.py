"""The log events of the gateway's request path."""

from laburnumreel.core import define_event

REQUEST_FAILED = define_event(110, "request_failed", "a request failed with an unexpected error")
REQUEST_RETRIED = define_event(111, "request_retried", "a request is sent to another back end")
REQUEST_ABORTED = define_event(112, "request_aborted", "a running request was aborted")
HOSTS_UNREADABLE = define_event(
    113, "hosts_unreadable", "the host list could not be read; the previous list stays in use"
)
CREDENTIAL_MISSING = define_event(
    114, "credential_missing", "the credential for the back ends of a service could not be read"
)
ANSWER_NOT_STORED = define_event(
    115, "answer_not_stored", "the answer to a request with an Idempotency-Key could not be stored"
)
BACK_END_CRASHED = define_event(
    116, "back_end_crashed", "a back end crashed while running requests"
)
WAITING_FOR_SILENT = define_event(
    117,
    "silent_waited_for",
    "a request keeps waiting for its silent back end, as no other one can take it over",
)
SILENCE_ENDED = define_event(
    118, "silent_spoke", "a silent back end sent data again, and its request stays there"
)
REPORT_UNREADABLE = define_event(
    119,
    "report_unreadable",
    "an engine's load or cache report is invalid; its last valid one stays in use",
)
HOST_NAME_REPEATED = define_event(
    122,
    "host_name_repeated",
    "the host list has several back ends with the same name, of which one is used",
)
HEDGE_SENT = define_event(
    120,
    "silent_sent_beside",
    "a hedged request was sent to another back end because the first one is silent",
)
HEDGE_ENDED = define_event(121, "silent_second_ended", "a hedged request ended without being used")
PART_HELD = define_event(
    124,
    "part_held",
    "a part of prompts crashed back ends in several requests; requests with it are refused",
)
PART_RELEASED = define_event(
    125, "part_released", "requests with a part of prompts that was held are sent again"
)
STRIKES_TAKEN_BACK = define_event(
    126,
    "strikes_taken_back",
    "a held part explains a crash; requests that were lost beside it are no longer blamed",
)
REQUEST_CHECK_FAILED = define_event(
    123, "request_check_failed", "checking a running request's deadline and caller failed"
)
ANSWER_DROPPED = define_event(
    127,
    "answer_dropped",
    "an answer is not stored because it is too large or the memory for such answers is full",
)
