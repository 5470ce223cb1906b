"""The hosts of a deployment, as rows that each writes for itself."""

from typing import NamedTuple

from expression import Result

from laburnumreel.coordination import format_address
from laburnumreel.relay._back_ends import Address
from laburnumreel.state import (
    MAX_UNIX_S,
    Check,
    FieldError,
    Fields,
    Platform,
    PlatformError,
    Row,
    Write,
    own_rows,
)

MEMBER_TABLE = "relay_hosts"
TIME_TABLE = "relay_time"
STORE_ZERO_KEY = "store_zero"
MAX_MEMBERS = 500


class Member(NamedTuple):
    """A host's row: where its peers reach it, and which start of its process wrote it.

    `version` is that of the row as it was read, 0 for one that is to be written.
    """

    name: str
    address: Address
    boot: str
    version: int = 0


class StoreZero(NamedTuple):
    """The agreed time of day at which the store's clock was zero, in seconds of the Unix epoch.

    It is None where no row says it, or where the row of this version says nothing that can be it.
    """

    unix_s: float | None
    version: int


class Members:
    """Reads and writes the rows of hosts, and the row on which all agree the time of day."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def join(self, member: Member) -> Result[int, PlatformError]:
        """Write this host's row, whatever an earlier start left there."""
        value = {"address": format_address(member.address), "boot": member.boot}
        return self._platform.transact([], [Write(MEMBER_TABLE, member.name, value)])

    def leave(self, name: str) -> Result[int, PlatformError]:
        """Remove the row of a host."""
        return self._platform.transact([], [Write(MEMBER_TABLE, name, None)])

    def remove(self, member: Member) -> Result[int, PlatformError]:
        """Remove the row of a host that is gone, unless it was written again since."""
        return self._platform.transact(
            [Check(MEMBER_TABLE, member.name, member.version)],
            [Write(MEMBER_TABLE, member.name, None)],
        )

    def list(self) -> Result[list[Member], PlatformError]:
        """Return the hosts that have a row; one that names no address is logged and left out."""
        page = self._platform.scan(MEMBER_TABLE, limit=MAX_MEMBERS)
        return page.map(
            lambda ok: [member for row in ok.rows if (member := self._parse_member(row))]
        )

    def store_zero(self) -> Result[StoreZero, PlatformError]:
        """Return the agreed time of day at which the store's clock was zero."""
        return self._platform.read(TIME_TABLE, STORE_ZERO_KEY).map(self._parse_store_zero)

    def propose_store_zero(self, store_zero: float, version: int) -> Result[int, PlatformError]:
        """Write the time of day of the store clock's zero unless the row has another version."""
        return self._platform.transact(
            [Check(TIME_TABLE, STORE_ZERO_KEY, version)],
            [Write(TIME_TABLE, STORE_ZERO_KEY, {"unix_s": store_zero})],
        )

    def _parse_store_zero(self, row: Row | None) -> StoreZero:
        if row is None:
            return StoreZero(None, 0)
        try:
            unix_s = Fields(row.value).number("unix_s", -MAX_UNIX_S, MAX_UNIX_S)
            return StoreZero(float(unix_s), row.version)
        except FieldError as error:
            own_rows.tell(TIME_TABLE, row.key, row.version, str(error))
            return StoreZero(None, row.version)

    def _parse_member(self, row: Row) -> Member | None:
        try:
            fields = Fields(row.value)
            # Datagrams come from addresses, so that a name would only stand for one unknown.
            return Member(row.key, fields.address("address"), fields.text("boot"), row.version)
        except FieldError as error:
            own_rows.tell(MEMBER_TABLE, row.key, row.version, str(error))
            return None
