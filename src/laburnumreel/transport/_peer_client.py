"""The client of calls to other processes over thrift."""

import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from thrift.Thrift import TApplicationException, TException

from laburnumreel.coordination import ClaimState, ExchangeMessage, HeldPartStatus, NodeStatus
from laburnumreel.protocol import _wire
from laburnumreel.protocol.gen.node import Node
from laburnumreel.state import Change, Configuration
from laburnumreel.transport._frames import (
    LENGTH_PREFIX,
    MAX_ANSWER_BYTES,
    encode_frame,
    make_reader,
    make_writer,
)

Address = tuple[str, int]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
# A full configuration takes longer to transfer than other answers.
SNAPSHOT_TIMEOUT_S = 10.0
IDLE_CONNECTIONS = 64


class PeerClient:
    """A client that keeps one idle connection to each peer.

    Methods may be called from any thread. A connection carries one call at a time and is closed
    after any failure, so that a late answer is never read as the answer to another call. Errors
    are returned as descriptions.
    """

    def __init__(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._idle: dict[Address, socket.socket] = {}
        self._lock = threading.Lock()
        self._is_closed = False
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def traffic(self) -> tuple[int, int]:
        """The numbers of bytes sent and received so far."""
        return self._bytes_sent, self._bytes_received

    def exchange(self, address: Address, message: ExchangeMessage) -> Result[ExchangeMessage, str]:
        wire = _wire.exchange_to_wire(message)
        return self._call(address, "exchange", (wire,), _wire.exchange_from_wire)

    def fetch_changes(
        self, address: Address, after_version: int, limit: int
    ) -> Result[list[Change], str]:
        return self._call(
            address,
            "fetch_changes",
            (after_version, limit),
            lambda changes: [_wire.change_from_wire(change) for change in changes],
        )

    def fetch_snapshot(self, address: Address) -> Result[Configuration, str]:
        return self._call(
            address,
            "fetch_snapshot",
            (),
            _wire.snapshot_from_wire,
            max(SNAPSHOT_TIMEOUT_S, self._timeout_s),
        )

    def withdraw_key(self, address: Address, key_digest: str) -> Result[int, str]:
        """Send the digest of a withdrawn key. Once the peer has answered, it rejects the key."""
        return self._call(address, "withdraw_key", (key_digest,), int)

    def status(self, address: Address) -> Result[NodeStatus, str]:
        return self._call(address, "status", (), _wire.status_from_wire)

    def claim_state(self, address: Address, claim_key: str) -> Result[ClaimState, str]:
        return self._call(address, "claim_state", (claim_key,), _wire.claim_state_from_wire)

    def held_parts(self, address: Address) -> Result[list[HeldPartStatus], str]:
        """Return the parts of prompts that a gateway holds."""
        return self._call(
            address, "held_parts", (), lambda wire: [_wire.held_part_from_wire(w) for w in wire]
        )

    def release_part(self, address: Address, part: str) -> Result[bool, str]:
        """Let a part of prompts go at a gateway, which tells its peers."""
        return self._call(address, "release_part", (bytes.fromhex(part),), bool)

    def close(self) -> None:
        with self._lock:
            self._is_closed = True
            idle = list(self._idle.values())
            self._idle.clear()
        for connection in idle:
            connection.close()

    def _call(
        self,
        address: Address,
        name: str,
        arguments: tuple[Any, ...],
        convert: Callable[[Any], Any],
        timeout_s: float | None = None,
    ) -> Result[Any, str]:
        output = make_writer()
        client = Node.Client(None, output)
        getattr(client, f"send_{name}")(*arguments)
        deadline = time.monotonic() + (timeout_s or self._timeout_s)
        frame = self._round_trip(address, encode_frame(output), deadline)
        if frame.is_error():
            return Error(frame.error)
        client._iprot = make_reader(frame.ok)
        try:
            return Ok(convert(getattr(client, f"recv_{name}")()))
        except TApplicationException as error:
            return Error(f"refused: {error.message}")
        except (TException, EOFError, ValueError, TypeError) as error:
            return Error(f"malformed answer: {error!r:.200}")

    def _round_trip(self, address: Address, call: bytes, deadline: float) -> Result[bytes, str]:
        with self._lock:
            connection = self._idle.pop(address, None)
        if connection is not None:
            answer = self._send(address, connection, call, deadline)
            # The peer may have closed the idle connection. All calls are safe to repeat.
            if answer.is_ok() or time.monotonic() >= deadline:
                return answer
        try:
            timeout_s = min(CONNECT_TIMEOUT_S, max(0.01, deadline - time.monotonic()))
            connection = socket.create_connection(address, timeout=timeout_s)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            return Error(f"no connection: {error}")
        return self._send(address, connection, call, deadline)

    def _send(
        self, address: Address, connection: socket.socket, call: bytes, deadline: float
    ) -> Result[bytes, str]:
        try:
            connection.settimeout(max(0.01, deadline - time.monotonic()))
            connection.sendall(call)
            (size,) = LENGTH_PREFIX.unpack(
                _receive_exactly(connection, LENGTH_PREFIX.size, deadline)
            )
            if not 0 <= size <= MAX_ANSWER_BYTES:
                raise OSError(f"an answer of {size} bytes")
            answer = _receive_exactly(connection, size, deadline)
        except OSError as error:
            connection.close()
            return Error(f"lost: {error}")
        self._keep(address, connection)
        with self._lock:
            self._bytes_sent += len(call)
            self._bytes_received += LENGTH_PREFIX.size + size
        return Ok(answer)

    def _keep(self, address: Address, connection: socket.socket) -> None:
        with self._lock:
            if (
                not self._is_closed
                and address not in self._idle
                and len(self._idle) < IDLE_CONNECTIONS
            ):
                self._idle[address] = connection
                return
        connection.close()


def _receive_exactly(connection: socket.socket, size: int, deadline: float) -> bytes:
    body = bytearray()
    while len(body) < size:
        # The deadline covers the whole answer, even if the peer sends it byte by byte.
        connection.settimeout(max(0.01, deadline - time.monotonic()))
        chunk = connection.recv(min(size - len(body), 1 << 16))
        if not chunk:
            raise OSError("the peer closed the connection")
        body += chunk
        if time.monotonic() > deadline:
            raise OSError("the answer took too long")
    return bytes(body)
