"""The decisions of the peer exchange: what to send, what is learned, who was heard from."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from laburnumreel.coordination._messages import (
    Address,
    ExchangeMessage,
    NodeUpdate,
    format_address,
)
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._withdrawal_freshness import WithdrawalFreshness
from laburnumreel.state import WithdrawnKeys

MAX_EXCHANGE_BYTES = 64 * 1024
# What a message's fixed fields may take; the lists share the rest.
FIXED_FIELD_BYTES = 2048
# The thrift binary protocol's overhead of a list element: field headers, lengths and numbers.
LIST_ELEMENT_BYTES = 32
MAX_FULL_ROUND_PEERS = 16
SAMPLED_PEERS = 8
# A peer that is unreachable for long gathers no more customers' figures than this.
MAX_UNSENT_CUSTOMERS = 512


class PeerComparison(NamedTuple):
    """What a message told us: whether the sender's configuration is ahead or in conflict."""

    is_peer_newer: bool
    has_conflict: bool
    is_in_sync: bool


class _PeerState:
    """What we know of one peer: withdrawals it may lack, its boot, and figures to tell it."""

    def __init__(self, withdrawn: Iterable[str]) -> None:
        self.boot = ""
        self.unconfirmed = list(withdrawn)
        self.unsent_received: dict[str, tuple[int, int]] = {}
        self.withdrawn_at_call = WithdrawnKeys()


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
        rng: random.Random,
        has_read_store: Callable[[], bool],
    ) -> None:
        """`has_read_store` tells whether this process has ever read the store to its end."""
        self._identity = (name, role, boot, format_address(address))
        self._address = address
        self._gateways = frozenset(gateways)
        self._peer_addresses = [
            a for a in dict.fromkeys([*gateways, *coordinators]) if a != address
        ]
        self._cut_off_s = cut_off_s
        self._freshness = WithdrawalFreshness(gateways, address, cut_off_s)
        self._replica = replica
        self._rng = rng
        self._known_withdrawn = replica.withdrawn
        self._peers = {
            format_address(a): _PeerState(self._known_withdrawn) for a in self._peer_addresses
        }
        self._local_update = NodeUpdate()
        self._stopping = False
        self._has_read_store = has_read_store
        self._has_caught_up = False

    @property
    def peers(self) -> list[Address]:
        return list(self._peer_addresses)

    @property
    def should_answer_with_update(self) -> bool:
        """Whether answers carry news: where every peer is called in each round, calls do so."""
        return len(self._peer_addresses) > MAX_FULL_ROUND_PEERS

    def choose_peers(self) -> list[Address]:
        """Return the peers to exchange with now."""
        if not self.should_answer_with_update:
            return list(self._peer_addresses)
        return self._rng.sample(self._peer_addresses, SAMPLED_PEERS)

    def on_local_update(self, update: NodeUpdate, stopping: bool) -> None:
        """Take this process' news; what customers received is added up for each peer."""
        self._local_update = update
        self._stopping = stopping
        for customer, (tokens, requests) in update.received.items():
            for peer in self._peers.values():
                if (
                    customer in peer.unsent_received
                    or len(peer.unsent_received) < MAX_UNSENT_CUSTOMERS
                ):
                    old = peer.unsent_received.get(customer, (0, 0))
                    peer.unsent_received[customer] = (old[0] + tokens, old[1] + requests)

    def build_message(self, address: str, with_update: bool = True) -> ExchangeMessage:
        """Return what to send to a peer, as a call or as the answer to one."""
        self._track_new_withdrawals()
        peer = self._peers.get(address)
        budget = _ByteBudget(
            MAX_EXCHANGE_BYTES - FIXED_FIELD_BYTES - self._freshness.encoded_ages_size
        )
        withdrawn = budget.take(reversed(peer.unconfirmed) if peer else (), len)
        update = self._local_update if with_update else NodeUpdate()
        unsent_received = peer.unsent_received if peer and with_update else {}
        included = NodeUpdate(
            tuple(budget.take(update.drains, lambda mark: len(mark.target) + len(mark.reason))),
            tuple(budget.take(update.quarantines, lambda entry: len(entry.digest))),
            dict(budget.take(update.in_flight.items(), lambda item: len(item[0]))),
            dict(budget.take(unsent_received.items(), lambda item: len(item[0]))),
        )
        if peer:
            # Figures are told at most once: a repeated one would count against a customer twice.
            for customer in included.received:
                del peer.unsent_received[customer]
        configuration, keys = self._replica.configuration, self._known_withdrawn
        return ExchangeMessage(
            *self._identity,
            config_version=configuration.version,
            config_digest=configuration.digest,
            withdrawn=tuple(withdrawn),
            withdrawn_count=len(keys),
            withdrawn_digest=keys.digest,
            update=included,
            wants_all_withdrawn=not self._has_all_withdrawals(),
            stopping=self._stopping,
        )

    def build_call(self, address: Address) -> ExchangeMessage:
        """Return what to call a peer with. Its answer goes to `on_answer` before the next call."""
        message = self.build_message(format_address(address))
        self._peers[format_address(address)].withdrawn_at_call = self._known_withdrawn
        return message

    def on_call(
        self, theirs: ExchangeMessage, now: float
    ) -> tuple[ExchangeMessage, PeerComparison]:
        """Take a peer's message and return our answer. `now` is read after its arrival.

        The peer does not count as heard from: the message may have waited here while this process
        was paused, so nothing tells how old it is.
        """
        comparison = self._merge_message(theirs, self._replica.withdrawn, None)
        answer = self.build_message(theirs.address, with_update=self.should_answer_with_update)
        if len(self._peer_addresses) > MAX_FULL_ROUND_PEERS and self._has_all_withdrawals():
            answer = answer._replace(
                ages=self._freshness.ages(now), gateways_digest=self._freshness.gateways_digest
            )
        differ = theirs.withdrawn_digest != answer.withdrawn_digest
        if differ and not theirs.withdrawn and not answer.withdrawn:
            if theirs.address in self._peers:
                self._peers[theirs.address].unconfirmed = list(self._known_withdrawn)
            answer = answer._replace(wants_all_withdrawn=True)
        return answer, comparison

    def on_answer(
        self, address: Address, ours: ExchangeMessage, theirs: ExchangeMessage, sent_at: float
    ) -> PeerComparison:
        """Take a peer's answer to our call, which it has therefore taken in."""
        theirs = theirs._replace(address=format_address(address))
        peer = self._peers[theirs.address]
        self._track_restart(peer, theirs.boot)
        confirmed = set(ours.withdrawn)
        peer.unconfirmed = [digest for digest in peer.unconfirmed if digest not in confirmed]
        # Starting over before all was sent would repeat the newest and never reach the oldest.
        if theirs.wants_all_withdrawn and not peer.unconfirmed:
            peer.unconfirmed = list(self._known_withdrawn)
        # The answer covers what we held when we called; we may have learned more since.
        return self._merge_message(theirs, peer.withdrawn_at_call, sent_at)

    def has_recent_majority(self, now: float) -> bool:
        """Return whether a majority of the gateways was heard from lately, directly or through others.

        This one counts unless it may have forgotten, in a restart, withdrawals that only gateways
        held.
        """
        own = self._address in self._gateways and self._has_all_withdrawals()
        return self._freshness.is_majority(self._freshness.count_fresh(now) + own)

    def count_recent_gateways(self, now: float) -> int:
        """Return how many other gateways were heard from lately, directly or through others."""
        return self._freshness.count_fresh(now)

    def keys_verifiable(self, store_read_at: float, now: float) -> bool:
        """Return whether withdrawals can still reach us, from the store or from a majority."""
        return now - store_read_at <= self._cut_off_s or self.has_recent_majority(now)

    def _has_all_withdrawals(self) -> bool:
        return self._has_caught_up or self._has_read_store()

    def _merge_message(
        self, theirs: ExchangeMessage, before: WithdrawnKeys, at: float | None
    ) -> PeerComparison:
        after = before.with_members(theirs.withdrawn)
        is_in_sync = after.digest == theirs.withdrawn_digest
        self._replica.withdraw(theirs.withdrawn)
        self._track_new_withdrawals()
        peer = self._peers.get(theirs.address)
        if peer is not None:
            self._track_restart(peer, theirs.boot)
            if self._known_withdrawn.digest == theirs.withdrawn_digest:
                peer.unconfirmed = []
            elif theirs.withdrawn:
                known = set(theirs.withdrawn)
                peer.unconfirmed = [digest for digest in peer.unconfirmed if digest not in known]
            # Heard only when nothing that the peer holds is missing here: a withdrawal that did not
            # fit into its message would otherwise be taken as checked.
            # A peer that was restarted and has not caught up vouches for nothing.
            if at is not None and is_in_sync and not theirs.wants_all_withdrawn:
                self._freshness.on_answer(theirs.address, at, theirs.ages, theirs.gateways_digest)
                self._has_caught_up = (
                    self._has_caught_up or self._freshness.has_majority_since_start(at)
                )
        ours = self._replica.configuration
        return PeerComparison(
            theirs.config_version > ours.version,
            theirs.config_version == ours.version and theirs.config_digest != ours.digest,
            is_in_sync,
        )

    def _track_new_withdrawals(self) -> None:
        keys = self._replica.withdrawn
        if keys is self._known_withdrawn:
            return
        added = keys.added_since(self._known_withdrawn)
        self._known_withdrawn = keys
        for peer in self._peers.values():
            peer.unconfirmed.extend(added)

    def _track_restart(self, peer: _PeerState, boot: str) -> None:
        if peer.boot != boot:
            peer.boot = boot
            peer.unconfirmed = list(self._known_withdrawn)


class _ByteBudget:
    """Bytes left in a message; what does not fit waits for the next round."""

    def __init__(self, remaining: int) -> None:
        self._remaining = remaining

    def take(self, items: Iterable, size_of) -> list:
        taken = []
        for item in items:
            cost = size_of(item) + LIST_ELEMENT_BYTES
            if cost > self._remaining:
                self._remaining = 0
                break
            self._remaining -= cost
            taken.append(item)
        return taken
