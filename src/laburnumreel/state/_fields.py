"""Validation of rows that other writers may have written, and logging of malformed ones.

Values that pass these checks are safe for later use: addresses fit a socket, numbers fit a peer
update's datagram, and names fit an HTTP header.
"""

import ipaddress
import math
import threading
import time
from collections.abc import Callable, Collection
from typing import Any, TypeVar

from laburnumreel.core import Log, define_event

RECORD_UNREADABLE = define_event(621, "record_unreadable", "ignored a malformed row of the store")

Address = tuple[str, int]
Value = TypeVar("Value")

# The store's limit for the names of tables, parts and rows, in bytes.
MAX_NAME_BYTES = 200
# Largest integer that both ends represent exactly as a JSON number. Peer updates hold 64 bits.
MAX_EXACT_INTEGER = 2**53 - 1
MAX_PORT = 65535
# Maximum length of a label of a host name.
MAX_LABEL_CHARACTERS = 63
# The start of the year 2100 in seconds of the Unix epoch.
MAX_UNIX_S = 4_102_444_800
# Minimum interval between log lines for a row that is rewritten with the same problem.
SAME_PROBLEM_LOG_INTERVAL_S = 10.0
# Number of rows for which the last log line is remembered.
MAX_REMEMBERED_ROWS = 1000
MAX_PROBLEM_CHARACTERS = 200

_REQUIRED: Any = object()


class FieldError(ValueError):
    """Raised if a field is missing, has another type or is out of range.

    The message names the field but never contains its value, which may be too large to print.
    """


