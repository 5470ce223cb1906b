"""Load reports of engines, back ends as routing sees them, and drain marks."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel.state import MAX_EXACT_INTEGER, Fields

# Bound of the clock readings accepted from engines, in seconds.
MAX_CLOCK_S = 1e12


class LoadReport(NamedTuple):
    """An engine's response to `GET /load`. `at` is in seconds on the engine's own clock."""

    at: float
    role: str
    models: tuple[str, ...]
    queued_prefill_tokens: int
    decode_streams: int
    max_streams: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    kv_free_tokens: int
    draining: bool

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "LoadReport":
        """Parse a report. Raises ValueError if it is malformed."""
        fields = Fields(value)
        return cls(
            at=fields.number("at", -MAX_CLOCK_S, MAX_CLOCK_S),
            role=fields.text("role"),
            models=tuple(fields.text_list("models")),
            queued_prefill_tokens=_read_count(fields, "queued_prefill_tokens"),
            decode_streams=_read_count(fields, "decode_streams"),
            max_streams=_read_count(fields, "max_streams"),
            prefill_tokens_per_s=fields.number("prefill_tokens_per_s", 0, MAX_EXACT_INTEGER),
            decode_tokens_per_s=fields.number("decode_tokens_per_s", 0, MAX_EXACT_INTEGER),
            kv_free_tokens=_read_count(fields, "kv_free_tokens", -MAX_EXACT_INTEGER),
            draining=fields.flag("draining"),
        )


class BackEnd(NamedTuple):
    """A known back end as routing sees it.

    `queued_prefill_tokens` is the reported queue minus the estimate of what the engine has
    processed since, at its reported speed. The `unreported_...` fields count sends of this gateway
    and of its peers that the report does not include. `decode_streams` plus `unreported_requests`
    is the number of requests now at the engine, so `unreported_requests` is negative where reported
    streams have ended.
    """

    name: str
    address: tuple[str, int]
    zone: str
    region: str
    service: str
    kind: str
    cheap: bool
    role: str
    models: tuple[str, ...]
    queued_prefill_tokens: int
    decode_streams: int
    max_streams: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    kv_free_tokens: int
    unreported_requests: int
    unreported_prefill_tokens: int
    cached_prefixes: frozenset[str]
    software: str = ""


class Drain(NamedTuple):
    """A drain mark: the back end or zone `target` gets no new requests before `until`."""

    target: str
    reason: str
    until: float


def _read_count(fields: Fields, name: str, minimum: int = 0) -> int:
    """Read a count. Engines may write it as a floating-point number."""
    return int(fields.number(name, minimum, MAX_EXACT_INTEGER))
