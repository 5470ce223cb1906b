"""Poison requests: strikes of body digests, and the digests that are held back."""

from collections.abc import Iterable, Mapping

STRIKE_WINDOW_S = 600.0
QUARANTINE_S = 600.0
STRIKES_TO_QUARANTINE = 2
MIN_PEER_REMAINING_S = 2.0
# The bound of what a node keeps. A strike or an entry beyond it displaces the oldest one.
MAX_DIGESTS = 10_000


class Quarantine:
    """Decides which requests may not run because back ends crashed while they ran.

    A request that was alone on a crashed back end is held back at once, and any request that ran
    at two crashes within `STRIKE_WINDOW_S`. Neighbours of a poison request get one strike, which alone
    has no effect.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash({"poison", "neighbour"}, alone=False, now=0.0)
    set()
    >>> quarantine.record_crash({"poison", "another"}, alone=False, now=5.0)
    {'poison'}
    """

    def __init__(self) -> None:
        self._strikes: dict[str, list[float]] = {}
        self._quarantined_until: dict[str, float] = {}

    def record_crash(self, digests: Iterable[str], alone: bool, now: float) -> set[str]:
        """Count a crash against the requests that ran there; return those held back by it."""
        digests = set(digests)
        quarantined = set()
        for digest in digests:
            recent = [at for at in self._strikes.pop(digest, ()) if now - at < STRIKE_WINDOW_S]
            recent = [*recent[-STRIKES_TO_QUARANTINE:], now]
            self._strikes[digest] = recent
            if len(recent) >= STRIKES_TO_QUARANTINE or (alone and len(digests) == 1):
                self._quarantine(digest, now + QUARANTINE_S)
                quarantined.add(digest)
        while len(self._strikes) > MAX_DIGESTS:
            del self._strikes[next(iter(self._strikes))]
        return quarantined

    def remaining_quarantine_s(self, digest: str, now: float) -> float | None:
        """Return for how many seconds a request is still held back, or None."""
        until = self._quarantined_until.get(digest)
        if until is None:
            return None
        if until <= now:
            self._quarantined_until.pop(digest, None)
            return None
        return until - now

    def entries(self, now: float) -> dict[str, float]:
        """Return the held digests and how many seconds are left of each."""
        return {
            digest: until - now for digest, until in self._quarantined_until.items() if until > now
        }

    def on_peer_entries(self, entries: Mapping[str, float], now: float) -> None:
        """Take up what a peer holds back and this node does not.

        Entries that are held or nearly over are left alone: two nodes that pass an entry to and
        fro would otherwise extend it by their delay each time.
        """
        for digest, remaining in entries.items():
            if (
                remaining >= MIN_PEER_REMAINING_S
                and self.remaining_quarantine_s(digest, now) is None
            ):
                self._quarantine(digest, now + min(remaining, QUARANTINE_S))

    def _quarantine(self, digest: str, until: float) -> None:
        self._quarantined_until.pop(digest, None)
        self._quarantined_until[digest] = until
        while len(self._quarantined_until) > MAX_DIGESTS:
            del self._quarantined_until[next(iter(self._quarantined_until))]
