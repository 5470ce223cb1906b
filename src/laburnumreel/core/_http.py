"""HTTP responses of http.client that are checked for a valid, complete head and a known length."""

import http.client
import re
from typing import IO, Any

# Limit of a line of chunked framing: a chunk's size with its extensions, or a trailer.
MAX_CHUNK_LINE_BYTES = 64 * 1024

_CHUNK_LENGTH_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")
_CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
# http.client accepts statuses up to 999, whatever `int` parses as one, and HTTP/0.9.
_STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
_FIRST_HEADER_PATTERN = re.compile(rb"[!-9;-~]+:[^\r\n]*\r?\n")
# A name and a value, or the continuation of a folded value.
_HEADER_PATTERN = re.compile(rb"(?:[!-9;-~]+:|[ \t])[^\r\n]*\r?\n")
_BLANK_LINES = (b"\r\n", b"\n")


class _HeadReader:
    """A reader for heads that raises HTTPException for a line that is not part of a head.

    http.client ignores such a line and all lines after it, and takes the end of a connection for
    the end of a head. An answer that is cut in its head would look like one without a body, or,
    if another answer follows, like one with the body of that.
    """

    def __init__(self, reader: IO[bytes]) -> None:
        self._reader = reader
        self._expected = _STATUS_LINE_PATTERN

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        line = self._reader.readline(limit)
        if line in _BLANK_LINES:
            # Another head may follow that of an interim answer.
            self._expected = _STATUS_LINE_PATTERN
            return line
        if not self._expected.fullmatch(line):
            raise http.client.HTTPException(f"no line of a head: {line[:40]!r}")
        is_status_line = self._expected is _STATUS_LINE_PATTERN
        self._expected = _FIRST_HEADER_PATTERN if is_status_line else _HEADER_PATTERN
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response that is rejected if it was cut, or does not say where its body ends.

    http.client reads an answer with an invalid length or an unknown transfer encoding until its
    connection ends, so that a truncated one would look complete. It accepts whatever `int` parses
    as a length, such as a sign or underscores, skips two bytes after each chunk unread, and takes
    the end of the connection for the end of the trailers.
    """

    _has_bad_chunk_end = False
    # Size of the last size line of a chunk.
    chunk_line_bytes = 0

    @property
    def has_visible_end(self) -> bool:
        """Whether the body ends by its framing; otherwise it ends with the connection."""
        return self.chunked or self.length is not None

    def begin(self) -> None:
        reader = self.fp
        self.fp = _HeadReader(reader)
        super().begin()
        self.fp = reader
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if encodings and [encoding.strip().lower() for encoding in encodings] != ["chunked"]:
            raise http.client.HTTPException(f"unknown transfer encoding: {encodings!r:.80}")
        lengths = {length.strip() for length in self.headers.get_all("Content-Length", [])}
        if len(lengths) > 1 or not all(map(_CONTENT_LENGTH_PATTERN.fullmatch, lengths)):
            raise http.client.HTTPException(f"no single length: {sorted(lengths)!r:.80}")

    def read_chunk_end(self) -> None:
        """Read the line end after the data of a chunk."""
        if self._has_bad_chunk_end or self._safe_read(2) != b"\r\n":
            self._has_bad_chunk_end = True
            raise http.client.HTTPException("no line end after a chunk")
        self.chunk_left = None

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            self.read_chunk_end()
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        self.chunk_line_bytes = len(line)
        length = line.partition(b";")[0].strip(b" \t\r\n")
        if not line.endswith(b"\n") or not _CHUNK_LENGTH_PATTERN.fullmatch(length):
            raise ValueError(f"no length of a chunk: {line[:40]!r}")
        return int(length, 16)

    def _read_and_discard_trailer(self) -> None:
        while (line := self.fp.readline(MAX_CHUNK_LINE_BYTES)) not in _BLANK_LINES:
            if not line.endswith(b"\n"):
                raise http.client.HTTPException(f"no trailer: {line[:40]!r}")
