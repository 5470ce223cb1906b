"""Rows that another writer may have left: their fields, checked as they are read, and their log lines.

Whatever passes these checks also fits what uses it later: a socket takes the addresses, a datagram
the numbers, a header the names.
"""

import ipaddress
import math
import threading
import time
from collections.abc import Callable, Collection
from typing import Any, TypeVar

from laburnumreel.core import Log, define_event

RECORD_UNREADABLE = define_event(
    621, "record_unreadable", "an entry of the store names nothing usable"
)

Address = tuple[str, int]
Value = TypeVar("Value")

# The store's bound on the names of tables, parts and rows, in bytes.
MAX_NAME_BYTES = 200
# What a JSON number holds exactly at both ends. News between hosts has room for 64 bits.
MAX_EXACT_INTEGER = 2**53 - 1
MAX_PORT = 65535
# Characters of a part of a host's name.
MAX_LABEL_CHARACTERS = 63
# The start of the year 2100 in seconds of the Unix epoch.
MAX_UNIX_S = 4_102_444_800
# A row that is written again and again with the same fault has a log line this often.
SAME_PROBLEM_LOG_INTERVAL_S = 10.0
# Rows of which it is remembered that they were logged.
MAX_REMEMBERED_ROWS = 1000
MAX_PROBLEM_CHARACTERS = 200

_REQUIRED: Any = object()


class FieldError(ValueError):
    """A field that is missing, of another type or out of its range.

    The text names the field and never holds its value, which may be too large to be printed.
    """


class Fields:
    """The fields of a JSON object. Each reader returns a value that it has checked.

    A field that is absent or null takes the default, where there is one.

    >>> fields = Fields({"places": 4, "at": "10.0.0.1:80"})
    >>> fields.integer("places", 1, 100), fields.address("at"), fields.integer("start", default=0)
    (4, ('10.0.0.1', 80), 0)
    >>> fields.text("name")
    Traceback (most recent call last):
    laburnumreel.state._fields.FieldError: name is missing
    """

    def __init__(self, value: Any) -> None:
        if not isinstance(value, dict):
            raise FieldError("the value is no object")
        self._value = value

    def has(self, name: str) -> bool:
        """Return whether a field is there and not null."""
        return self._value.get(name) is not None

    def text(self, name: str, default: Any = _REQUIRED, max_bytes: int = MAX_NAME_BYTES) -> str:
        """Return a text that isn't empty and can be sent."""
        return self._read(name, default, lambda value: _check_text(value, max_bytes))

    def choice(self, name: str, options: Collection[str], default: Any = _REQUIRED) -> str:
        """Return one of some texts."""

        def check_choice(value: Any) -> str:
            if not isinstance(value, str) or value not in options:
                raise FieldError(f"is none of {', '.join(options)}")
            return value

        return self._read(name, default, check_choice)

    def integer(
        self, name: str, low: int = 0, high: int = MAX_EXACT_INTEGER, default: Any = _REQUIRED
    ) -> int:
        """Return a whole number from `low` to `high`."""
        return self._read(name, default, lambda value: _check_integer(value, low, high))

    def number(self, name: str, low: float, high: float, default: Any = _REQUIRED) -> float:
        """Return a number from `low` to `high`."""
        return self._read(name, default, lambda value: _check_number(value, low, high))

    def flag(self, name: str, default: Any = _REQUIRED) -> bool:
        """Return true or false."""

        def check_value(value: Any) -> bool:
            if not isinstance(value, bool):
                raise FieldError("is neither true nor false")
            return value

        return self._read(name, default, check_value)

    def address(self, name: str) -> Address:
        """Return an IPv4 address and a port to connect or send to."""
        return self._read(name, _REQUIRED, _check_address)

    def host_and_port(self, name: str) -> Address:
        """Return a host, which may be a name, and a port."""
        return self._read(name, _REQUIRED, _check_host_and_port)

    def fields(self, name: str, default: Any = _REQUIRED) -> "Fields":
        """Return the fields of an object."""
        return self._read(name, default, Fields)

    def objects(self, name: str, default: Any = _REQUIRED) -> list["Fields"]:
        """Return the fields of each object of a list."""
        return self._read(
            name, default, lambda value: [Fields(item) for item in _check_list(value)]
        )

    def text_list(self, name: str, max_bytes: int = MAX_NAME_BYTES) -> list[str]:
        """Return a list of texts."""

        def check_value(value: Any) -> list[str]:
            return [_check_text(item, max_bytes) for item in _check_list(value)]

        return self._read(name, _REQUIRED, check_value)

    def all_integers(self, low: int = 0, high: int = MAX_EXACT_INTEGER) -> dict[str, int]:
        """Return all fields, each with a whole number."""
        return {_check_key(name): self.integer(name, low, high) for name in self._value}

    def all_numbers(self, low: float, high: float) -> dict[str, float]:
        """Return all fields, each with a number."""
        return {_check_key(name): self.number(name, low, high) for name in self._value}

    def _read(self, name: str, default: Any, check: Callable[[Any], Value]) -> Value:
        value = self._value.get(name)
        if value is None:
            if default is _REQUIRED:
                raise FieldError(f"{_printable_name(name)} is missing")
            return default
        try:
            return check(value)
        except FieldError as error:
            raise FieldError(f"{_printable_name(name)}: {error}") from None


