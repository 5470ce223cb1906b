"""Decoding of chunked request bodies, with bounded framing and work that follows the bytes."""

import re
from typing import Protocol

from waitress.rfc7230 import CHUNK_EXT_RE, ONLY_HEXDIG_RE
from waitress.utilities import BadRequest, RequestHeaderFieldsTooLarge

# The line with a chunk's size and extensions, without its end.
MAX_SIZE_LINE_BYTES = 4 * 1024
# All trailers of a request together. They are checked for their end and not passed on.
MAX_TRAILER_BYTES = 8 * 1024
# Parts of a body, such as size lines and pieces of data, that are decoded in one call. Other
# connections get their turn in between.
MAX_PARTS_PER_TURN = 128

_LINE_END = b"\r\n"
# The size line of a chunk that may lie within one read, without extensions.
_SHORT_SIZE_LINE = re.compile(rb"(0{0,8}[1-9a-fA-F][0-9a-fA-F]{0,3})\r\n")


class _Body(Protocol):
    def append(self, data: bytes) -> None: ...
    def __len__(self) -> int: ...


class _FramingError(Exception):
    """A body breaks the rules of the chunked coding. Its argument is waitress' error."""


class ChunkedBody:
    """A receiver of a chunked body, in place of waitress' own.

    Each byte is looked at once, by its position in what was received: nothing is copied except the
    data of chunks and the beginning of a line that has not ended yet. `received` returns early after
    `MAX_PARTS_PER_TURN` parts, and is to be called again with the rest.

    >>> pieces = []
    >>> body = ChunkedBody(pieces)
    >>> body.received(b"3;n=v\\r\\nabc\\r\\n0\\r"), body.received(b"\\n\\r\\nGET"), body.completed
    (14, 3, True)
    >>> pieces
    [b'abc']
    """

    def __init__(self, body: _Body) -> None:
        self.buf = body
        self.completed = False
        self.error: BadRequest | RequestHeaderFieldsTooLarge | None = None
        # What has been received of a line that has not ended.
        self._line = bytearray()
        self._parts = 0
        self._data_bytes = 0
        self._trailer_bytes = 0
        self._read_part = self._read_size

    def __len__(self) -> int:
        return len(self.buf)

    @property
    def kept_bytes(self) -> int:
        """The bytes of framing that are kept between two calls."""
        return len(self._line)

    @property
    def parts(self) -> int:
        """The number of parts that were decoded."""
        return self._parts

    def received(self, data: bytes) -> int:
        """Decode what was received and return how many bytes were used.

        After an error, `error` is set; the part that it is in counts as unused.
        """
        position = parts = 0
        try:
            while position < len(data) and not self.completed and parts < MAX_PARTS_PER_TURN:
                position = self._read_part(data, position)
                parts += 1
        except _FramingError as failure:
            (self.error,) = failure.args
            self._line.clear()
        self._parts += parts
        return position

    def getfile(self) -> _Body:
        """Return the file to read the body from."""
        return self.buf.getfile()

    def getbuf(self) -> _Body:
        """Return the buffer of the body."""
        return self.buf

    def _read_size(self, data: bytes, position: int) -> int:
        if not self._line and (end := self._read_whole_chunk(data, position)):
            return end
        line, position = self._take_line(data, position, MAX_SIZE_LINE_BYTES)
        if line is None:
            return position
        size, semicolon, extension = line.partition(b";")
        if semicolon and not CHUNK_EXT_RE.match(semicolon + extension):
            raise _FramingError(BadRequest("Invalid chunk extension"))
        if not ONLY_HEXDIG_RE.match(size):
            raise _FramingError(BadRequest("Invalid chunk size"))
        self._data_bytes = int(size, 16)
        self._read_part = self._read_data if self._data_bytes else self._read_trailer
        return position

    def _read_whole_chunk(self, data: bytes, position: int) -> int:
        """Read a chunk that was received whole and return its end, or 0 if it is another one."""
        found = _SHORT_SIZE_LINE.match(data, position)
        if found is None:
            return 0
        begin = found.end()
        end = begin + int(found[1], 16)
        if not data.startswith(_LINE_END, end):
            return 0
        self.buf.append(data[begin:end])
        return end + len(_LINE_END)

    def _read_data(self, data: bytes, position: int) -> int:
        end = min(len(data), position + self._data_bytes)
        self.buf.append(data[position:end])
        self._data_bytes -= end - position
        if not self._data_bytes:
            self._read_part = self._read_data_end
        return end

    def _read_data_end(self, data: bytes, position: int) -> int:
        end = position + len(_LINE_END) - len(self._line)
        self._line += data[position:end]
        if not _LINE_END.startswith(self._line):
            raise _FramingError(BadRequest("Chunk not properly terminated"))
        if len(self._line) == len(_LINE_END):
            self._line.clear()
            self._read_part = self._read_size
        return min(end, len(data))

    def _read_trailer(self, data: bytes, position: int) -> int:
        line, end = self._take_line(data, position, MAX_TRAILER_BYTES)
        self._trailer_bytes += end - position
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise _FramingError(RequestHeaderFieldsTooLarge("trailers are too long"))
        self.completed = line == b""
        return end

    def _take_line(self, data: bytes, position: int, max_bytes: int) -> tuple[bytes | None, int]:
        """Return the next line without its end, or None until it has ended, and what follows it."""
        if self._line.endswith(b"\r") and data.startswith(b"\n", position):
            line, end = bytes(self._line[:-1]), position + 1
            self._line.clear()
            return line, end
        found = data.find(_LINE_END, position)
        end = len(data) if found < 0 else found
        if len(self._line) + end - position > max_bytes:
            raise _FramingError(self._line_too_long())
        self._line += data[position:end]
        if found < 0:
            return None, end
        line = bytes(self._line)
        self._line.clear()
        return line, found + len(_LINE_END)

    def _line_too_long(self) -> BadRequest | RequestHeaderFieldsTooLarge:
        if self._read_part == self._read_trailer:
            return RequestHeaderFieldsTooLarge("trailers are too long")
        return BadRequest("Chunk size line is too long")
