"""The buffer of a request's body, which holds the body once."""

import io

from laburnumreel.core import SMALL_REQUEST_BYTES, RequestMemory

# Memory for a body of unknown length is held in steps, ahead of what the kernel receives of it.
STEP_BYTES = 64 * 1024


class RequestBody:
    """A buffer in place of waitress' own, and the file that the application reads.

    `memory` is that of all requests. Without room there, what arrives is dropped.
    """

    def __init__(self, memory: RequestMemory | None, declared_size: int) -> None:
        self._buffer = io.BytesIO()
        self._size = 0
        self._is_dropped = False
        self._account = memory.open(self.drop) if memory is not None else None
        if self._account is not None and not self._account.hold(declared_size):
            self.drop()

    @property
    def is_dropped(self) -> bool:
        """Whether there was no room for the body."""
        return self._is_dropped

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for the body; they may not have arrived yet."""
        return self._account.size if self._account is not None else self._size

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes that were received."""
        self._size += len(data)
        if self._account is not None:
            self._account.record_progress(len(data))
            # The account may already hold the length that the head declared.
            if self._size > self._account.size and not self._is_dropped:
                self._hold_more()
        if not self._is_dropped:
            self._buffer.write(data)

    def _hold_more(self) -> None:
        size = self._size
        if size > SMALL_REQUEST_BYTES:
            size = -(-size // STEP_BYTES) * STEP_BYTES
        if not self._account.hold(size):
            self.drop()
            self._account.release()

    def drop(self) -> None:
        """Drop what was received, and what will be."""
        self._is_dropped = True
        self._buffer = io.BytesIO()

    def getfile(self) -> "RequestBody":
        """Return the file to read the body from."""
        self._buffer.seek(0)
        return self

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes. Reading the whole body at once leaves none here."""
        if size is None or size < 0:
            if self._buffer.tell():
                return self._buffer.read()
            whole, self._buffer = self._buffer.getvalue(), io.BytesIO()
            return whole
        return self._buffer.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line."""
        return self._buffer.readline(size)

    def __iter__(self) -> io.BytesIO:
        return self._buffer

    def finish(self) -> None:
        """Keep the body of a request that was fully read until `close`."""
        if self._account is not None:
            self._account.finish()

    def close(self) -> None:
        """Drop the body; the caller has been answered or is gone."""
        self._buffer = io.BytesIO()
        if self._account is not None:
            self._account.release()
