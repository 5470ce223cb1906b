"""What processes tell one another, as plain values."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from expression import Result

from laburnumreel.state import Change, Configuration, FieldError, Fields

Address = tuple[str, int]


class DrainMark(NamedTuple):
    """A back end or zone that gets no new work for `remaining_s` more seconds."""

    target: str
    reason: str
    remaining_s: float


class QuarantineEntry(NamedTuple):
    """A body digest that is held back for `remaining_s` more seconds."""

    digest: str
    remaining_s: float


class NodeUpdate(NamedTuple):
    """What one process knows of the work.

    `in_flight` is, by back end, the requests and prefill tokens running now. `received` is, by
    customer, the tokens and requests served since the last exchange.
    """

    drains: tuple[DrainMark, ...] = ()
    quarantines: tuple[QuarantineEntry, ...] = ()
    in_flight: Mapping[str, tuple[int, int]] = {}
    received: Mapping[str, tuple[int, int]] = {}


class ExchangeMessage(NamedTuple):
    """One side of an exchange between two processes.

    An answer's `ages` tell, for each gateway in sorted address order, how old the answerer's
    knowledge of its withdrawals is; `gateways_digest` names that list of gateways.
    """

    sender: str
    role: str
    boot: str
    address: str
    config_version: int
    config_digest: str
    withdrawn: tuple[str, ...]
    withdrawn_count: int
    withdrawn_digest: str
    update: NodeUpdate = NodeUpdate()
    wants_all_withdrawn: bool = False
    stopping: bool = False
    ages: bytes = b""
    gateways_digest: bytes = b""


class NodeStatus(NamedTuple):
    """A process as operators see it."""

    name: str
    role: str
    zone: str
    boot: str
    ready: bool
    stopping: bool
    config_version: int
    config_digest: str
    running: int
    store_reachable: bool
    leases: tuple[str, ...] = ()


class ClaimState(NamedTuple):
    """Whether a process with this boot runs the request of a claim."""

    boot: str
    running: bool


class PeerLink(Protocol):
    """Calls to other processes. An error is a text that says what failed."""

    def exchange(self, address: Address, ours: ExchangeMessage) -> Result[ExchangeMessage, str]: ...

    def fetch_changes(
        self, address: Address, after_version: int, limit: int
    ) -> Result[list[Change], str]: ...

    def fetch_snapshot(self, address: Address) -> Result[Configuration, str]: ...


class GossipDelegate(Protocol):
    """Where a process' own news comes from and where its peers' news goes.

    `local_update` is called once for each round; its `received` covers the time since the previous call.
    `stopping` tells peers that this process takes no new work.
    """

    @property
    def stopping(self) -> bool: ...

    def local_update(self, now: float) -> NodeUpdate: ...

    def on_peer_update(self, peer: str, update: NodeUpdate, now: float) -> None: ...


class NullGossipDelegate:
    """The news source of a process that neither gathers nor needs any."""

    stopping = False

    def local_update(self, now: float) -> NodeUpdate:
        return NodeUpdate()

    def on_peer_update(self, peer: str, update: NodeUpdate, now: float) -> None:
        """Drop the news."""


def format_address(address: Address) -> str:
    """Return HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address | None:
    """Return the address that `format_address` wrote, or None for anything else."""
    try:
        return Fields({"address": text}).host_and_port("address")
    except FieldError:
        return None
