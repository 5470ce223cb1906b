"""The task that keeps configuration and withdrawn keys current from the store and from peers."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from laburnumreel.coordination._events import (
    CONFIG_CHANGED,
    CONFIG_READY,
    CONFIG_REFUSED,
    KEYS_WITHDRAWN,
    STORE_READ_AGAIN,
    STORE_READ_FAILED,
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
from laburnumreel.state import Change, Configuration, Platform, Settings, WithdrawnKeys

POLL_INTERVAL_S = 1.0
# A read of the store vouches for keys for `cut_off_s`; with three in that time, one may fail.
POLLS_PER_CUT_OFF = 3
MAX_FETCHED_CHANGES = 500
# About this many processes store a withdrawal at once after an outage of the store.
TARGET_STORE_WRITERS = 4

_log = Log("coordination.config_sync")


class NewerPeerConfig(NamedTuple):
    """A peer that holds this version, newer than ours when it was heard of."""

    address: Address
    version: int


class PollStore(NamedTuple):
    """Read the store now rather than at the next tick."""


def fetch_from_peer(replica: Replica, link: PeerLink, newer: NewerPeerConfig) -> str | None:
    """Take over a peer's newer configuration, as changes or else whole; return what failed."""
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
    """Polls the store each second, or more often where `cut_off_s` is short, and fetches from peers
    what they have sooner.

    Readers take `configuration` and `withdrawn` as snapshots from any thread. A fresh process is
    `ready` once it has read the store to its end or, with the store down, holds a configuration
    that a peer held.
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
        """Whether the store has ever been read to its end."""
        return self._store.has_read_all

    @property
    def store_reachable(self) -> bool:
        """Whether the last poll read the store."""
        return bool(self._is_store_reachable)

    @property
    def replica(self) -> Replica:
        return self._replica

    def store_read_at(self) -> float:
        """Return when the last complete read of the store began; minus infinity before one."""
        return self._store.read_at

    def subscribe(self, listener: Callable[[Configuration, WithdrawnKeys], None]) -> None:
        """Call `listener` after each change, and once now. It must not block."""
        checked: Listener = listener
        self._replica.subscribe(checked)

    def withdraw(self, digests: Iterable[str]) -> None:
        """Withdraw keys at once; they are stored at the next poll."""
        if self._replica.withdraw(digests):
            self._record_withdrawals()

    def changes_after(self, version: int, limit: int) -> list[Change]:
        return self._replica.changes_after(version, limit)

    def handle(self, message: NewerPeerConfig | PollStore) -> None:
        if isinstance(message, PollStore):
            self.tick()
            return
        before = self._replica.configuration
        problem = fetch_from_peer(self._replica, self._link, message)
        if problem is not None:
            _log.warning(CONFIG_REFUSED, peer=format_address(message.address), detail=problem)
        self._record_config_change(before, "peer")

    def tick(self) -> None:
        before, known_count = self._replica.configuration, len(self._replica.withdrawn)
        polled = self._store.poll(self._clock.now())
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
