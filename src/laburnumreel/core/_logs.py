"""Structured logs, whose events have numbers and names from a fixed catalogue."""

import atexit
import logging
import os
import queue
import sys
import threading
import time
from typing import Any, NamedTuple, TextIO

import structlog

# Maximum number of lines that wait to be written. Further lines are dropped and counted: a log
# reader that stops reading must not block requests.
MAX_WAITING_LINES = 5000
# Lines are written in batches of about this size: collectors may cut off larger writes.
MAX_WRITE_BYTES = 4 * 1024
FLUSH_TIMEOUT_S = 0.2


class Event(NamedTuple):
    """A kind of log line: its number, its short name and its text."""

    number: int
    name: str
    text: str


_catalogue: dict[int, Event] = {}


def define_event(number: int, name: str, text: str) -> Event:
    """Add an event to the catalogue. Raises ValueError if its number or name is already used."""
    if number in _catalogue or any(event.name == name for event in _catalogue.values()):
        raise ValueError(f"log event {number} {name} is defined twice")
    event = Event(number, name, text)
    _catalogue[number] = event
    return event


def events() -> list[Event]:
    """Return all defined events, sorted by number."""
    return [_catalogue[number] for number in sorted(_catalogue)]


class Log:
    """A logger that accepts only catalogued events.

    >>> Log("doctest").debug(Event(0, "example", "an example"), customer="hall-a")
    """

    def __init__(self, name: str) -> None:
        self._logger = structlog.get_logger(logger_name=name)

    def debug(self, event: Event, **fields: Any) -> None:
        self._logger.debug(event.text, number=event.number, name=event.name, **fields)

    def info(self, event: Event, **fields: Any) -> None:
        self._logger.info(event.text, number=event.number, name=event.name, **fields)

    def warning(self, event: Event, **fields: Any) -> None:
        self._logger.warning(event.text, number=event.number, name=event.name, **fields)

    def error(self, event: Event, **fields: Any) -> None:
        self._logger.error(event.text, number=event.number, name=event.name, **fields)


class _BackgroundWriter:
    """Writes lines on a background thread and never blocks the caller."""

    def __init__(self, stream: TextIO) -> None:
        self._descriptor = stream.fileno()
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()
        atexit.register(self._flush)

    def msg(self, line: str) -> None:
        if self._lines.qsize() >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.put(line)

    debug = info = warning = error = critical = msg

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            size = len(lines[0])
            while size < MAX_WRITE_BYTES and not self._lines.empty():
                lines.append(self._lines.get())
                size += len(lines[-1])
            dropped, self._dropped = self._dropped, 0
            if dropped:
                lines.append(f'{{"name": "lines_dropped", "count": {dropped}}}')
            self._write(("\n".join(lines) + "\n").encode())

    def _write(self, data: bytes) -> None:
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The reader has closed the stream, so that the error can't be logged.
            self._dropped += data.count(b"\n")

    def _flush(self) -> None:
        """Wait briefly until the last lines are written, when the process ends."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while not self._lines.empty() and time.monotonic() < deadline:
            time.sleep(FLUSH_TIMEOUT_S / 20)


def setup_logs(style: str = "json", level: str = "info", stream: TextIO | None = None) -> None:
    """Write logs as JSON lines or, with the style `console`, as readable text.

    They are written to standard error or, if `stream` is given, to that stream by a background
    thread, which drops lines rather than block.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if style == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    if stream is None:
        factory = structlog.PrintLoggerFactory(file=sys.stderr)
    else:
        writer = _BackgroundWriter(stream)

        def factory(*arguments: Any) -> _BackgroundWriter:
            return writer

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=factory,
        cache_logger_on_first_use=False,
    )


setup_logs(level="warning")
