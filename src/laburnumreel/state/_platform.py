"""Client of the platform: tables, objects, capacity orders, usage reports and the host list."""

import http.client
import io
import json
import zlib
from collections.abc import Sequence
from typing import Any, Literal, NamedTuple, Protocol
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result

from laburnumreel.core import StrictResponse
from laburnumreel.state._fields import FieldError, Fields, own_row_log
from laburnumreel.state._lenient_json import loads_lenient

# The table name in log lines about the host list.
HOST_LIST_LOG_NAME = "hosts"
MAX_ADDRESS_BYTES = 300
MAX_KEY_CHARACTERS = 200
# Limit of one answer's body. The largest object is a stored answer of 8 MiB, in base64.
MAX_BODY_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024


class Row(NamedTuple):
    """A row of a table. `version` is assigned by the store and increases with every commit."""

    key: str
    value: dict[str, Any]
    version: int


class Page(NamedTuple):
    """Rows in key order, and whether more rows follow the last one.

    `store_time_s` is the store's steady clock at the time of the read, or None if the store does
    not provide it.
    """

    rows: list[Row]
    more: bool
    store_time_s: float | None = None


class Check(NamedTuple):
    """A condition of a transaction: the row has this version, or is absent if it is 0."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row that a transaction writes. A `value` of None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class CapacityOrder(NamedTuple):
    """An order for a total count of backend servers of one kind for a service in a zone."""

    order_id: str
    fence: int
    kind: Literal["dedicated", "cheap"]
    service: str
    count: int


class Host(NamedTuple):
    """A backend server in the platform's host list, which lags behind the actual state.

    `software` is the version of its software, empty where the platform names none.
    """

    name: str
    address: str
    zone: str
    region: str
    service: str
    kind: str
    cheap: bool
    state: str
    software: str = ""

    @property
    def identity(self) -> str:
        """The name with the address, because a successor may have either of them."""
        return f"{self.name}@{self.address}"


class PlatformError(NamedTuple):
    """A failed call to the platform.

    `unreachable` and `refused` mean that the call had no effect. `lost` means that it may have had
    an effect, so the caller must read the data back. `conflict` means that a check failed and the
    transaction had no effect; `rows` holds the current rows by (table, key), or None for absent
    ones. `history_gone` means that the store no longer has the changes asked for, and the whole
    table must be read.
    """

    kind: Literal["unreachable", "lost", "conflict", "refused", "history_gone"]
    detail: str = ""
    rows: dict[tuple[str, str], Row | None] = {}


class Platform(Protocol):
    """The platform's services. Every call may fail, and a failed write may have taken effect."""

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]: ...

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[Page, PlatformError]: ...

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[int, PlatformError]: ...

    def put_object(self, name: str, body: bytes) -> Result[None, PlatformError]: ...

    def get_object(self, name: str) -> Result[bytes | None, PlatformError]: ...

    def order_capacity(self, zone: str, order: CapacityOrder) -> Result[None, PlatformError]: ...

    def capacity_orders(self, zone: str) -> Result[list[CapacityOrder], PlatformError]: ...

    def report_usage(
        self, customer: str, window: str, figures: dict[str, int]
    ) -> Result[None, PlatformError]: ...

    def read_usage(
        self, customer: str, window: str
    ) -> Result[dict[str, int] | None, PlatformError]: ...

    def hosts(self) -> Result[list[Host], PlatformError]: ...


