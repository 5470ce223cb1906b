"""A process' copy of the configuration and the withdrawn keys.

The configuration never returns to an older version, and keys are only ever added.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable

from laburnumreel.state import Change, Configuration, WithdrawnKeys

Listener = Callable[[Configuration, WithdrawnKeys], None]

# Peers that lag further behind fetch the whole configuration instead. Without the limit on entries,
# a few large changes could take as much memory as a second copy of the configuration.
MAX_RECENT_CHANGES = 1000
MAX_RECENT_ENTRIES = 4000


class Replica:
    """The newest known configuration and withdrawn keys, published as immutable snapshots.

    Thread-safe. A withdrawal takes effect before `withdraw` returns, so a slow store cannot delay
    it. Listeners are called in the order of the changes, on the thread that made the change.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._configuration = Configuration()
        self._withdrawn = WithdrawnKeys()
        self._recent: deque[Change] = deque()
        self._recent_entries = 0
        self._listeners: list[Listener] = []
        self._unstored: set[str] = set()
        self._stored: set[str] = set()

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    @property
    def withdrawn(self) -> WithdrawnKeys:
        return self._withdrawn

    @property
    def unstored(self) -> list[str]:
        """Withdrawn keys that are not known to be in the store, sorted."""
        with self._lock:
            return sorted(self._unstored)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` once now and after each change."""
        with self._lock:
            self._listeners.append(listener)
            listener(self._configuration, self._withdrawn)

    def adopt_changes(self, changes: Iterable[Change]) -> str | None:
        """Apply changes in order and skip known ones; return why one does not apply, or None."""
        with self._lock:
            configuration, problem = self._configuration, None
            for change in changes:
                if change.version <= configuration.version:
                    continue
                applied = configuration.apply(change)
                if applied.is_error():
                    problem = applied.error
                    break
                configuration = applied.ok
                self._append_recent(change)
            if configuration is not self._configuration:
                self._configuration = configuration
                self._publish()
            return problem

    def adopt_snapshot(self, configuration: Configuration, repair: bool = False) -> bool:
        """Replace the configuration by a newer one, and return whether it was replaced.

        With `repair`, a configuration of the same version but another digest replaces ours too;
        this is for the store's configuration, which is the accepted one.
        """
        with self._lock:
            ours = self._configuration
            is_newer = configuration.version > ours.version
            is_repair = (
                repair
                and configuration.version == ours.version
                and configuration.digest != ours.digest
            )
            if not is_newer and not is_repair:
                return False
            self._configuration = configuration
            self._recent.clear()
            self._recent_entries = 0
            self._publish()
            return True

    def withdraw(self, digests: Iterable[str], stored: bool = False) -> bool:
        """Add withdrawn keys and return whether any was new.

        `stored` says that they are in the store already.
        """
        digests = set(digests)
        with self._lock:
            if stored:
                self._stored |= digests
                self._unstored -= digests
            else:
                self._unstored |= digests - self._stored
            union = self._withdrawn.with_members(digests)
            if union is self._withdrawn:
                return False
            self._withdrawn = union
            self._publish()
            return True

    def changes_after(self, version: int, limit: int) -> list[Change]:
        """Return up to `limit` changes after `version`, or none if the first is no longer kept."""
        with self._lock:
            if not self._recent or self._recent[0].version > version + 1:
                return []
            start = max(0, version + 1 - self._recent[0].version)
            return [
                self._recent[index] for index in range(start, min(start + limit, len(self._recent)))
            ]

    def _append_recent(self, change: Change) -> None:
        self._recent.append(change)
        self._recent_entries += _count_entries(change)
        while len(self._recent) > MAX_RECENT_CHANGES or self._recent_entries > MAX_RECENT_ENTRIES:
            self._recent_entries -= _count_entries(self._recent.popleft())

    def _publish(self) -> None:
        for listener in self._listeners:
            listener(self._configuration, self._withdrawn)


def _count_entries(change: Change) -> int:
    return len(change.puts) + len(change.deletes)
