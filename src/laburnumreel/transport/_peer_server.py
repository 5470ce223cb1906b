"""The thrift server for calls from other processes and from the command line."""

import selectors
import socket
import threading
import time
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from typing import Any, Protocol

from thrift.Thrift import TException

from laburnumreel.coordination import (
    ClaimState,
    ConfigSync,
    HeldPartStatus,
    NodeStatus,
    PeerExchange,
)
from laburnumreel.core import Log
from laburnumreel.protocol import _wire
from laburnumreel.protocol.gen.node import Node
from laburnumreel.transport._events import PEER_CALL_FAILED, PEER_REFUSED
from laburnumreel.transport._frames import (
    LENGTH_PREFIX,
    MAX_CALL_BYTES,
    encode_frame,
    make_reader,
    make_writer,
)

CALL_THREADS = 8
MAX_CONNECTIONS = 1024
# What the unfinished calls of all connections may hold together.
MAX_UNFINISHED_BYTES = 8 * 1024 * 1024
# Further calls stay unread in their sockets.
MAX_RUNNING_CALLS = 64
SELECT_TIMEOUT_S = 0.5
FULL_POLL_INTERVAL_S = 0.01
# A peer whose call is not received whole, or that does not read its answer, within this time is
# disconnected.
PARTIAL_CALL_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
FETCH_LIMIT = 500
FETCH_BYTES = 1 << 20

_log = Log("transport.peer_server")


class NodeInfoProvider(Protocol):
    """What the program that runs the server reports about itself."""

    def status(self) -> NodeStatus: ...

    def claim_state(self, claim_key: str) -> ClaimState: ...

    def held_parts(self) -> list[HeldPartStatus]: ...

    def release_part(self, part: str) -> bool: ...


class _NodeService:
    """The thrift service. Each method converts its arguments, calls the owning task and converts
    the result."""

    def __init__(
        self, exchange: PeerExchange, config_sync: ConfigSync, node: NodeInfoProvider
    ) -> None:
        self._exchange = exchange
        self._config_sync = config_sync
        self._node = node

    def exchange(self, message: Any) -> Any:
        answer = self._exchange.answer(_wire.exchange_from_wire(message))
        return _wire.exchange_to_wire(answer)

    def fetch_changes(self, after_version: int, limit: int) -> list[Any]:
        size, answer = 0, []
        limit = max(0, min(limit, FETCH_LIMIT))
        for change in self._config_sync.changes_after(after_version, limit):
            wire = _wire.change_to_wire(change)
            size += len(wire.body)
            if answer and size > FETCH_BYTES:
                break
            answer.append(wire)
        return answer

    def fetch_snapshot(self) -> Any:
        return _wire.snapshot_to_wire(self._config_sync.configuration)

    def withdraw_key(self, key_digest: str) -> int:
        self._config_sync.withdraw([_wire.digest_from_wire(key_digest)])
        return len(self._config_sync.withdrawn)

    def status(self) -> Any:
        return _wire.status_to_wire(self._node.status())

    def claim_state(self, claim_key: str) -> Any:
        return _wire.claim_state_to_wire(self._node.claim_state(claim_key))

    def held_parts(self) -> list[Any]:
        return [_wire.held_part_to_wire(each) for each in self._node.held_parts()]

    def release_part(self, part: bytes) -> bool:
        return self._node.release_part(_wire.part_from_wire(part))


class _Connection:
    """A peer's connection: its unprocessed bytes, and whether a call of it is running."""

    def __init__(self, peer: socket.socket) -> None:
        self.socket = peer
        self.buffer = bytearray()
        self.is_busy = False
        self.active_at = time.monotonic()
        # When the first byte of an unfinished call was received.
        self.call_began_at = 0.0

    @property
    def idle_since(self) -> float:
        """When the unfinished call began, or else when the connection was last active."""
        return self.call_began_at if self.buffer else self.active_at

    def receive(self, data: bytes) -> None:
        """Add bytes that were received."""
        self.active_at = time.monotonic()
        if not self.buffer:
            self.call_began_at = self.active_at
        self.buffer += data

    def take_frame(self) -> bytes | None:
        """Remove and return the next complete frame, or None. Raises ValueError on a bad size."""
        if len(self.buffer) < LENGTH_PREFIX.size:
            return None
        (size,) = LENGTH_PREFIX.unpack_from(self.buffer)
        if not 0 < size <= MAX_CALL_BYTES:
            raise ValueError(f"a call of {size} bytes")
        end = LENGTH_PREFIX.size + size
        if len(self.buffer) < end:
            return None
        frame = bytes(self.buffer[LENGTH_PREFIX.size : end])
        del self.buffer[:end]
        self.call_began_at = time.monotonic()
        return frame


