"""Messages between processes as plain values, and the interfaces for sending and handling them."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from expression import Result

from laburnumreel.coordination._crash_suspects import CrashReport
from laburnumreel.state import Change, Configuration, FieldError, Fields

Address = tuple[str, int]


class DrainMark(NamedTuple):
    """A back end or availability zone that gets no new work for `remaining_s` more seconds."""

    target: str
    reason: str
    remaining_s: float


class QuarantineEntry(NamedTuple):
    """The digest of a request body that is quarantined for `remaining_s` more seconds."""

    digest: str
    remaining_s: float


class NodeUpdate(NamedTuple):
    """What a process tells its peers about its work.

    `in_flight` maps a back end to its requests and prefill tokens running now. `received` maps
    `customer/service` to the tokens and requests charged since the last exchange; corrections may
    be negative. `held_parts` maps the held parts of prompts to the remaining seconds of each,
    `answered_parts` suspected ones to the seconds since an answer with each last began.
    """

    drains: tuple[DrainMark, ...] = ()
    quarantines: tuple[QuarantineEntry, ...] = ()
    in_flight: Mapping[str, tuple[int, int]] = {}
    received: Mapping[str, tuple[int, int]] = {}
    held_parts: Mapping[str, float] = {}
    crash_reports: tuple[CrashReport, ...] = ()
    answered_parts: Mapping[str, float] = {}


class ExchangeMessage(NamedTuple):
    """The call or the answer of an exchange between two processes.

    An answer's `ages` encode how old the sender's knowledge of each gateway's withdrawals is, in
    sorted address order. `gateways_digest` identifies the list of gateways that they are for.
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
    """The status of a process as shown to operators."""

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


class HeldPartStatus(NamedTuple):
    """A part of prompts that a gateway holds, as shown to operators.

    `back_ends` crashed in `requests` requests with it; both are empty if a peer has told of it.
    """

    part: str
    held_s: float
    remaining_s: float
    back_ends: tuple[str, ...] = ()
    requests: int = 0


class ClaimState(NamedTuple):
    """Whether the process with this boot is running the claimed request."""

    boot: str
    running: bool


class PeerLink(Protocol):
    """Calls to other processes. An error is a text that describes the failure."""

    def exchange(self, address: Address, ours: ExchangeMessage) -> Result[ExchangeMessage, str]: ...

    def fetch_changes(
        self, address: Address, after_version: int, limit: int
    ) -> Result[list[Change], str]: ...

    def fetch_snapshot(self, address: Address) -> Result[Configuration, str]: ...


class GossipDelegate(Protocol):
    """Supplies a process' own updates to the exchange and handles the updates of its peers.

    `local_update` is called once a round; the `received` of its result covers the time since the
    previous call. `stopping` is sent to the peers and says that this process accepts no new work.
    """

    @property
    def stopping(self) -> bool: ...

    def local_update(self, now: float) -> NodeUpdate: ...

    def on_peer_update(self, peer: str, update: NodeUpdate, now: float) -> None: ...

    def on_peer_holds(self, held_parts: Mapping[str, float]) -> None:
        """Handle the held parts of prompts in an answer that carries no other update."""
        ...


class NullGossipDelegate:
    """The delegate of a process that has no updates to send and ignores those of peers."""

    stopping = False

    def local_update(self, now: float) -> NodeUpdate:
        return NodeUpdate()

    def on_peer_update(self, peer: str, update: NodeUpdate, now: float) -> None:
        """Ignore the update."""

    def on_peer_holds(self, held_parts: Mapping[str, float]) -> None:
        """Ignore the held parts."""


def format_address(address: Address) -> str:
    """Return the address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address | None:
    """Parse the output of `format_address`; return None for anything else."""
    try:
        return Fields({"address": text}).host_and_port("address")
    except FieldError:
        return None
