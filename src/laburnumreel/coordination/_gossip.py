"""The gossip protocol between processes, without threads or sockets.

Decides what to send to each peer, merges what peers send, and tracks which withdrawals each peer
has confirmed.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from laburnumreel.coordination._crash_suspects import CrashReport
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
# Bytes reserved for the fixed fields of a message; the lists share the rest.
FIXED_FIELD_BYTES = 2048
# Overhead of a list element in the Thrift binary protocol: field headers, lengths and numbers.
LIST_ELEMENT_BYTES = 32
MAX_FULL_ROUND_PEERS = 16
SAMPLED_PEERS = 8
# Bytes of a message that the news of crashes may take.
MAX_CRASH_NEWS_BYTES = 24 * 1024
# Limits the number of customers whose figures are kept for an unreachable peer.
MAX_UNSENT_CUSTOMERS = 512


class PeerComparison(NamedTuple):
    """How a peer's state compares with ours, according to its message.

    `is_peer_newer`: its configuration is newer. `has_conflict`: its configuration has our version
    but another digest. `is_in_sync`: the withdrawn keys that the message was checked against,
    with those in the message added, are all that the peer holds.
    """

    is_peer_newer: bool
    has_conflict: bool
    is_in_sync: bool


class _PeerState:
    """State kept for one peer.

    `unconfirmed` holds the withdrawals that it has not confirmed, `withdrawn_at_call` the withdrawn
    keys known at the last call. `unsent_received` of a peer holds the customers' figures that were
    not sent to it yet.
    """

    def __init__(self, withdrawn: Iterable[str]) -> None:
        self.boot = ""
        self.unconfirmed = list(withdrawn)
        self.unsent_received: dict[str, tuple[int, int]] = {}
        self.withdrawn_at_call = WithdrawnKeys()


class Gossip:
    """The gossip state of one process. Not thread-safe: `PeerExchange` serialises the calls.

    Withdrawals are sent to each peer, the newest first, until the peer has confirmed them. Only a
    peer's answer to our call confirms what the call carried. What we send in an answer may be lost
    without notice, so it is sent again.
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
        """Create the state of the process that listens at `address`.

        `has_read_store` returns whether this process has read the whole store at least once.
        """
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
        """Whether answers carry an update too.

        They do where each round calls only a sample of the peers. Elsewhere the calls suffice.
        """
        return len(self._peer_addresses) > MAX_FULL_ROUND_PEERS

    def choose_peers(self) -> list[Address]:
        """Return the peers to call now: all of them, or a random sample if there are many."""
        if not self.should_answer_with_update:
            return list(self._peer_addresses)
        return self._rng.sample(self._peer_addresses, SAMPLED_PEERS)

    def on_local_update(self, update: NodeUpdate, stopping: bool) -> None:
        """Replace the update that is sent to peers.

        Its figures of what customers received are added to those not sent to each peer yet.
        """
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
        """Return the message for a peer, which is a call or the answer to one."""
        self._track_new_withdrawals()
        peer = self._peers.get(address)
        budget = _ByteBudget(
            MAX_EXCHANGE_BYTES - FIXED_FIELD_BYTES - self._freshness.encoded_ages_size
        )
        withdrawn = budget.take(reversed(peer.unconfirmed) if peer else (), len)
        update = self._local_update if with_update else NodeUpdate()
        unsent_received = peer.unsent_received if peer and with_update else {}
        included = self._crash_news(budget.split(MAX_CRASH_NEWS_BYTES), with_update)._replace(
            drains=tuple(
                budget.take(update.drains, lambda mark: len(mark.target) + len(mark.reason))
            ),
            quarantines=tuple(budget.take(update.quarantines, lambda entry: len(entry.digest))),
            in_flight=dict(budget.take(update.in_flight.items(), lambda item: len(item[0]))),
            received=dict(budget.take(unsent_received.items(), lambda item: len(item[0]))),
        )
        if peer:
            # Figures are sent at most once: a repeated one would be charged to the customer twice.
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

    def _crash_news(self, budget: "_ByteBudget", with_update: bool) -> NodeUpdate:
        """Return the news of crashes that fit into a message.

        Held parts are part of every message, so that a process knows them after its first call.
        """
        update = self._local_update
        held_parts = dict(budget.take(update.held_parts.items(), lambda item: len(item[0])))
        if not with_update:
            return NodeUpdate(held_parts=held_parts)
        answered = dict(budget.take(update.answered_parts.items(), lambda item: len(item[0])))
        return NodeUpdate(
            held_parts=held_parts,
            crash_reports=tuple(budget.take(update.crash_reports, _report_size)),
            answered_parts=answered,
        )

    def build_call(self, address: Address) -> ExchangeMessage:
        """Return the message of a call to a peer.

        The answer must be passed to `on_answer` before the next call to the same peer.
        """
        message = self.build_message(format_address(address))
        self._peers[format_address(address)].withdrawn_at_call = self._known_withdrawn
        return message

    def on_call(
        self, theirs: ExchangeMessage, now: float
    ) -> tuple[ExchangeMessage, PeerComparison]:
        """Handle a peer's call and return our answer. `now` is read after the call's arrival.

        A call is no evidence of how fresh the peer's withdrawals are: it may have waited in the
        socket while this process was paused, so its age is unknown.
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
        """Handle a peer's answer to our call. It confirms the withdrawals that the call carried."""
        theirs = theirs._replace(address=format_address(address))
        peer = self._peers[theirs.address]
        self._track_restart(peer, theirs.boot)
        confirmed = set(ours.withdrawn)
        peer.unconfirmed = [digest for digest in peer.unconfirmed if digest not in confirmed]
        # Restarting before all were sent would repeat the newest and never reach the oldest.
        if theirs.wants_all_withdrawn and not peer.unconfirmed:
            peer.unconfirmed = list(self._known_withdrawn)
        # The answer is compared with what we held at the call; we may know more by now.
        return self._merge_message(theirs, peer.withdrawn_at_call, sent_at)

    def has_recent_majority(self, now: float) -> bool:
        """Return whether our withdrawals are up to date with a majority of the gateways.

        That is, with their state within the last `cut_off_s`, known directly or through other
        gateways. This gateway counts too, unless it was restarted and may have lost withdrawals
        that only gateways held.
        """
        own = self._address in self._gateways and self._has_all_withdrawals()
        return self._freshness.is_majority(self._freshness.count_fresh(now) + own)

    def count_recent_gateways(self, now: float) -> int:
        """Return the number of other gateways whose state within `cut_off_s` is known."""
        return self._freshness.count_fresh(now)

    def keys_verifiable(self, store_read_at: float, now: float) -> bool:
        """Return whether the store or a majority was heard from within `cut_off_s`."""
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
            # Counts only if we hold all that the peer holds: otherwise a withdrawal that did not
            # fit into its message would be taken as checked. A peer that was restarted and has not
            # caught up may lack withdrawals itself, so its answer counts for nothing.
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


def _report_size(report: CrashReport) -> int:
    requests = sum(
        LIST_ELEMENT_BYTES + len(each.request) + sum(map(len, each.parts))
        for each in report.requests
    )
    return len(report.back_end) + requests


class _ByteBudget:
    """The bytes left in a message. Items that do not fit wait for the next round."""

    def __init__(self, remaining: int) -> None:
        self._remaining = remaining

    def split(self, maximum: int) -> "_ByteBudget":
        """Return a part of this budget, which is no longer available here."""
        split = _ByteBudget(min(self._remaining, maximum))
        self._remaining -= split._remaining
        return split

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
