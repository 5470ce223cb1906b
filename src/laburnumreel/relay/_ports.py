"""What a relay needs from the systems around it, as protocols that an adapter implements."""

from collections.abc import Iterable, Mapping
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from expression import Result

from laburnumreel.protocol import Answer
from laburnumreel.relay._back_ends import Address, ListedBackEnd, Role
from laburnumreel.relay._config import RelayConfig
from laburnumreel.relay._requests import Dispatch, PromptCopy, RelayRequest, SelfReport, Verdict
from laburnumreel.state import Authority, Platform, PlatformError, Refusal, StoreEra
from laburnumreel.transport import CallPace

Entry = TypeVar("Entry")


class Listing(NamedTuple, Generic[Entry]):
    """Entries of a table by name; None for one that was removed or names nothing usable.

    A `complete` listing holds all entries. `version` is where the next call goes on, `versions` are
    those at which the entries were written. `store_time_s` is the store's steady clock as it answered, in
    seconds.
    """

    entries: Mapping[str, Entry | None]
    version: int
    store_time_s: float
    complete: bool
    versions: Mapping[str, int] = {}


class Feed(Protocol[Entry]):
    """A table of the store that can be read whole and then followed."""

    def read(self) -> Result[Listing[Entry], PlatformError]: ...

    def follow(self, version: int, wait_s: float) -> Result[Listing[Entry], PlatformError]:
        """Return what changed after a version, or nothing after `wait_s`.

        The error kind `history_gone` asks for a complete read.
        """

    def interrupt(self) -> None:
        """Let a call that waits in another thread fail."""


class Directory(Protocol):
    """The tables that tell a relay what to serve and where."""

    @property
    def configuration(self) -> Feed[RelayConfig]: ...

    @property
    def back_ends(self) -> Feed[ListedBackEnd]: ...


class CallerWire(Protocol):
    """The protocol that callers speak."""

    def request(self, environ: Mapping[str, Any], now: float) -> Result[RelayRequest, Refusal]: ...

    def refusal(self, refusal: Refusal, request_id: str) -> Answer: ...

    def answer_headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a backend server's answer that a caller may see."""


class BackEndWire(Protocol):
    """The protocol that backend servers speak."""

    def headers(self, dispatch: Dispatch) -> dict[str, str]: ...

    def verdict(
        self, status: int, headers: Mapping[str, str], dispatch: Dispatch
    ) -> Verdict | None:
        """Return what an answer's head says, or None where it answers another request.

        Where the verdict is not `names_request`, it only holds if the connection carried no other request.
        """

    def self_report(self, status: int, headers: Mapping[str, str], back_end: str) -> SelfReport:
        """Return what a backend server says of itself in an answer's head."""

    def unknown_headers(self, headers: Mapping[str, str]) -> Iterable[str]:
        """Return the names, in lower case, of headers that the protocol doesn't know."""

    def prompt_copy(self, address: Address, body: bytes) -> Result[PromptCopy, str]: ...

    def release_request(self, copy: PromptCopy) -> tuple[str, str]:
        """Return the method and path that free a copy that will not be taken."""


class DutyCall(NamedTuple):
    """A call that only the holder of the lease may make, as it goes out."""

    path: str
    headers: Mapping[str, str]
    body: Mapping[str, Any]


class DutyWire(Protocol):
    """The protocol of usage reports and of orders for backend servers and to engines."""

    def usage(self, authority: Authority, window: int, counts: Mapping[str, int]) -> DutyCall: ...

    def capacity(
        self, authority: Authority, service: str, zone: str, count: int, cheap: bool
    ) -> DutyCall: ...

    def role(self, authority: Authority, back_end: ListedBackEnd, role: Role) -> DutyCall: ...


class Adapter(NamedTuple):
    """What connects a relay to the systems around it.

    `lease_store` serves the lease with short timeouts of its own, `store` everything else.
    `store_pace` holds the calls of both to this host's share, and `store_era` is the era of the answers
    to them.
    """

    store: Platform
    lease_store: Platform
    store_pace: CallPace
    store_era: StoreEra
    directory: Directory
    callers: CallerWire
    back_ends: BackEndWire
    duties: DutyWire
    readiness_path: str
