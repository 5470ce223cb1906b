"""Task that keeps the configuration and the withdrawn keys up to date from the store and peers."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from expression import Result

from laburnumreel.coordination._events import (
    CONFIG_CHANGED,
    CONFIG_READY,
    CONFIG_REFUSED,
    KEYS_WITHDRAWN,
    STORE_READ_AGAIN,
    STORE_READ_FAILED,
    WITHDRAWALS_NOT_STORED,
)
from laburnumreel.coordination._messages import Address, PeerLink, format_address
from laburnumreel.coordination._metrics import (
    CONFIG_CHANGES,
    CONFIG_VERSION,
    STORE_READ_FAILURES,
    WITHDRAWN_KEYS,
)
from laburnumreel.coordination._replica import Listener, Replica
from laburnumreel.coordination._store_sync import StoreSync
from laburnumreel.core import Clock, Log, SystemClock, Task
from laburnumreel.state import (
    Change,
    Configuration,
    Platform,
    PlatformError,
    Settings,
    WithdrawnKeys,
)

POLL_INTERVAL_S = 1.0
# Keys count as verified for `cut_off_s` after a read of the store. Three reads in that time allow
# one of them to fail.
POLLS_PER_CUT_OFF = 3
MAX_FETCHED_CHANGES = 500
# Expected number of processes that try to store the same withdrawal at once after a store outage.
TARGET_STORE_WRITERS = 4

_log = Log("coordination.config_sync")


class NewerPeerConfig(NamedTuple):
    """A peer whose configuration was newer than ours when its message was handled."""

    address: Address
    version: int


class PollStore(NamedTuple):
    """Message that asks the task to read the store now rather than at the next tick."""


class StoreWithdrawals(NamedTuple):
    """Message that asks the task to write all withdrawals to the store now."""


def fetch_from_peer(replica: Replica, link: PeerLink, newer: NewerPeerConfig) -> str | None:
    """Fetch a peer's newer configuration and return an error text, or None on success.

    Fetches the missing changes first, and the full snapshot if they are not available or do not
    apply. A text is also returned if a change did not apply but the snapshot was adopted.
    """
    ours = replica.configuration.version
    if ours >= newer.version:
        return None
    changes = link.fetch_changes(newer.address, ours, MAX_FETCHED_CHANGES)
    if changes.is_error():
        return changes.error
    problem = replica.adopt_changes(changes.ok)
    if problem is None and replica.configuration.version > ours:
        return None
    snapshot = link.fetch_snapshot(newer.address)
    if snapshot.is_error():
        return snapshot.error
    replica.adopt_snapshot(snapshot.ok)
    return problem


class ConfigSync(Task):
    """Polls the store and fetches newer configurations from peers.

    The store is polled each second, or more often if `cut_off_s` is short. `configuration` and
    `withdrawn` are immutable snapshots that any thread may read. A new process is `ready` once it
    has read the whole store or, if the store is down, has fetched a configuration from a peer.
    """

    def __init__(
        self,
        platform: Platform,
        link: PeerLink,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        processes: int = 1,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        super().__init__("config-sync", tick_s=poll_interval_s)
        self._replica = Replica()
        write_share = min(1.0, TARGET_STORE_WRITERS / max(1, processes))
        self._store = StoreSync(platform, self._replica, rng or random.Random(), write_share)
        self._link = link
        self._clock = clock or SystemClock()
        self._is_store_reachable: bool | None = None
        self._is_ready_logged = False

    @classmethod
    def from_settings(
        cls, settings: Settings, platform: Platform, link: PeerLink, clock: Clock | None = None
    ) -> "ConfigSync":
        peers = settings.peers
        processes = len(peers.gateways) + len(peers.coordinators)
        poll_interval_s = min(POLL_INTERVAL_S, peers.cut_off_s / POLLS_PER_CUT_OFF)
        return cls(platform, link, clock, processes=processes, poll_interval_s=poll_interval_s)

    @property
    def configuration(self) -> Configuration:
        return self._replica.configuration

    @property
    def withdrawn(self) -> WithdrawnKeys:
        return self._replica.withdrawn

    @property
    def ready(self) -> bool:
        return self._store.has_read_all or self._replica.configuration.version > 0

    @property
    def has_read_store(self) -> bool:
        """Whether all of the store has been read at least once."""
        return self._store.has_read_all

    @property
    def store_reachable(self) -> bool:
        """Whether the last poll of the store succeeded."""
        return bool(self._is_store_reachable)

    @property
    def replica(self) -> Replica:
        return self._replica

    def store_read_at(self) -> float:
        """Return the clock time at which the last complete read began, or minus infinity."""
        return self._store.read_at

    def subscribe(self, listener: Callable[[Configuration, WithdrawnKeys], None]) -> None:
        """Call `listener` once now and after each change. The listener must not block."""
        checked: Listener = listener
        self._replica.subscribe(checked)

    def withdraw(self, digests: Iterable[str]) -> None:
        """Withdraw keys locally at once; the next poll writes them to the store."""
        if self._replica.withdraw(digests):
            self._record_withdrawals()

    def store_withdrawals(self, timeout_s: float) -> None:
        """Wait until all withdrawals are in the store, at most `timeout_s` seconds.

        Before that, other processes may have them only until they stop as well.
        """
        if self._replica.unstored and not self.ask_until_true(StoreWithdrawals(), timeout_s):
            _log.error(WITHDRAWALS_NOT_STORED, digests=self._replica.unstored)

    def changes_after(self, version: int, limit: int) -> list[Change]:
        return self._replica.changes_after(version, limit)

    def handle(self, message: NewerPeerConfig | PollStore | StoreWithdrawals) -> bool | None:
        if isinstance(message, PollStore):
            self.tick()
            return None
        if isinstance(message, StoreWithdrawals):
            self._poll(self._store.poll_and_store)
            return not self._replica.unstored
        before = self._replica.configuration
        problem = fetch_from_peer(self._replica, self._link, message)
        if problem is not None:
            _log.warning(CONFIG_REFUSED, peer=format_address(message.address), detail=problem)
        self._record_config_change(before, "peer")
        return None

    def tick(self) -> None:
        self._poll(self._store.poll)

    def _poll(self, poll: Callable[[float], Result[None, PlatformError]]) -> None:
        before, known_count = self._replica.configuration, len(self._replica.withdrawn)
        polled = poll(self._clock.now())
        if polled.is_error():
            STORE_READ_FAILURES.inc()
            if self._is_store_reachable is not False:
                _log.warning(STORE_READ_FAILED, detail=str(polled.error))
        elif self._is_store_reachable is False:
            _log.info(STORE_READ_AGAIN)
        self._is_store_reachable = polled.is_ok()
        self._record_config_change(before, "store")
        if len(self._replica.withdrawn) != known_count:
            self._record_withdrawals()

    def _record_config_change(self, before: Configuration, source: str) -> None:
        configuration = self._replica.configuration
        if configuration is not before:
            CONFIG_VERSION.set(configuration.version)
            CONFIG_CHANGES.inc(source=source)
            _log.info(CONFIG_CHANGED, version=configuration.version, source=source)
        if self.ready and not self._is_ready_logged:
            self._is_ready_logged = True
            _log.info(CONFIG_READY, version=configuration.version, source=source)

    def _record_withdrawals(self) -> None:
        WITHDRAWN_KEYS.set(len(self._replica.withdrawn))
        _log.info(KEYS_WITHDRAWN, count=len(self._replica.withdrawn))