class MalformedRowLog:
    """Logs rows that name nothing usable, one line for each time they were written.

    >>> row_log = MalformedRowLog(Log("doctest"))
    >>> row_log.log_once("hosts", "h1", 7, "no address"), row_log.log_once("hosts", "h1", 7, "no address")
    (True, False)
    """

    def __init__(self, log: Log, clock: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._clock = clock
        # Tasks share one instance.
        self._lock = threading.Lock()
        # The version, the problem and the time of each row's last line, the oldest first.
        self._logged: dict[tuple[str, str], tuple[int, str, float]] = {}

    def log_once(self, table: str, key: str, version: int, problem: str) -> bool:
        """Log a row, unless that was done, and return whether it was."""
        problem = problem[:MAX_PROBLEM_CHARACTERS]
        with self._lock:
            if not self._should_log((table, key), version, problem):
                return False
        self._log.warning(RECORD_UNREADABLE, table=table, key=key, problem=problem)
        return True

    def _should_log(self, row: tuple[str, str], version: int, problem: str) -> bool:
        now = self._clock()
        known_version, known_problem, logged_at = self._logged.get(row, (None, "", float("-inf")))
        if version == known_version:
            return False
        if problem == known_problem and now - logged_at < SAME_PROBLEM_LOG_INTERVAL_S:
            return False
        self._logged.pop(row, None)
        self._logged[row] = (version, problem, now)
        if len(self._logged) > MAX_REMEMBERED_ROWS:
            del self._logged[next(iter(self._logged))]
        return True


# Rows of the product's own tables are read by their owner through a client, and each of the two may find
# one odd: together they log it once.
own_row_log = MalformedRowLog(Log("state.rows"))


def describe_error(error: Exception) -> str:
    """Return what a log line says of a row that could not be read.

    Only the texts of ValueErrors are known not to hold values from the row.
    """
    return str(error) if isinstance(error, ValueError) else type(error).__name__


def is_header_text(text: str) -> bool:
    """Return whether a text can stand in a header and arrives there as it is.

    >>> is_header_text("i-7f3a91c2"), is_header_text("a\\nb"), is_header_text(" a")
    (True, False, False)
    """
    return text.isascii() and text.isprintable() and " " not in text and bool(text)


def _check_text(value: Any, max_bytes: int = MAX_NAME_BYTES) -> str:
    if not isinstance(value, str) or not value:
        raise FieldError("is no text")
    try:
        encoded = value.encode()
    except UnicodeEncodeError:
        raise FieldError("is no text that can be sent") from None
    if len(encoded) > max_bytes:
        raise FieldError(f"is longer than {max_bytes} bytes")
    return value


def _check_integer(value: Any, low: int, high: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise FieldError(f"is no whole number from {low} to {high}")
    return value


def _check_number(value: Any, low: float, high: float) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Whole numbers of any size compare with floats; only then they can be converted.
    if not is_number or not low <= value <= high or math.isnan(value):
        raise FieldError(f"is no number from {low:g} to {high:g}")
    return value


def _check_address(value: Any) -> Address:
    host, port = _check_host_and_port(value)
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        raise FieldError("is no IPv4 address") from None
    if address.is_unspecified or address.is_multicast:
        raise FieldError("is no address of one machine")
    return host, port


def _check_host_and_port(value: Any) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise FieldError(f"has no port from 1 to {MAX_PORT}")
    labels_fit = all(0 < len(label) <= MAX_LABEL_CHARACTERS for label in host.split("."))
    if not is_header_text(host) or not labels_fit:
        raise FieldError("has no host")
    return host, int(port)


def _check_list(value: Any) -> list:
    if not isinstance(value, list):
        raise FieldError("is no list")
    return value


def _check_key(name: str) -> str:
    try:
        return _check_text(name)
    except FieldError as error:
        raise FieldError(f"a name {error}") from None


def _printable_name(name: str) -> str:
    return name[:MAX_NAME_BYTES] if name.isascii() and name.isprintable() else "a field"
