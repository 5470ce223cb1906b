"""Quarantine of poison requests, which crash the back ends that run them.

Requests are identified by the digests of their bodies.
"""

from collections.abc import Iterable, Mapping

STRIKE_WINDOW_S = 600.0
QUARANTINE_S = 600.0
STRIKES_TO_QUARANTINE = 2
MIN_PEER_REMAINING_S = 2.0
# How long a quarantine that was taken back is refused from peers, and they are told.
RELEASE_S = 30.0
# Bound of the digests with strikes and of those in quarantine; the oldest are dropped beyond it.
MAX_DIGESTS = 10_000


class Quarantine:
    """Decides which requests may not run because back ends crashed while running them.

    A request that was alone on a crashed back end is quarantined at once, and so is a request that
    ran during two crashes within `STRIKE_WINDOW_S`. Other requests on the back end of a poison
    request get one strike, which has no effect by itself.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash({"poison", "neighbour"}, alone=False, now=0.0)
    set()
    >>> quarantine.record_crash({"poison", "another"}, alone=False, now=5.0)
    {'poison'}

    Strikes are taken back if the crash turns out to have another cause.

    >>> quarantine.take_back({"poison"}, at=0.0, now=6.0)
    {'poison'}
    """

    def __init__(self) -> None:
        self._strikes: dict[str, list[float]] = {}
        self._quarantined_until: dict[str, float] = {}
        # The digests that crashes seen here have quarantined.
        self._own: set[str] = set()
        # Quarantines that were taken back here, and those that peers have taken back.
        self._released_until: dict[str, float] = {}
        self._ignored_until: dict[str, float] = {}

    def record_crash(self, digests: Iterable[str], alone: bool, now: float) -> set[str]:
        """Record a crash for the requests that ran there; return those that it quarantines."""
        digests = set(digests)
        quarantined = set()
        for digest in digests:
            recent = [at for at in self._strikes.pop(digest, ()) if now - at < STRIKE_WINDOW_S]
            recent = [*recent[-STRIKES_TO_QUARANTINE:], now]
            self._strikes[digest] = recent
            if len(recent) >= STRIKES_TO_QUARANTINE or (alone and len(digests) == 1):
                self._quarantine(digest, now + QUARANTINE_S)
                self._own.add(digest)
                quarantined.add(digest)
        while len(self._strikes) > MAX_DIGESTS:
            del self._strikes[next(iter(self._strikes))]
        return quarantined

    def take_back(self, digests: Iterable[str], at: float, now: float) -> set[str]:
        """Take back the strikes of the crash at `at`; return the digests that this lets go."""
        released = set()
        for digest in digests:
            strikes = self._strikes.get(digest, [])
            if at not in strikes:
                continue
            strikes.remove(at)
            if len(strikes) < STRIKES_TO_QUARANTINE and digest in self._own:
                self._let_go(digest, now)
                released.add(digest)
        return released

    def take_back_all(self, digests: Iterable[str], now: float) -> set[str]:
        """Take back all strikes of these digests; return those that this lets go."""
        released = set()
        for digest in digests:
            self._strikes.pop(digest, None)
            if digest in self._quarantined_until:
                released.add(digest)
            self._let_go(digest, now)
        return released

    def remaining_quarantine_s(self, digest: str, now: float) -> float | None:
        """Return for how many more seconds a request is quarantined, or None if it is not."""
        until = self._quarantined_until.get(digest)
        if until is None:
            return None
        if until <= now:
            self._release(digest)
            return None
        return until - now

    def entries(self, now: float) -> dict[str, float]:
        """Return the quarantined digests with the remaining seconds of each, for peers.

        A quarantine that was taken back has none. Only the node that has taken it back says so:
        nodes that forward it for each other would never forget it.
        """
        self._released_until = _drop_expired(self._released_until, now)
        self._ignored_until = _drop_expired(self._ignored_until, now)
        return {
            digest: until - now
            for digest, until in self._quarantined_until.items()
            if until - now >= MIN_PEER_REMAINING_S
        } | dict.fromkeys(self._released_until, 0.0)

    def on_peer_entries(self, entries: Mapping[str, float], now: float) -> None:
        """Adopt the entries of a peer that this node does not have.

        Entries that are known here or about to expire are ignored. Otherwise, two nodes that send
        an entry back and forth would extend it by their delay each time.
        """
        for digest, remaining in entries.items():
            if remaining == 0 and digest not in self._own:
                self._release(digest)
                self._ignored_until[digest] = now + RELEASE_S
            elif (
                remaining >= MIN_PEER_REMAINING_S
                and self._ignored_until.get(digest, now) <= now
                and self.remaining_quarantine_s(digest, now) is None
            ):
                self._quarantine(digest, now + min(remaining, QUARANTINE_S))

    def _quarantine(self, digest: str, until: float) -> None:
        self._release(digest)
        self._released_until.pop(digest, None)
        self._ignored_until.pop(digest, None)
        self._quarantined_until[digest] = until
        while len(self._quarantined_until) > MAX_DIGESTS:
            self._release(next(iter(self._quarantined_until)))

    def _let_go(self, digest: str, now: float) -> None:
        self._release(digest)
        self._released_until[digest] = self._ignored_until[digest] = now + RELEASE_S

    def _release(self, digest: str) -> None:
        self._quarantined_until.pop(digest, None)
        self._own.discard(digest)


def _drop_expired(until: Mapping[str, float], now: float) -> dict[str, float]:
    return {digest: each for digest, each in until.items() if each > now}
