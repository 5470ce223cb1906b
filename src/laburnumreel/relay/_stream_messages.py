"""The datagrams in which hosts tell each other which software began a stream."""

from typing import NamedTuple

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.protocol.gen.streams import ttypes


class BegunStream(NamedTuple):
    """A stream, the version of the software that began it, and for how long it may live."""

    stream: bytes
    software: str
    remaining_s: float


class StreamQuery(NamedTuple):
    """A question which software began a stream of a service."""

    stream: bytes
    service: str


class StreamMessage(NamedTuple):
    """Streams that the sender knows, asks for, or does not know although it was asked."""

    begun: tuple[BegunStream, ...] = ()
    queries: tuple[StreamQuery, ...] = ()
    unknown: tuple[bytes, ...] = ()


def encode_message(message: StreamMessage) -> bytes:
    """Encode a message as a datagram."""
    struct = ttypes.StreamMessage(
        begun=[
            ttypes.BegunStream(each.stream, each.software, round(1000 * each.remaining_s))
            for each in message.begun
        ],
        queries=[ttypes.StreamQuery(each.stream, each.service) for each in message.queries],
        unknown=list(message.unknown),
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_message(datagram: bytes) -> Result[StreamMessage, str]:
    """Decode a datagram into a message, or return a description of the error."""
    struct = ttypes.StreamMessage()
    # Bounds strings and lists by the datagram's size, so that forged lengths allocate no memory.
    max_length = len(datagram)
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(datagram), string_length_limit=max_length, container_length_limit=max_length
    )
    try:
        struct.read(protocol)
        message = StreamMessage(
            tuple(
                BegunStream(each.stream, each.software, each.remaining_ms / 1000)
                for each in struct.begun or ()
            ),
            tuple(StreamQuery(each.stream, each.of_service) for each in struct.queries or ()),
            tuple(struct.unknown or ()),
        )
    except Exception as error:
        # Malformed bytes make Thrift raise many kinds of exceptions; none may end the task.
        return Error(repr(error))
    fields = [field for each in (*message.begun, *message.queries) for field in each]
    return Error("a field is missing") if None in fields else Ok(message)
