"""The task that exchanges news with the peers."""

import random
import secrets
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from expression import Error, Result

from laburnumreel.coordination._config_sync import ConfigSync, PeerAhead, Poll
from laburnumreel.coordination._events import CONFIG_CONFLICT, PEER_HEARD, PEER_LOST
from laburnumreel.coordination._gossip import FULL_ROUND_PEERS, Gossip, Learned
from laburnumreel.coordination._messages import (
    Address,
    ExchangeMessage,
    NewsSource,
    PeerLink,
    address_text,
    parse_address,
)
from laburnumreel.coordination._metrics import EXCHANGES, EXCHANGES_ANSWERED
from laburnumreel.core import Clock, Log, SystemClock, Task
from laburnumreel.state import Configuration, Settings, WithdrawnKeys

ANSWER_TIMEOUT_S = 2.0

_log = Log("coordination.peers")


class _Call(NamedTuple):
    """A peer's message that waits for our answer."""

    theirs: ExchangeMessage


class _Answer(NamedTuple):
    """The outcome of our call to a peer."""

    address: Address
    ours: ExchangeMessage
    sent_at: float
    result: Result[ExchangeMessage, str]


class _Push(NamedTuple):
    """Exchange at once."""


class PeerExchange(Task):
    """Exchanges with peers each `exchange_s`, and at once when a key is withdrawn.

    The calls run on a small executor, so that a silent peer holds up neither the others nor the
    answers to peers' own calls. A peer has at most one call under way.
    """

    def __init__(
        self,
        settings: Settings,
        config_sync: ConfigSync,
        link: PeerLink,
        source: NewsSource,
        role: str = "gateway",
        boot: str = "",
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        super().__init__("peer-exchange", tick_s=settings.peers.exchange_s)
        listen = settings.listen
        self._address = listen.peers if role == "gateway" else listen.coordinator_peers
        self._config_sync = config_sync
        self._link = link
        self._source = source
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
            random_source or random.Random(),
            lambda: config_sync.store_complete,
        )
        self._calls = ThreadPoolExecutor(FULL_ROUND_PEERS, "exchange")
        self._under_way: set[Address] = set()
        self._again: set[Address] = set()
        self._lost: set[Address] = set()
        self._known_keys = 0
        self._closed = False
        config_sync.subscribe(self._on_config)

    @property
    def boot(self) -> str:
        return self._boot

    def hears_majority(self, now: float) -> bool:
        """Return whether a majority of the gateways was heard from within `cut_off_s`."""
        return self._gossip.hears_majority(now)

    def gateways_heard(self, now: float) -> int:
        """Return how many other gateways were heard from within `cut_off_s`, for the log."""
        return self._gossip.gateways_heard(now)

    def keys_verifiable(self, now: float) -> bool:
        """Return whether withdrawals can still reach us, from the store or from a majority."""
        return self._gossip.keys_verifiable(self._config_sync.store_read_at(), now)

    def answer(self, ours: ExchangeMessage) -> ExchangeMessage:
        """Take a peer's message and return our answer. Called by the peer server's threads."""
        return self.ask(_Call(ours)).result(ANSWER_TIMEOUT_S)

    def push(self) -> None:
        """Exchange at once, for what cannot wait: withdrawals, drain marks, quarantines."""
        self.tell(_Push())

    def handle(self, message: _Call | _Answer | _Push) -> ExchangeMessage | None:
        if isinstance(message, _Call):
            return self._on_call(message.theirs)
        if isinstance(message, _Answer):
            self._on_answer(message)
        else:
            self._again |= self._under_way
            self.tick()
        return None

    def tick(self) -> None:
        self._gossip.on_own_news(self._source.news(self._clock.now()), self._source.stopping)
        for address in self._gossip.round():
            self._exchange(address)

    def close(self) -> None:
        self._closed = True
        self._calls.shutdown(wait=False, cancel_futures=True)

    def _exchange(self, address: Address) -> None:
        if address in self._under_way or self._closed:
            return
        self._under_way.add(address)
        ours, sent_at = self._gossip.call(address), self._clock.now()
        call = self._calls.submit(self._link.exchange, address, ours)

        def done(outcome: Future) -> None:
            if outcome.cancelled():
                return
            failure = outcome.exception()
            result = Error(repr(failure)) if failure else outcome.result()
            self.tell(_Answer(address, ours, sent_at, result))

        call.add_done_callback(done)

    def _on_call(self, theirs: ExchangeMessage) -> ExchangeMessage:
        EXCHANGES_ANSWERED.inc()
        answer, learned = self._gossip.on_call(theirs, self._clock.now())
        self._source.on_news(f"{theirs.role}/{theirs.sender}", theirs.news, self._clock.now())
        address = parse_address(theirs.address)
        if address is not None:
            self._follow(address, theirs, learned)
        return answer

    def _on_answer(self, answer: _Answer) -> None:
        address = answer.address
        self._under_way.discard(address)
        if answer.result.is_error():
            EXCHANGES.inc(result="failed")
            if address not in self._lost:
                self._lost.add(address)
                _log.warning(PEER_LOST, peer=address_text(address), detail=answer.result.error)
            self._again.discard(address)
            return
        EXCHANGES.inc(result="answered")
        if address in self._lost:
            self._lost.discard(address)
            _log.info(PEER_HEARD, peer=address_text(address))
        theirs = answer.result.ok
        learned = self._gossip.on_answer(address, answer.ours, theirs, answer.sent_at)
        if self._gossip.answers_carry_news:
            # An answer without news must not replace the work that the peer's last call told of.
            # A node's two processes have one name; the role keeps their news apart.
            peer = f"{theirs.role}/{theirs.sender}"
            self._source.on_news(peer, theirs.news, self._clock.now())
        self._follow(address, theirs, learned)
        if address in self._again:
            self._again.discard(address)
            self._exchange(address)

    def _follow(self, address: Address, theirs: ExchangeMessage, learned: Learned) -> None:
        if learned.peer_ahead:
            self._config_sync.tell(PeerAhead(address, theirs.config_version))
        if learned.conflict:
            _log.error(CONFIG_CONFLICT, peer=address_text(address), version=theirs.config_version)
            self._config_sync.tell(Poll())

    def _on_config(self, _: Configuration, withdrawn: WithdrawnKeys) -> None:
        if len(withdrawn) != self._known_keys:
            self._known_keys = len(withdrawn)
            self.push()
