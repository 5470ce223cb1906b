"""Which back ends are silent, by what their running requests see."""

from collections.abc import Collection, Mapping
from enum import StrEnum

# A back end counts as silent when this share of its requests gets no byte from it. A single request
# may wait for its own sake, such as one with a long prompt.
SILENT_SHARE = 0.5
# A back end that sends no byte of its streams for this share of the time after which it is silent is
# no better than a silent one.
DOUBTFUL_SHARE = 0.5


class NoTakeover(StrEnum):
    """Why no other back end can take work over that is at a silent one."""

    NO_RETRY = "no retry is left"
    NO_BACK_END = "no other back end is free"


class Silences:
    """What running requests hear of their back ends. All but `heard` belongs to one thread.

    >>> silences = Silences()
    >>> silences.began("w1", "r1")
    >>> silences.back_ends({"w1": ("r1", "r2"), "w2": ("r3",)})
    {'w1'}
    >>> silences.ended("w1", "r1")
    >>> silences.back_ends({"w1": ("r1", "r2"), "w2": ("r3",)})
    set()
    """

    def __init__(self) -> None:
        self._waiting: dict[str, set[str]] = {}
        self._streaming: dict[str, set[str]] = {}
        self._heard_at: dict[str, float] = {}

    def heard(self, back_end: str, now: float) -> None:
        """A byte came from a back end. Any thread may tell this."""
        self._heard_at[back_end] = now

    def streams(self, back_end: str, request_id: str) -> None:
        """A request gets its answer bit by bit from now on."""
        self._streaming.setdefault(back_end, set()).add(request_id)

    def began(self, back_end: str, request_id: str) -> None:
        """A request has got no byte for the time after which its back end counts as silent."""
        self._waiting.setdefault(back_end, set()).add(request_id)

    def ended(self, back_end: str, request_id: str) -> None:
        """A request got a byte again."""
        _discard(self._waiting, back_end, request_id)

    def left(self, back_end: str, request_id: str) -> None:
        """A request is no longer at a back end."""
        _discard(self._waiting, back_end, request_id)
        _discard(self._streaming, back_end, request_id)
        if back_end not in self._streaming:
            self._heard_at.pop(back_end, None)

    def back_ends(self, running: Mapping[str, Collection[str]]) -> set[str]:
        """Return the silent back ends, given the requests that run on each."""
        return {
            name
            for name, waiting in self._waiting.items()
            if len(waiting) >= SILENT_SHARE * len(running.get(name, ()))
        }

    def doubtful(self, now: float, silence_s: float) -> set[str]:
        """Return the back ends whose streams have all paused, though not for `silence_s` yet."""
        return {
            name
            for name in self._streaming
            if now - self._heard_at.get(name, now) >= DOUBTFUL_SHARE * silence_s
        }


def _discard(requests: dict[str, set[str]], back_end: str, request_id: str) -> None:
    known = requests.get(back_end)
    if known is None:
        return
    known.discard(request_id)
    if not known:
        del requests[back_end]
