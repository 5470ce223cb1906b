"""The interfaces to surrounding systems, as protocols that an adapter implements."""

from collections.abc import Iterable, Mapping
from concurrent.futures import Future
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from expression import Result

from laburnumreel.protocol import Answer
from laburnumreel.relay._back_ends import Address, ListedBackEnd, Role
from laburnumreel.relay._config import RelayConfig
from laburnumreel.relay._requests import Dispatch, PromptCopy, RelayRequest, SelfReport, Verdict
from laburnumreel.state import Authority, Platform, PlatformError, Refusal, StoreEra
from laburnumreel.transport import CallRateLimiter

Entry = TypeVar("Entry")


class Listing(NamedTuple, Generic[Entry]):
    """Entries of a table by name; None for an entry that was removed or is in `unreadable`.

    A `complete` listing has all entries of the table, otherwise only those that changed. `version`
    is where the next call continues, `versions` are the versions at which the entries were written.
    `store_time_s` is the store's monotonic clock at the time of its answer, in seconds.
    """

    entries: Mapping[str, Entry | None]
    version: int
    store_time_s: float
    complete: bool
    versions: Mapping[str, int] = {}
    unreadable: frozenset[str] = frozenset()


class Feed(Protocol[Entry]):
    """A table of the store that can be read completely and then followed."""

    def read(self) -> Result[Listing[Entry], PlatformError]: ...

    def follow(self, version: int, wait_s: float) -> Result[Listing[Entry], PlatformError]:
        """Return the changes after a version, or none if `wait_s` passes without any.

        The error kind `history_gone` means that the caller must read the table completely.
        """

    def interrupt(self) -> None:
        """Make a call that waits in another thread fail."""


class Directory(Protocol):
    """The tables with the relay's configuration and the list of backend servers."""

    @property
    def configuration(self) -> Feed[RelayConfig]: ...

    @property
    def back_ends(self) -> Feed[ListedBackEnd]: ...

    @property
    def back_ends_on_demand(self) -> Feed[ListedBackEnd]:
        """The same table, for calls beside those that follow it."""


class CallerWire(Protocol):
    """The protocol between callers and the relay."""

    def request(self, environ: Mapping[str, Any], now: float) -> Result[RelayRequest, Refusal]: ...

    def refusal(self, refusal: Refusal, request_id: str) -> Answer: ...

    def forward_headers(self, request: RelayRequest, remaining_s: float) -> dict[str, str]:
        """Return the headers with which a request is passed on to another host.

        `remaining_s` is how much longer its caller waits, in seconds.
        """

    def refusal_kind(self, headers: Mapping[str, str]) -> Refusal | None:
        """Return the kind and run state in a refusal of another host, None if it is none."""

    def answer_headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a backend server's answer that a caller may see."""


class BackEndWire(Protocol):
    """The protocol between the relay and backend servers."""

    def headers(self, dispatch: Dispatch) -> dict[str, str]: ...

    def verdict(
        self, status: int, headers: Mapping[str, str], dispatch: Dispatch
    ) -> Verdict | None:
        """Return the result in an answer's head, or None if it belongs to another request.

        If the verdict is not `names_request`, it is only valid if the connection carried no other request.
        """

    def self_report(self, status: int, headers: Mapping[str, str], back_end: str) -> SelfReport:
        """Return what a backend server reports about itself in an answer's head."""

    def unknown_headers(self, headers: Mapping[str, str]) -> Iterable[str]:
        """Return the names, in lower case, of headers that the protocol does not define."""

    def prompt_copy(self, address: Address, body: bytes) -> Result[PromptCopy, str]: ...

    def release_request(self, copy: PromptCopy) -> tuple[str, str]:
        """Return the method and path of the call that frees an unused copy."""


class DutyCall(NamedTuple):
    """A call that only the holder of the lease may make, ready to be sent."""

    path: str
    headers: Mapping[str, str]
    body: Mapping[str, Any]


class DutyWire(Protocol):
    """The protocol of usage reports, orders of backend servers, and role changes of engines."""

    def usage(self, authority: Authority, window: int, counts: Mapping[str, int]) -> DutyCall: ...

    def capacity(
        self, authority: Authority, service: str, zone: str, count: int, cheap: bool
    ) -> DutyCall: ...

    def role(self, authority: Authority, back_end: ListedBackEnd, role: Role) -> DutyCall: ...


class StreamFinder(Protocol):
    """Knows which software began the streams that callers may take up."""

    def record(self, stream: bytes, service: str, software: str) -> None: ...

    def find(self, stream: bytes, service: str) -> Future:
        """Return a future of a `StreamFinding`."""


class Adapter(NamedTuple):
    """The implementations that connect a relay to the surrounding systems.

    `lease_store` is used for the lease, with short timeouts, and `store` for everything else.
    `store_pace` limits the calls of both to this host's share, and `store_era` is the era of the
    store's answers.
    """

    store: Platform
    lease_store: Platform
    store_pace: CallRateLimiter
    store_era: StoreEra
    directory: Directory
    callers: CallerWire
    back_ends: BackEndWire
    duties: DutyWire
    readiness_path: str
