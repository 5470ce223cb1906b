"""What is known of a back end: its load report, routing's view of it, and drain marks."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel.state import MAX_WHOLE, Fields

# A bound on the clocks of engines, in seconds.
MAX_CLOCK_S = 1e12


class LoadReport(NamedTuple):
    """An engine's answer to `GET /load`. `at` is in seconds on the engine's own clock."""

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
        """Read a report; one that is odd is a ValueError."""
        fields = Fields(value)
        return cls(
            at=fields.number("at", -MAX_CLOCK_S, MAX_CLOCK_S),
            role=fields.text("role"),
            models=tuple(fields.texts("models")),
            queued_prefill_tokens=_read_count(fields, "queued_prefill_tokens"),
            decode_streams=_read_count(fields, "decode_streams"),
            max_streams=_read_count(fields, "max_streams"),
            prefill_tokens_per_s=fields.number("prefill_tokens_per_s", 0, MAX_WHOLE),
            decode_tokens_per_s=fields.number("decode_tokens_per_s", 0, MAX_WHOLE),
            kv_free_tokens=_read_count(fields, "kv_free_tokens", -MAX_WHOLE),
            draining=fields.flag("draining"),
        )


class BackEnd(NamedTuple):
    """One known back end as routing sees it.

    `queued_prefill_tokens` is the reported queue less what the engine has processed since at its
    reported speed. The unreported figures are own and peers' sends that the report cannot show.
    `decode_streams` and `unreported_requests` together are the requests that the engine has by
    now, so the latter is negative where reported streams have ended.
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


class Drain(NamedTuple):
    """A back end or a zone that gets no new work until a time."""

    target: str
    reason: str
    until: float


def _read_count(fields: Fields, name: str, minimum: int = 0) -> int:
    """Read a count, which an engine may also write as a number with a point."""
    return int(fields.number(name, minimum, MAX_WHOLE))
