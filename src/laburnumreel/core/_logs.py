"""Structured logs whose events carry numbers from a closed catalogue."""

import logging
import sys
from typing import Any, NamedTuple

import structlog


class Event(NamedTuple):
    """A kind of log line: its number, its short name and what it says."""

    number: int
    name: str
    text: str


_catalogue: dict[int, Event] = {}


def define_event(number: int, name: str, text: str) -> Event:
    """Add an event to the catalogue. A number or name that is already taken is a ValueError."""
    if number in _catalogue or any(event.name == name for event in _catalogue.values()):
        raise ValueError(f"log event {number} {name} is defined twice")
    event = Event(number, name, text)
    _catalogue[number] = event
    return event


def events() -> list[Event]:
    """Return all defined events in the order of their numbers."""
    return [_catalogue[number] for number in sorted(_catalogue)]


class Log:
    """A logger that only takes catalogued events.

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


def setup_logs(style: str = "json", level: str = "info") -> None:
    """Write logs to standard error as JSON lines or, for a person, as console text."""
    renderer = (
        structlog.processors.JSONRenderer()
        if style == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


setup_logs(level="warning")
