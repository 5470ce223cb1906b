"""Task that runs the gossip exchange with the peers."""

import random
import secrets
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from expression import Error, Result

from laburnumreel.coordination._config_sync import ConfigSync, NewerPeerConfig, PollStore
from laburnumreel.coordination._events import CONFIG_CONFLICT, PEER_HEARD, PEER_LOST
from laburnumreel.coordination._gossip import MAX_FULL_ROUND_PEERS, Gossip, PeerComparison
from laburnumreel.coordination._messages import (
    Address,
    ExchangeMessage,
    GossipDelegate,
    PeerLink,
    format_address,
    parse_address,
)
from laburnumreel.coordination._metrics import EXCHANGES, EXCHANGES_ANSWERED
from laburnumreel.core import Clock, Log, SystemClock, Task
from laburnumreel.state import Configuration, Settings, WithdrawnKeys

CALL_TIMEOUT_S = 2.0

_log = Log("coordination.peers")


class _IncomingCall(NamedTuple):
    """A call from a peer, to be answered."""

    theirs: ExchangeMessage


class _CallOutcome(NamedTuple):
    """The outcome of our call to a peer."""

    address: Address
    ours: ExchangeMessage
    sent_at: float
    result: Result[ExchangeMessage, str]


class _ExchangeNow(NamedTuple):
    """Request to start an exchange now."""


class PeerExchange(Task):
    """Exchanges messages with peers each `exchange_s`, and at once when a key is withdrawn.

    The calls run on a small thread pool, so a silent peer delays neither the calls to other peers
    nor the answers to their calls. At most one call to each peer is in flight.
    """

    def __init__(
        self,
        settings: Settings,
        config_sync: ConfigSync,
        link: PeerLink,
        delegate: GossipDelegate,
        role: str = "gateway",
        boot: str = "",
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__("peer-exchange", tick_s=settings.peers.exchange_s)
        listen = settings.listen
        self._address = listen.peers if role == "gateway" else listen.coordinator_peers
        self._config_sync = config_sync
        self._link = link
        self._delegate = delegate
        self._clock = clock or SystemClock()
        self._boot = boot or secrets.token_hex(8)
        self._gossip = Gossip(
            settings.node.name,
            role,
            self._boot,
            self._address,
            settings.peers.gateways,
            settings.peers.coordinators,
            settings.peers.cut_off_s,
            config_sync.replica,
            rng or random.Random(),
            lambda: config_sync.has_read_store,
        )
        self._executor = ThreadPoolExecutor(MAX_FULL_ROUND_PEERS, "exchange")
        self._calls_in_flight: set[Address] = set()
        self._repeat_after_call: set[Address] = set()
        self._unreachable: set[Address] = set()
        self._known_withdrawn_count = 0
        self._closed = False
        config_sync.subscribe(self._on_config)

    @property
    def boot(self) -> str:
        return self._boot

    def has_recent_majority(self, now: float) -> bool:
        """Return whether a majority of the gateways was heard from within `cut_off_s`."""
        return self._gossip.has_recent_majority(now)

    def count_recent_gateways(self, now: float) -> int:
        """Return the number of other gateways heard from within `cut_off_s`, for the log."""
        return self._gossip.count_recent_gateways(now)

    def keys_verifiable(self, now: float) -> bool:
        """Return whether the store or a majority was heard from within `cut_off_s`."""
        return self._gossip.keys_verifiable(self._config_sync.store_read_at(), now)

    def answer(self, ours: ExchangeMessage) -> ExchangeMessage:
        """Handle a peer's call and return our answer. Called from the peer server's threads."""
        return self.ask(_IncomingCall(ours)).result(CALL_TIMEOUT_S)

    def exchange_now(self) -> None:
        """Start an exchange now, for urgent changes: withdrawals, drain marks, quarantines, crashes.

        A peer with a call in flight is called again once that call has ended.
        """
        self.tell(_ExchangeNow())

    def handle(
        self, message: _IncomingCall | _CallOutcome | _ExchangeNow
    ) -> ExchangeMessage | None:
        if isinstance(message, _IncomingCall):
            return self._on_incoming_call(message.theirs)
        if isinstance(message, _CallOutcome):
            self._on_call_outcome(message)
        else:
            self._repeat_after_call |= self._calls_in_flight
            self.tick()
        return None

    def tick(self) -> None:
        self._gossip.on_local_update(
            self._delegate.local_update(self._clock.now()), self._delegate.stopping
        )
        for address in self._gossip.choose_peers():
            self._exchange(address)

    def close(self) -> None:
        self._closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _exchange(self, address: Address) -> None:
        if address in self._calls_in_flight or self._closed:
            return
        self._calls_in_flight.add(address)
        ours, sent_at = self._gossip.build_call(address), self._clock.now()
        call = self._executor.submit(self._link.exchange, address, ours)

        def done(future: Future) -> None:
            if future.cancelled():
                return
            failure = future.exception()
            result = Error(repr(failure)) if failure else future.result()
            self.tell(_CallOutcome(address, ours, sent_at, result))

        call.add_done_callback(done)

    def _on_incoming_call(self, theirs: ExchangeMessage) -> ExchangeMessage:
        EXCHANGES_ANSWERED.inc()
        answer, comparison = self._gossip.on_call(theirs, self._clock.now())
        self._delegate.on_peer_update(
            f"{theirs.role}/{theirs.sender}", theirs.update, self._clock.now()
        )
        address = parse_address(theirs.address)
        if address is not None:
            self._fetch_newer_config(address, theirs, comparison)
        return answer

    def _on_call_outcome(self, outcome: _CallOutcome) -> None:
        address = outcome.address
        self._calls_in_flight.discard(address)
        if outcome.result.is_error():
            EXCHANGES.inc(result="failed")
            if address not in self._unreachable:
                self._unreachable.add(address)
                _log.warning(PEER_LOST, peer=format_address(address), detail=outcome.result.error)
            self._repeat_after_call.discard(address)
            return
        EXCHANGES.inc(result="answered")
        if address in self._unreachable:
            self._unreachable.discard(address)
            _log.info(PEER_HEARD, peer=format_address(address))
        theirs = outcome.result.ok
        comparison = self._gossip.on_answer(address, outcome.ours, theirs, outcome.sent_at)
        if self._gossip.should_answer_with_update:
            # Where answers carry no update, an empty one must not replace that of the peer's last
            # call. The processes of a node share its name, so the role is part of the key.
            peer = f"{theirs.role}/{theirs.sender}"
            self._delegate.on_peer_update(peer, theirs.update, self._clock.now())
        elif theirs.update.held_parts:
            self._delegate.on_peer_holds(theirs.update.held_parts)
        self._fetch_newer_config(address, theirs, comparison)
        if address in self._repeat_after_call:
            self._repeat_after_call.discard(address)
            self._exchange(address)

    def _fetch_newer_config(
        self, address: Address, theirs: ExchangeMessage, comparison: PeerComparison
    ) -> None:
        if comparison.is_peer_newer:
            self._config_sync.tell(NewerPeerConfig(address, theirs.config_version))
        if comparison.has_conflict:
            _log.error(CONFIG_CONFLICT, peer=format_address(address), version=theirs.config_version)
            self._config_sync.tell(PollStore())

    def _on_config(self, _: Configuration, withdrawn: WithdrawnKeys) -> None:
        if len(withdrawn) != self._known_withdrawn_count:
            self._known_withdrawn_count = len(withdrawn)
            self.exchange_now()
