"""Detection of silent back ends from the progress of their running requests."""

import math
from collections.abc import Collection, Mapping
from enum import StrEnum

# A back end is silent if this share of its requests receives no bytes. A single request may wait
# for its own reasons, such as a long prompt.
SILENT_REQUEST_SHARE = 0.5
# A back end that has sent no byte of its streams for this share of the silence limit is treated like
# a silent one when a hedged request is placed.
PAUSED_TIME_SHARE = 0.5
# How long the other requests at a back end that resumes wait for their own bytes.
RESUME_GRACE_S = 0.5


class HedgeDenial(StrEnum):
    """The reason why a request at a silent back end cannot be hedged."""

    NO_RETRY = "no retry is left"
    NO_BACK_END = "no other back end is free"
    HELD = "a part of its prompt crashes back ends"


class SilenceTracker:
    """Tracks which running requests get no bytes from their back ends.

    All methods except `on_bytes`, `on_resumed` and `has_just_resumed` must be called on one thread.

    >>> tracker = SilenceTracker()
    >>> tracker.on_silence("w1", "r1")
    >>> tracker.silent_back_ends({"w1": ("r1", "r2"), "w2": ("r3",)})
    {'w1'}
    >>> tracker.on_silence_ended("w1", "r1")
    >>> tracker.silent_back_ends({"w1": ("r1", "r2"), "w2": ("r3",)})
    set()
    """

    def __init__(self) -> None:
        self._silent_requests: dict[str, set[str]] = {}
        self._streaming_requests: dict[str, set[str]] = {}
        self._last_byte_at: dict[str, float] = {}
        self._resumed_at: dict[str, float] = {}
        # When back ends that were silent as a whole resumed.
        self._back_end_resumed_at: dict[str, float] = {}
        # When requests first found only back ends that had just resumed.
        self._put_off_at: dict[str, float] = {}

    def on_bytes(self, back_end: str, now: float) -> None:
        """Record that bytes arrived from a back end. May be called on any thread."""
        self._last_byte_at[back_end] = now

    def on_resumed(self, back_end: str, now: float) -> None:
        """Record that a silent request received a byte again. May be called on any thread."""
        self._resumed_at[back_end] = now

    def has_just_resumed(self, back_end: str, now: float) -> bool:
        """Return whether a silent request received a byte from a back end a moment ago.

        May be called on any thread.
        """
        return now - self._resumed_at.get(back_end, -math.inf) < RESUME_GRACE_S

    def on_stream_started(self, back_end: str, request_id: str) -> None:
        """Record that a request receives its answer as a stream from now on."""
        self._streaming_requests.setdefault(back_end, set()).add(request_id)

    def on_silence(self, back_end: str, request_id: str) -> None:
        """Record a request that received no byte for the silence limit."""
        self._silent_requests.setdefault(back_end, set()).add(request_id)

    def on_silence_ended(self, back_end: str, request_id: str) -> None:
        """Record that a request is no longer silent."""
        _discard(self._silent_requests, back_end, request_id)
        self._put_off_at.pop(request_id, None)

    def on_back_end_resumed(
        self, back_end: str, running: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Record that a silent request received a byte, before its silence has ended here."""
        if back_end in self.silent_back_ends(running):
            self._back_end_resumed_at[back_end] = now

    def on_put_off(self, request_id: str, now: float) -> None:
        """Record that a request finds no back end that has not just resumed."""
        self._put_off_at.setdefault(request_id, now)

    def forget_old(self, now: float) -> None:
        """Drop the resumptions that are `RESUME_GRACE_S` old."""
        for resumed_at in (self._resumed_at, self._back_end_resumed_at):
            for name, at in list(resumed_at.items()):
                if now - at >= RESUME_GRACE_S:
                    resumed_at.pop(name, None)

    def on_request_left(self, back_end: str, request_id: str) -> None:
        """Remove a request that no longer runs on a back end."""
        _discard(self._silent_requests, back_end, request_id)
        _discard(self._streaming_requests, back_end, request_id)
        if back_end not in self._streaming_requests:
            self._last_byte_at.pop(back_end, None)
        # A request that is put off is silent at one back end, and may have left another one.
        if not any(request_id in silent for silent in self._silent_requests.values()):
            self._put_off_at.pop(request_id, None)

    def silent_back_ends(self, running: Mapping[str, Collection[str]]) -> set[str]:
        """Return the silent back ends, given the requests that run on each back end."""
        return {
            name
            for name, silent_requests in self._silent_requests.items()
            if len(silent_requests) >= SILENT_REQUEST_SHARE * len(running.get(name, ()))
        }

    def resuming_back_ends(self, now: float, request_id: str = "") -> set[str]:
        """Return the back ends that were silent as a whole and sent bytes again a moment ago.

        None for a request that was put off for `RESUME_GRACE_S` in its silence.
        """
        if now - self._put_off_at.get(request_id, now) >= RESUME_GRACE_S:
            return set()
        return {n for n, at in self._back_end_resumed_at.items() if now - at < RESUME_GRACE_S}

    def paused_back_ends(self, now: float, silence_s: float) -> set[str]:
        """Return the back ends whose streams have all paused for a share of `silence_s` seconds."""
        return {
            name
            for name in self._streaming_requests
            if now - self._last_byte_at.get(name, now) >= PAUSED_TIME_SHARE * silence_s
        }


def _discard(requests: dict[str, set[str]], back_end: str, request_id: str) -> None:
    request_ids = requests.get(back_end)
    if request_ids is None:
        return
    request_ids.discard(request_id)
    if not request_ids:
        del requests[back_end]
