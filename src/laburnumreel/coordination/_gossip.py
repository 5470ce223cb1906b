"""The decisions of the peer exchange: what to send, what is learned, who was heard from."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from laburnumreel.coordination._messages import (
    Address,
    ExchangeMessage,
    PeerNews,
    address_text,
)
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._vouching import Vouching
from laburnumreel.state import WithdrawnKeys

EXCHANGE_BYTES = 64 * 1024
# What a message's fixed fields may take; the lists share the rest.
FIXED_BYTES = 2048
# The thrift binary protocol's overhead of a list element: field headers, lengths and numbers.
ELEMENT_BYTES = 32
FULL_ROUND_PEERS = 16
ROUND_PEERS = 8
# A peer that is unreachable for long gathers no more customers' figures than this.
PENDING_CUSTOMERS = 512


class Learned(NamedTuple):
    """What a message told us: whether the sender's configuration is ahead or in conflict."""

    peer_ahead: bool
    conflict: bool
    in_sync: bool


class _Peer:
    """What we know of one peer: withdrawals it may lack, its boot, and figures to tell it."""

    def __init__(self, withdrawn: Iterable[str]) -> None:
        self.boot = ""
        self.pending = list(withdrawn)
        self.received: dict[str, tuple[int, int]] = {}
        self.called_with = WithdrawnKeys()