class HttpPlatform:
    """The platform over HTTP. Thread-safe.

    Each call uses its own connection, so that a late response is never read as the response to the
    next call.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float = 2.0, token: str = "") -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._token = token

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        answer = self._call(
            "GET", f"/table/{quote(table, '')}/{quote(key, '')}", allow_missing=True
        )
        return answer.map(lambda body: None if body is None else _parse_row(table, key, body))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[Page, PlatformError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = self._call("GET", f"/table/{quote(table, '')}?{query}")
        return answer.map(
            lambda body: Page(
                [_parse_row(table, row["key"], row) for row in body["rows"]], body["more"]
            )
        )

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        body = {
            "checks": [check._asdict() for check in checks],
            "writes": [write._asdict() for write in writes],
        }
        return self._call("POST", "/table/transact", body).map(lambda answer: answer["commit"])

    def put_object(self, name: str, body: bytes) -> Result[None, PlatformError]:
        return self._call("PUT", f"/objects/{quote(name)}", body).map(lambda _: None)

    def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        return self._call("GET", f"/objects/{quote(name)}", allow_missing=True, parse_json=False)

    def order_capacity(self, zone: str, order: CapacityOrder) -> Result[None, PlatformError]:
        path = f"/zones/{quote(zone, '')}/orders"
        return self._call("POST", path, order._asdict()).map(lambda _: None)

    def capacity_orders(self, zone: str) -> Result[list[CapacityOrder], PlatformError]:
        answer = self._call("GET", f"/zones/{quote(zone, '')}/orders")
        return answer.map(
            lambda body: [_parse_fields(CapacityOrder, order) for order in body["orders"]]
        )

    def report_usage(
        self, customer: str, window: str, figures: dict[str, int]
    ) -> Result[None, PlatformError]:
        body = {"customer": customer, "window": window, "figures": figures}
        return self._call("POST", "/usage", body).map(lambda _: None)

    def read_usage(
        self, customer: str, window: str
    ) -> Result[dict[str, int] | None, PlatformError]:
        path = f"/usage/{quote(customer, '')}/{quote(window, '')}"
        answer = self._call("GET", path, allow_missing=True)
        return answer.map(lambda body: None if body is None else body["figures"])

    def hosts(self) -> Result[list[Host], PlatformError]:
        return self._call("GET", "/hosts").bind(_parse_host_list)

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | bytes | None = None,
        allow_missing: bool = False,
        parse_json: bool = True,
    ) -> Result[Any, PlatformError]:
        connection = http.client.HTTPConnection(*self._address, timeout=self._timeout_s)
        connection.response_class = StrictResponse
        try:
            try:
                connection.connect()
            except OSError as error:
                return Error(PlatformError("unreachable", str(error)))
            try:
                connection.request(method, path, _encode(body), self._headers())
                answer = connection.getresponse()
                payload = _read_body(answer)
            except (OSError, http.client.HTTPException) as error:
                return Error(PlatformError("lost", repr(error)))
        finally:
            connection.close()
        if answer.status == 200 and not parse_json and not answer.has_visible_end:
            # Unlike truncated JSON, a truncated object can't be told from a whole one.
            return Error(PlatformError("lost", "the answer has no length"))
        return _decode(answer.status, payload, allow_missing, parse_json)

    def _headers(self) -> dict[str, str]:
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        return headers


def _read_body(answer: http.client.HTTPResponse) -> bytes:
    """Return the whole body of an answer, or raise an HTTPException if it is truncated or too long."""
    with io.BytesIO() as body:
        while piece := answer.read(READ_BYTES):
            if body.tell() + len(piece) > MAX_BODY_BYTES:
                raise http.client.HTTPException(f"more than {MAX_BODY_BYTES} bytes")
            body.write(piece)
        if not answer.chunked and answer.length:
            raise http.client.IncompleteRead(b"", answer.length)
        return body.getvalue()


def _encode(body: dict[str, Any] | bytes | None) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def _decode(
    status: int, payload: bytes, allow_missing: bool, parse_json: bool
) -> Result[Any, PlatformError]:
    if status == 200:
        return _loads(payload) if parse_json else Ok(payload)
    if status == 404 and allow_missing:
        return Ok(None)
    detail = payload[:200].decode(errors="replace")
    if status == 409:
        return _loads(payload).bind(lambda body: Error(_conflict(detail, body)))
    if status == 503:
        return Error(PlatformError("unreachable", detail))
    return Error(PlatformError("lost" if status >= 500 else "refused", detail))


def _loads(payload: bytes) -> Result[Any, PlatformError]:
    try:
        return Ok(loads_lenient(payload))
    except ValueError as error:
        return Error(PlatformError("lost", f"the response could not be parsed: {error}"))


def _conflict(detail: str, body: Any) -> PlatformError:
    rows = {
        (row["table"], row["key"]): (
            _parse_row(row["table"], row["key"], row) if row["version"] else None
        )
        for row in body.get("failed", [])
    }
    return PlatformError("conflict", detail, rows)


def read_hosts(hosts: Any) -> list[Host]:
    """Return the hosts of a JSON list; malformed ones are logged and left out.

    Raises FieldError, a ValueError, if the value is not a list.
    """
    if not isinstance(hosts, list):
        raise FieldError("hosts is not a list")
    found = []
    for index, host in enumerate(hosts):
        try:
            found.append(_parse_host(Fields(host)))
        except FieldError as error:
            _log_malformed_host(index, host, str(error))
    return found


def _parse_host(fields: Fields) -> Host:
    fields.host_and_port("address")
    return Host(
        name=fields.text("name"),
        address=fields.text("address", max_bytes=MAX_ADDRESS_BYTES),
        zone=fields.text("zone"),
        region=fields.text("region"),
        service=fields.text("service"),
        kind=fields.text("kind"),
        cheap=fields.flag("cheap"),
        state=fields.text("state"),
        software=_parse_software(fields),
    )


def _parse_software(fields: Fields) -> str:
    try:
        return fields.text("software", "")
    except FieldError:
        return ""


def _log_malformed_host(index: int, host: Any, problem: str) -> None:
    name = host.get("name") if isinstance(host, dict) else None
    key = name[:MAX_KEY_CHARACTERS] if isinstance(name, str) else str(index)
    # Entries of the list have no version; the problem's checksum is used instead, so that another
    # problem of the same host is logged again.
    own_row_log.log_once(HOST_LIST_LOG_NAME, key, zlib.crc32(problem.encode()), problem)


def _parse_host_list(body: Any) -> Result[list[Host], PlatformError]:
    try:
        return Ok(read_hosts(body.get("hosts") if isinstance(body, dict) else None))
    except FieldError as error:
        return Error(PlatformError("lost", str(error)))


def _parse_row(table: str, key: str, body: dict[str, Any]) -> Row:
    """Return a row. A value that is not a JSON object is logged and replaced by an empty one."""
    value, version = body["value"], body["version"]
    if not isinstance(value, dict):
        own_row_log.log_once(table, key, version, "the value is not a JSON object")
        value = {}
    return Row(key, value, version)


def _parse_fields(item_type: Any, body: dict[str, Any]) -> Any:
    return item_type(**{name: body[name] for name in item_type._fields})
