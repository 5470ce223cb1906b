"""Which back ends are silent, by what their running requests see."""

from collections.abc import Collection, Mapping
from enum import StrEnum

# A back end counts as silent when this share of its requests gets no byte from it. A single request
# may wait for its own sake, such as one with a long prompt.
SILENT_REQUEST_SHARE = 0.5
# A back end that sends no byte of its streams for this share of the time after which it is silent is
# no better than a silent one.
PAUSED_TIME_SHARE = 0.5


class HedgeDenial(StrEnum):
    """Why no other back end can take work over that is at a silent one."""

    NO_RETRY = "no retry is left"
    NO_BACK_END = "no other back end is free"


class SilenceTracker:
    """What running requests hear of their back ends. All but `on_bytes` belongs to one thread.

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

    def on_bytes(self, back_end: str, now: float) -> None:
        """A byte came from a back end. Any thread may tell this."""
        self._last_byte_at[back_end] = now

    def on_stream_started(self, back_end: str, request_id: str) -> None:
        """A request gets its answer bit by bit from now on."""
        self._streaming_requests.setdefault(back_end, set()).add(request_id)

    def on_silence(self, back_end: str, request_id: str) -> None:
        """A request has got no byte for the time after which its back end counts as silent."""
        self._silent_requests.setdefault(back_end, set()).add(request_id)

    def on_silence_ended(self, back_end: str, request_id: str) -> None:
        """A request got a byte again."""
        _discard(self._silent_requests, back_end, request_id)

    def on_request_left(self, back_end: str, request_id: str) -> None:
        """A request is no longer at a back end."""
        _discard(self._silent_requests, back_end, request_id)
        _discard(self._streaming_requests, back_end, request_id)
        if back_end not in self._streaming_requests:
            self._last_byte_at.pop(back_end, None)

    def silent_back_ends(self, running: Mapping[str, Collection[str]]) -> set[str]:
        """Return the silent back ends, given the requests that run on each."""
        return {
            name
            for name, silent_requests in self._silent_requests.items()
            if len(silent_requests) >= SILENT_REQUEST_SHARE * len(running.get(name, ()))
        }

    def paused_back_ends(self, now: float, silence_s: float) -> set[str]:
        """Return the back ends whose streams have all paused, though not for `silence_s` yet."""
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