class Gossip:
    """The exchange of one process with its peers. Not thread-safe: the task serialises calls.

    Withdrawals that a peer may lack are kept for each peer until it has confirmed them; the newest
    are sent first. Only a peer's answer confirms: an answer of ours can be lost, so what it carried
    is sent again.
    """

    def __init__(
        self,
        name: str,
        role: str,
        boot: str,
        address: Address,
        gateways: Sequence[Address],
        coordinators: Sequence[Address],
        cut_off_s: float,
        replica: Replica,
        source: random.Random,
        store_complete: Callable[[], bool],
    ) -> None:
        """`store_complete` tells whether this process has ever read the store to its end."""
        self._identity = (name, role, boot, address_text(address))
        self._address = address
        self._gateways = frozenset(gateways)
        self._others = [a for a in dict.fromkeys([*gateways, *coordinators]) if a != address]
        self._cut_off_s = cut_off_s
        self._vouching = Vouching(gateways, address, cut_off_s)
        self._replica = replica
        self._random = source
        self._seen = replica.withdrawn
        self._peers = {address_text(a): _Peer(self._seen) for a in self._others}
        self._news = PeerNews()
        self._stopping = False
        self._store_complete = store_complete
        self._complete = False

    @property
    def peers(self) -> list[Address]:
        return list(self._others)

    @property
    def answers_carry_news(self) -> bool:
        """Whether answers carry news: where every peer is called in each round, calls do so."""
        return len(self._others) > FULL_ROUND_PEERS

    def round(self) -> list[Address]:
        """Return the peers to exchange with now."""
        if not self.answers_carry_news:
            return list(self._others)
        return self._random.sample(self._others, ROUND_PEERS)

    def on_own_news(self, news: PeerNews, stopping: bool) -> None:
        """Take this process' news; what customers received is added up for each peer."""
        self._news = news
        self._stopping = stopping
        for customer, (tokens, requests) in news.received.items():
            for peer in self._peers.values():
                if customer in peer.received or len(peer.received) < PENDING_CUSTOMERS:
                    old = peer.received.get(customer, (0, 0))
                    peer.received[customer] = (old[0] + tokens, old[1] + requests)

    def message(self, address: str, with_news: bool = True) -> ExchangeMessage:
        """Return what to send to a peer, as a call or as the answer to one."""
        self._note_withdrawals()
        peer = self._peers.get(address)
        budget = _Budget(EXCHANGE_BYTES - FIXED_BYTES - self._vouching.ages_bytes)
        withdrawn = budget.take(reversed(peer.pending) if peer else (), len)
        news = self._news if with_news else PeerNews()
        received = peer.received if peer and with_news else {}
        sent = PeerNews(
            tuple(budget.take(news.drains, lambda mark: len(mark.target) + len(mark.reason))),
            tuple(budget.take(news.quarantines, lambda entry: len(entry.digest))),
            dict(budget.take(news.in_flight.items(), lambda item: len(item[0]))),
            dict(budget.take(received.items(), lambda item: len(item[0]))),
        )
        if peer:
            # Figures are told at most once: a repeated one would count against a customer twice.
            for customer in sent.received:
                del peer.received[customer]
        configuration, keys = self._replica.configuration, self._seen
        return ExchangeMessage(
            *self._identity,
            config_version=configuration.version,
            config_digest=configuration.digest,
            withdrawn=tuple(withdrawn),
            withdrawn_count=len(keys),
            withdrawn_digest=keys.digest,
            news=sent,
            wants_all_withdrawn=not self._knows_withdrawals(),
            stopping=self._stopping,
        )

    def call(self, address: Address) -> ExchangeMessage:
        """Return what to call a peer with. Its answer goes to `on_answer` before the next call."""
        message = self.message(address_text(address))
        self._peers[address_text(address)].called_with = self._seen
        return message

    def on_call(self, theirs: ExchangeMessage, now: float) -> tuple[ExchangeMessage, Learned]:
        """Take a peer's message and return our answer. `now` is read after its arrival.

        The peer does not count as heard from: the message may have waited here while this process
        was paused, so nothing tells how old it is.
        """
        learned = self._learn(theirs, self._replica.withdrawn, None)
        answer = self.message(theirs.address, with_news=self.answers_carry_news)
        if len(self._others) > FULL_ROUND_PEERS and self._knows_withdrawals():
            answer = answer._replace(
                ages=self._vouching.ages(now), gateways_digest=self._vouching.gateways_digest
            )
        differ = theirs.withdrawn_digest != answer.withdrawn_digest
        if differ and not theirs.withdrawn and not answer.withdrawn:
            if theirs.address in self._peers:
                self._peers[theirs.address].pending = list(self._seen)
            answer = answer._replace(wants_all_withdrawn=True)
        return answer, learned

    def on_answer(
        self, address: Address, ours: ExchangeMessage, theirs: ExchangeMessage, sent_at: float
    ) -> Learned:
        """Take a peer's answer to our call, which it has therefore taken in."""
        theirs = theirs._replace(address=address_text(address))
        peer = self._peers[theirs.address]
        self._note_boot(peer, theirs.boot)
        confirmed = set(ours.withdrawn)
        peer.pending = [digest for digest in peer.pending if digest not in confirmed]
        # Starting over before all was sent would repeat the newest and never reach the oldest.
        if theirs.wants_all_withdrawn and not peer.pending:
            peer.pending = list(self._seen)
        # The answer covers what we held when we called; we may have learned more since.
        return self._learn(theirs, peer.called_with, sent_at)

    def hears_majority(self, now: float) -> bool:
        """Return whether a majority of the gateways was heard from lately, directly or through others.

        This one counts unless it may have forgotten, in a restart, withdrawals that only gateways
        held.
        """
        own = self._address in self._gateways and self._knows_withdrawals()
        return self._vouching.is_majority(self._vouching.heard(now) + own)

    def gateways_heard(self, now: float) -> int:
        """Return how many other gateways were heard from lately, directly or through others."""
        return self._vouching.heard(now)

    def keys_verifiable(self, store_read_at: float, now: float) -> bool:
        """Return whether withdrawals can still reach us, from the store or from a majority."""
        return now - store_read_at <= self._cut_off_s or self.hears_majority(now)

    def _knows_withdrawals(self) -> bool:
        return self._complete or self._store_complete()

    def _learn(self, theirs: ExchangeMessage, before: WithdrawnKeys, at: float | None) -> Learned:
        after = before.with_members(theirs.withdrawn)
        in_sync = after.digest == theirs.withdrawn_digest
        self._replica.withdraw(theirs.withdrawn)
        self._note_withdrawals()
        peer = self._peers.get(theirs.address)
        if peer is not None:
            self._note_boot(peer, theirs.boot)
            if self._seen.digest == theirs.withdrawn_digest:
                peer.pending = []
            elif theirs.withdrawn:
                known = set(theirs.withdrawn)
                peer.pending = [digest for digest in peer.pending if digest not in known]
            # Heard only when nothing that the peer holds is missing here: a withdrawal that did not
            # fit into its message would otherwise be taken as checked.
            # A peer that was restarted and has not caught up vouches for nothing.
            if at is not None and in_sync and not theirs.wants_all_withdrawn:
                self._vouching.on_answer(theirs.address, at, theirs.ages, theirs.gateways_digest)
                self._complete = self._complete or self._vouching.heard_majority_since_start(at)
        ours = self._replica.configuration
        return Learned(
            theirs.config_version > ours.version,
            theirs.config_version == ours.version and theirs.config_digest != ours.digest,
            in_sync,
        )

    def _note_withdrawals(self) -> None:
        keys = self._replica.withdrawn
        if keys is self._seen:
            return
        added = keys.added_since(self._seen)
        self._seen = keys
        for peer in self._peers.values():
            peer.pending.extend(added)

    def _note_boot(self, peer: _Peer, boot: str) -> None:
        if peer.boot != boot:
            peer.boot = boot
            peer.pending = list(self._seen)


class _Budget:
    """Bytes left in a message; what does not fit waits for the next round."""

    def __init__(self, left: int) -> None:
        self._left = left

    def take(self, items: Iterable, size) -> list:
        taken = []
        for item in items:
            cost = size(item) + ELEMENT_BYTES
            if cost > self._left:
                self._left = 0
                break
            self._left -= cost
            taken.append(item)
        return taken
