"""Which callers' connections are closed for new ones at the limit of connections."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# A connection that made no progress for this long may be closed: with a part of a request, with an
# answer that its caller does not read, and in preference to an idle one.
STALLED_REQUEST_S = 0.5
STALLED_ANSWER_S = 5.0
PREFERRED_STALL_S = 5.0
# If a new connection has waited for this long, the slowest request that has been received for at
# least `LONG_REQUEST_S` makes room, though it makes progress.
MAX_ACCEPT_WAIT_S = 1.0
LONG_REQUEST_S = 2.0

_STALLED, _IDLE, _PAUSED, _NEW, _SLOW = range(5)


class Connection(Protocol):
    """What decides whether a connection is closed. Times are in seconds of the monotonic clock."""

    total_outbufs_len: int

    @property
    def is_running(self) -> bool: ...
    @property
    def is_receiving(self) -> bool: ...
    @property
    def is_idle(self) -> bool: ...
    @property
    def progressed_at(self) -> float: ...
    @property
    def began_at(self) -> float: ...
    @property
    def received_bytes(self) -> int: ...
    def is_stalled(self, now: float, limit_s: float) -> bool: ...


AnyConnection = TypeVar("AnyConnection", bound=Connection)


def choose_connection(
    connections: Iterable[AnyConnection], now: float, waited_s: float
) -> AnyConnection | None:
    """Return the connection to close for a new one that has waited for `waited_s`, or None.

    Of several, it is the one that made no progress for longest, or the slowest one.
    """
    ranked = [
        (rank, _receive_rate(each, now) if rank == _SLOW else each.progressed_at, number, each)
        for number, each in enumerate(connections)
        if (rank := _allowed_rank(each, now, waited_s)) is not None
    ]
    return min(ranked)[-1] if ranked else None


def is_any_closable(connections: Iterable[Connection], now: float, waited_s: float) -> bool:
    """Return whether a connection may be closed for a new one that has waited for `waited_s`."""
    return any(_allowed_rank(each, now, waited_s) is not None for each in connections)


def closing_rank(connection: Connection, now: float) -> int | None:
    """Return how soon a connection is closed for a new one, or None if it has to stay.

    One whose request runs stays, unless its caller does not read the answer. An idle one goes before
    one whose request may still arrive, then a new one, and last one that makes progress.
    """
    stalled_s = now - connection.progressed_at
    if connection.is_running:
        # A stream may send little at a time.
        return _STALLED if connection.is_stalled(now, STALLED_ANSWER_S) else None
    if connection.total_outbufs_len:
        return _STALLED if stalled_s >= STALLED_ANSWER_S else None
    if connection.is_receiving and stalled_s >= PREFERRED_STALL_S:
        return _STALLED
    if connection.is_idle:
        return _IDLE if stalled_s >= STALLED_REQUEST_S else _NEW
    if stalled_s >= STALLED_REQUEST_S:
        return _PAUSED
    return _SLOW if now - connection.began_at >= LONG_REQUEST_S else None


def _receive_rate(connection: Connection, now: float) -> float:
    """Return the bytes per second of a request that has been received for `LONG_REQUEST_S`."""
    return connection.received_bytes / (now - connection.began_at)


def _allowed_rank(connection: Connection, now: float, waited_s: float) -> int | None:
    rank = closing_rank(connection, now)
    return None if rank == _SLOW and waited_s < MAX_ACCEPT_WAIT_S else rank
