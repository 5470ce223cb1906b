"""Which versions of their software the backend servers of each service have lately had.

A stream goes on only at the version that began it. A host that knows nothing of a stream can still
tell that version if only one can have begun any stream that still lives.
"""

from collections.abc import Callable, Iterable, Mapping

from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._config import RelayConfig

# A stream lives for the timeout of its route in each of its caller's tries. The minimum covers
# callers that wait for longer than a route with a short timeout lets them.
TRIES_PER_STREAM = 3
MIN_STREAM_LIFE_S = 20.0


class SoftwareHistory:
    """The versions that may have begun the live streams of each service.

    `life_s` returns the longest time in seconds for which a stream lives, over all tries of its
    caller. What came before this host's first listing is known only after that time, or from the
    store, where hosts write it for those that start later.

    >>> history = SoftwareHistory(lambda: 20.0)
    >>> history.on_listed({"quotes": frozenset({"v1"})}, now=0.0)
    >>> history.sole("quotes", now=1.0), history.sole("quotes", now=20.0)
    (None, 'v1')
    >>> history.on_listed({"quotes": frozenset({"v2"})}, now=30.0)
    >>> history.sole("quotes", now=49.0), history.sole("quotes", now=50.0)
    (None, 'v2')
    """

    def __init__(self, life_s: Callable[[], float]) -> None:
        self._life_s = life_s
        self._listed: Mapping[str, frozenset[str]] = {}
        self._first_listed_at: float | None = None
        # When each version was last listed that is listed no more, by service.
        self._left_at: dict[str, dict[str, float]] = {}
        # Services whose versions before the first listing the store has named.
        self._stored: set[str] = set()

    @property
    def services(self) -> frozenset[str]:
        """The services with a listed backend server, now or lately."""
        return frozenset(self._listed) | frozenset(self._left_at)

    def on_listed(self, listed: Mapping[str, frozenset[str]], now: float) -> None:
        """Record the versions of all listed backend servers by service, from `listed_software`."""
        if self._first_listed_at is None:
            self._first_listed_at = now
        for service, versions in self._listed.items():
            for version in versions - listed.get(service, frozenset()):
                self._left_at.setdefault(service, {})[version] = now
        self._listed = dict(listed)

    def on_gap(self, now: float) -> None:
        """Record that servers may have come and gone that this host has never listed.

        What is known of the versions then begins anew, as after a start.
        """
        self._first_listed_at = now
        self._stored.clear()

    def on_stored(
        self, stored: Mapping[str, Iterable[str]], now: float, is_complete: bool = True
    ) -> None:
        """Record the versions that hosts have written to the store before this host started.

        With `is_complete` False, there may have been others.
        """
        for service, versions in stored.items():
            if is_complete:
                self._stored.add(service)
            for version in set(versions) - self._listed.get(service, frozenset()):
                self._left_at.setdefault(service, {}).setdefault(version, now)

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that are known to be able to have begun live streams."""
        left_at = self._left_at.get(service, {})
        recent = {version for version, at in left_at.items() if now - at < self._life_s()}
        return self._listed.get(service, frozenset()) | recent

    def is_known(self, service: str, now: float) -> bool:
        """Return whether this host knows all versions that can have begun live streams."""
        if self._first_listed_at is None:
            return False
        return service in self._stored or now - self._first_listed_at >= self._life_s()

    def sole(self, service: str, now: float) -> str | None:
        """Return the only version that can have begun live streams, or None if it isn't known."""
        versions = self.versions(service, now)
        if not self.is_known(service, now) or len(versions) != 1:
            return None
        (version,) = versions
        return version or None

    def forget_old(self, now: float) -> None:
        """Forget the versions that cannot have begun a stream that still lives."""
        for service, left_at in list(self._left_at.items()):
            for version in [each for each, at in left_at.items() if now - at >= self._life_s()]:
                del left_at[version]
            if not left_at:
                del self._left_at[service]


def stream_life_s(config: RelayConfig) -> float:
    """Return the longest time for which a stream lives, over all tries of its caller."""
    timeouts = (route.timeout_s for route in config.routes)
    return max(MIN_STREAM_LIFE_S, TRIES_PER_STREAM * max(timeouts, default=0.0))


def listed_software(back_ends: Iterable[ListedBackEnd]) -> dict[str, frozenset[str]]:
    """Return the versions of the listed backend servers by service."""
    versions: dict[str, set[str]] = {}
    for each in back_ends:
        versions.setdefault(each.service, set()).add(each.software)
    return {service: frozenset(found) for service, found in versions.items()}