class Fields:
    """The fields of a JSON object. Each method returns a validated value or raises `FieldError`.

    An absent or null field takes the default if there is one.

    >>> fields = Fields({"places": 4, "at": "10.0.0.1:80"})
    >>> fields.integer("places", 1, 100), fields.address("at"), fields.integer("start", default=0)
    (4, ('10.0.0.1', 80), 0)
    >>> fields.text("name")
    Traceback (most recent call last):
    laburnumreel.state._fields.FieldError: name is missing
    """

    def __init__(self, value: Any) -> None:
        if not isinstance(value, dict):
            raise FieldError("the value is not a JSON object")
        self._value = value

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._value.get(name) is not None

    def contains(self, name: str) -> bool:
        """Return whether a field is present, even if it is null."""
        return name in self._value

    def text(self, name: str, default: Any = _REQUIRED, max_bytes: int = MAX_NAME_BYTES) -> str:
        """Return a non-empty string that can be encoded as UTF-8."""
        return self._read(name, default, lambda value: check_text(value, max_bytes))

    def choice(self, name: str, options: Collection[str], default: Any = _REQUIRED) -> str:
        """Return a string that is one of `options`."""

        def check_choice(value: Any) -> str:
            if not isinstance(value, str) or value not in options:
                raise FieldError(f"is not one of {', '.join(options)}")
            return value

        return self._read(name, default, check_choice)

    def integer(
        self, name: str, low: int = 0, high: int = MAX_EXACT_INTEGER, default: Any = _REQUIRED
    ) -> int:
        """Return an integer from `low` to `high`."""
        return self._read(name, default, lambda value: _check_integer(value, low, high))

    def number(self, name: str, low: float, high: float, default: Any = _REQUIRED) -> float:
        """Return a number from `low` to `high`."""
        return self._read(name, default, lambda value: _check_number(value, low, high))

    def flag(self, name: str, default: Any = _REQUIRED) -> bool:
        """Return a boolean."""

        def check_value(value: Any) -> bool:
            if not isinstance(value, bool):
                raise FieldError("is neither true nor false")
            return value

        return self._read(name, default, check_value)

    def address(self, name: str) -> Address:
        """Return an IPv4 address of a single host and a port."""
        return self._read(name, _REQUIRED, _check_address)

    def host_and_port(self, name: str) -> Address:
        """Return a host name or IP address and a port."""
        return self._read(name, _REQUIRED, _check_host_and_port)

    def fields(self, name: str, default: Any = _REQUIRED) -> "Fields":
        """Return the fields of a nested object."""
        return self._read(name, default, Fields)

    def objects(self, name: str, default: Any = _REQUIRED) -> list["Fields"]:
        """Return the fields of each object in a list."""
        return self._read(
            name, default, lambda value: [Fields(item) for item in _check_list(value)]
        )

    def readable(
        self, name: str, check: Callable[[Any], Value]
    ) -> tuple[list[Value], tuple[str, ...]]:
        """Return the items of a list that pass a check, and a description of each problem.

        An absent or null list is empty.

        >>> Fields({"keys": ["a", 7]}).readable("keys", check_text)
        (['a'], ('keys: item 1: is not a non-empty string',))
        """
        try:
            items = self._read(name, [], _check_list)
        except FieldError as error:
            return [], (str(error),)
        values, problems = [], []
        for number, item in enumerate(items):
            try:
                values.append(check(item))
            except FieldError as error:
                problems.append(f"{_printable_name(name)}: item {number}: {error}")
        return values, tuple(problems)

    def text_list(self, name: str, max_bytes: int = MAX_NAME_BYTES) -> list[str]:
        """Return a list of non-empty strings."""

        def check_value(value: Any) -> list[str]:
            return [check_text(item, max_bytes) for item in _check_list(value)]

        return self._read(name, _REQUIRED, check_value)

    def all_integers(self, low: int = 0, high: int = MAX_EXACT_INTEGER) -> dict[str, int]:
        """Return all fields of the object, which must be integers from `low` to `high`."""
        return {_check_key(name): self.integer(name, low, high) for name in self._value}

    def all_numbers(self, low: float, high: float) -> dict[str, float]:
        """Return all fields of the object, which must be numbers from `low` to `high`."""
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
    """Logs malformed rows, one line for each time a row was written. Thread-safe.

    >>> row_log = MalformedRowLog(Log("doctest"))
    >>> row_log.log_once("hosts", "h1", 7, "no address"), row_log.log_once("hosts", "h1", 7, "no address")
    (True, False)
    """

    def __init__(self, log: Log, clock: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._clock = clock
        # Several tasks share one instance.
        self._lock = threading.Lock()
        # Version, problem and time of the last log line of each row, oldest first.
        self._logged: dict[tuple[str, str], tuple[int, str, float]] = {}

    def log_once(self, table: str, key: str, version: int, problem: str) -> bool:
        """Log a malformed row unless this version was already logged; return whether it was logged.

        A new version with the same problem is logged at most once per `SAME_PROBLEM_LOG_INTERVAL_S`.
        """
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


# For rows of the product's own tables. Both the owner of a table and its client may find a row
# malformed; because they share this instance, the row is logged only once.
own_row_log = MalformedRowLog(Log("state.rows"))


def describe_error(error: Exception) -> str:
    """Return the description of an error in parsing a row, for a log line.

    Errors other than ValueErrors give their type only: their text may contain values of the row.
    """
    return str(error) if isinstance(error, ValueError) else type(error).__name__


def is_header_text(text: str) -> bool:
    """Return whether a text can be sent unchanged as an HTTP header value.

    >>> is_header_text("i-7f3a91c2"), is_header_text("a\\nb"), is_header_text(" a")
    (True, False, False)
    """
    return text.isascii() and text.isprintable() and " " not in text and bool(text)


def check_text(value: Any, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Return a value that is a non-empty string, or raise `FieldError`."""
    if not isinstance(value, str) or not value:
        raise FieldError("is not a non-empty string")
    try:
        encoded = value.encode()
    except UnicodeEncodeError:
        raise FieldError("is not encodable as UTF-8") from None
    if len(encoded) > max_bytes:
        raise FieldError(f"is longer than {max_bytes} bytes")
    return value


def _check_integer(value: Any, low: int, high: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise FieldError(f"is not an integer from {low} to {high}")
    return value


def _check_number(value: Any, low: float, high: float) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # The range is checked before any conversion: integers of any size can be compared with floats.
    if not is_number or not low <= value <= high or math.isnan(value):
        raise FieldError(f"is not a number from {low:g} to {high:g}")
    return value


def _check_address(value: Any) -> Address:
    host, port = _check_host_and_port(value)
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        raise FieldError("is not an IPv4 address") from None
    if address.is_unspecified or address.is_multicast:
        raise FieldError("is not the address of a single host")
    return host, port


def _check_host_and_port(value: Any) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise FieldError(f"has no port from 1 to {MAX_PORT}")
    labels_fit = all(0 < len(label) <= MAX_LABEL_CHARACTERS for label in host.split("."))
    if not is_header_text(host) or not labels_fit:
        raise FieldError("has no valid host")
    return host, int(port)


def _check_list(value: Any) -> list:
    if not isinstance(value, list):
        raise FieldError("is not a list")
    return value


def _check_key(name: str) -> str:
    try:
        return check_text(name)
    except FieldError as error:
        raise FieldError(f"a field name {error}") from None


def _printable_name(name: str) -> str:
    return name[:MAX_NAME_BYTES] if name.isascii() and name.isprintable() else "a field"
