"""Thrift calls in length-prefixed frames, as both ends of a peer connection use them."""

import struct
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

LENGTH_PREFIX = struct.Struct("!i")
# An exchange is bounded to 64 KiB; every other call is smaller.
MAX_CALL_BYTES = 80 * 1024
# A whole configuration with 36,000 customers and their keys takes about 10 MB.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_ITEMS = 100_000


def make_reader(frame: bytes) -> Any:
    """Return a protocol that reads one frame and refuses sizes beyond it."""
    return TBinaryProtocolAccelerated(
        TMemoryBuffer(frame), string_length_limit=len(frame), container_length_limit=MAX_ITEMS
    )


def make_writer() -> Any:
    """Return a protocol that writes into memory; `encode_frame` takes the frame out of it."""
    return TBinaryProtocolAccelerated(TMemoryBuffer())


def encode_frame(protocol: Any) -> bytes:
    """Return what was written, with its length before it."""
    body = protocol.trans.getvalue()
    return LENGTH_PREFIX.pack(len(body)) + body
