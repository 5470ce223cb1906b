"""The task that reads what has changed in the table of backend servers, when something depends on it.

Hosts read the table from time to time. A host that stood still or was cut off believes what it read
before; only a read that was sent after a question shows that nothing has changed until then.
"""

from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from laburnumreel.core import Clock, Log, Task, TaskStoppedError
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import LIST_READ_FAILED
from laburnumreel.relay._ports import Feed, Listing

# The longest time for which the listing is awaited to take effect on the dispatcher.
MAX_APPLY_S = 1.0

_log = Log("relay.list_read")


class ListRead(NamedTuple):
    """The outcome of a read: when it was sent, and whether what it returned has been applied."""

    sent_at: float
    is_applied: bool


class ListReader(Task):
    """Reads the changes since the last read of the host, and has them applied.

    `seen_version` returns the version up to which the host has read the table, or 0. `apply` applies
    a listing. `on_read` is called on this task's thread with each outcome. Requests that come while
    a read runs are served by one read after it.
    """

    def __init__(
        self,
        feed: Feed[ListedBackEnd],
        clock: Clock,
        seen_version: Callable[[], int],
        apply: Callable[[Listing[ListedBackEnd]], Future],
        on_read: Callable[[ListRead], None],
    ) -> None:
        super().__init__("list-reader")
        self._feed = feed
        self._clock = clock
        self._seen_version = seen_version
        self._apply = apply
        self._on_read = on_read
        self._sent_at = float("-inf")

    def request(self) -> None:
        """Request a read that is sent from now on. Called from other threads."""
        self.tell(self._clock.now())

    def stop(self, timeout_s: float = 10.0) -> None:
        self._feed.interrupt()
        super().stop(timeout_s)

    def handle(self, message: object) -> None:
        requested_at = message
        if requested_at <= self._sent_at:
            return
        self._sent_at = self._clock.now()
        self._on_read(ListRead(self._sent_at, self._read()))

    def _read(self) -> bool:
        version = self._seen_version()
        if not version:
            return False
        result = self._feed.follow(version, 0.0)
        if result.is_error():
            _log.info(LIST_READ_FAILED, kind=result.error.kind, detail=result.error.detail[:200])
            return False
        try:
            self._apply(result.ok).result(MAX_APPLY_S)
        except (TimeoutError, TaskStoppedError) as error:
            _log.info(LIST_READ_FAILED, kind="not_applied", detail=repr(error))
            return False
        return True