class PeerServer:
    """A server of peers' calls on one address.

    One thread watches all connections and reads frames; a bounded thread pool answers them. An
    idle connection therefore occupies no thread, and a slow peer occupies one for at most
    `PARTIAL_CALL_TIMEOUT_S` seconds.
    """

    def __init__(
        self,
        address: tuple[str, int],
        exchange: PeerExchange,
        config_sync: ConfigSync,
        node: NodeInfoProvider,
    ) -> None:
        self._processor = Node.Processor(_NodeService(exchange, config_sync, node))
        self._listener = socket.create_server(address, backlog=128)
        self._listener.setblocking(False)
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._call_executor = ThreadPoolExecutor(CALL_THREADS, "peer-call")
        self._connections: set[_Connection] = set()
        self._answered: list[tuple[_Connection, bool]] = []
        self._lock = threading.Lock()
        self._running_calls = 0
        self._is_stopping = False
        self._done: Future | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.getsockname()[:2]

    def start(self, executor: Executor) -> None:
        """Serve on a thread of `executor`."""
        self._done = executor.submit(self._serve)

    def stop(self, timeout_s: float = 10.0) -> None:
        """Close all connections and wait until the thread has ended."""
        self._is_stopping = True
        self._wake_up()
        if self._done is not None:
            self._done.result(timeout_s)

    def _serve(self) -> None:
        try:
            while not self._is_stopping:
                if self._running_calls >= MAX_RUNNING_CALLS:
                    # Further calls stay unread until a running one has ended.
                    time.sleep(FULL_POLL_INTERVAL_S)
                    self._resume_answered()
                    continue
                for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                    if key.fileobj is self._listener:
                        self._accept()
                    elif key.fileobj is self._wake_receiver:
                        self._drain_wake_receiver()
                    else:
                        self._on_readable(key.data)
                self._resume_answered()
                self._close_timed_out()
        finally:
            self._call_executor.shutdown(wait=False, cancel_futures=True)
            for connection in list(self._connections):
                self._close(connection)
            self._selector.close()
            for end in (self._listener, self._wake_sender, self._wake_receiver):
                end.close()

    def _accept(self) -> None:
        try:
            peer, _ = self._listener.accept()
        except OSError:
            return
        if len(self._connections) >= MAX_CONNECTIONS and not self._close_longest_idle(
            "too many connections"
        ):
            _log.warning(PEER_REFUSED, detail="too many connections, all with a running call")
            peer.close()
            return
        peer.setblocking(False)
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(peer)
        self._connections.add(connection)
        self._selector.register(peer, selectors.EVENT_READ, connection)

    def _on_readable(self, connection: _Connection) -> None:
        if connection not in self._connections:
            # It was closed for another one in this round of the selector.
            return
        try:
            chunk = connection.socket.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if not chunk:
            self._close(connection)
            return
        connection.receive(chunk)
        self._dispatch(connection)
        if connection.buffer:
            unfinished_bytes = sum(len(each.buffer) for each in self._connections)
            if unfinished_bytes > MAX_UNFINISHED_BYTES:
                self._close_longest_idle("too many bytes of unfinished calls")

    def _dispatch(self, connection: _Connection) -> None:
        try:
            frame = connection.take_frame()
        except ValueError as error:
            _log.warning(PEER_REFUSED, detail=str(error))
            self._close(connection)
            return
        if frame is None:
            return
        connection.is_busy = True
        self._running_calls += 1
        self._selector.unregister(connection.socket)
        self._call_executor.submit(self._answer, connection, frame)

    def _answer(self, connection: _Connection, frame: bytes) -> None:
        succeeded = False
        try:
            output = make_writer()
            self._processor.process(make_reader(frame), output)
            connection.socket.settimeout(PARTIAL_CALL_TIMEOUT_S)
            connection.socket.sendall(encode_frame(output))
            connection.socket.setblocking(False)
            succeeded = True
        except (OSError, TException, EOFError, ValueError, TypeError) as error:
            _log.warning(PEER_CALL_FAILED, detail=f"{error!r:.200}")
        finally:
            with self._lock:
                self._answered.append((connection, succeeded))
            self._wake_up()

    def _resume_answered(self) -> None:
        with self._lock:
            answered, self._answered = self._answered, []
        for connection, succeeded in answered:
            self._running_calls -= 1
            connection.active_at = time.monotonic()
            if not succeeded:
                self._close(connection)
                continue
            connection.is_busy = False
            self._selector.register(connection.socket, selectors.EVENT_READ, connection)
            self._dispatch(connection)

    def _close_timed_out(self) -> None:
        now = time.monotonic()
        for connection in list(self._connections):
            limit_s = PARTIAL_CALL_TIMEOUT_S if connection.buffer else IDLE_TIMEOUT_S
            if not connection.is_busy and now - connection.idle_since > limit_s:
                self._close(connection)

    def _close_longest_idle(self, reason: str) -> bool:
        """Close the connection without a running call that has waited longest; return whether any.

        One with an unfinished call goes before those without.
        """
        closable = [each for each in self._connections if not each.is_busy]
        if not closable:
            return False
        connection = min(closable, key=lambda each: (not each.buffer, each.idle_since))
        _log.warning(PEER_REFUSED, detail=reason, unfinished_bytes=len(connection.buffer))
        self._close(connection)
        return True

    def _close(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        if not connection.is_busy:
            self._selector.unregister(connection.socket)
        connection.socket.close()

    def _wake_up(self) -> None:
        try:
            self._wake_sender.send(b"x")
        except OSError:
            # The server has stopped, or a wake-up is already pending.
            return

    def _drain_wake_receiver(self) -> None:
        try:
            self._wake_receiver.recv(4096)
        except BlockingIOError:
            return
