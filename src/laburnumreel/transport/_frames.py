"""Length-prefixed frames of thrift calls, for both ends of a peer connection."""

import struct
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

LENGTH_PREFIX = struct.Struct("!i")
# The largest call is a gossip exchange, which is limited to 64 KiB.
MAX_CALL_BYTES = 80 * 1024
# A full configuration with 36,000 customers and their keys takes about 10 MB.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_ITEMS = 100_000


def make_reader(frame: bytes) -> Any:
    """Return a protocol that reads one frame and rejects strings that are longer than it."""
    return TBinaryProtocolAccelerated(
        TMemoryBuffer(frame), string_length_limit=len(frame), container_length_limit=MAX_ITEMS
    )


def make_writer() -> Any:
    """Return a protocol that writes into memory; `encode_frame` returns the frame."""
    return TBinaryProtocolAccelerated(TMemoryBuffer())


def encode_frame(protocol: Any) -> bytes:
    """Return the frame of what was written: its length prefix and its body."""
    body = protocol.trans.getvalue()
    return LENGTH_PREFIX.pack(len(body)) + body
