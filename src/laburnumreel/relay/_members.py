"""The table of the deployment's hosts, in which each host writes its own row."""

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
    own_row_log,
)

MEMBER_TABLE = "relay_hosts"
TIME_TABLE = "relay_time"
STORE_ZERO_KEY = "store_zero"
MAX_MEMBERS = 500


class Member(NamedTuple):
    """A host's row: the address for its peers, and the start of its process that wrote the row.

    `version` is the row's version as it was read, 0 for a row that is still to be written.
    """

    name: str
    address: Address
    boot: str
    version: int = 0


class StoreZero(NamedTuple):
    """The agreed time of day at which the store's clock was zero, in seconds of the Unix epoch.

    `unix_s` is None if there is no row, or if the row's content is invalid.
    """

    unix_s: float | None
    version: int


class Members:
    """Reads and writes the rows of hosts, and the row with the agreed time of day."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def join(self, member: Member) -> Result[int, PlatformError]:
        """Write this host's row, replacing that of an earlier start."""
        value = {"address": format_address(member.address), "boot": member.boot}
        return self._platform.transact([], [Write(MEMBER_TABLE, member.name, value)])

    def leave(self, name: str) -> Result[int, PlatformError]:
        """Remove the row of a host."""
        return self._platform.transact([], [Write(MEMBER_TABLE, name, None)])

    def remove(self, member: Member) -> Result[int, PlatformError]:
        """Remove the row of a host that is gone, unless the row has changed since it was read."""
        return self._platform.transact(
            [Check(MEMBER_TABLE, member.name, member.version)],
            [Write(MEMBER_TABLE, member.name, None)],
        )

    def list(self) -> Result[list[Member], PlatformError]:
        """Return the hosts in the table; rows without a valid address are logged and skipped."""
        page = self._platform.scan(MEMBER_TABLE, limit=MAX_MEMBERS)
        return page.map(
            lambda ok: [member for row in ok.rows if (member := self._parse_member(row))]
        )

    def store_zero(self) -> Result[StoreZero, PlatformError]:
        """Return the agreed time of day at which the store's clock was zero."""
        return self._platform.read(TIME_TABLE, STORE_ZERO_KEY).map(self._parse_store_zero)

    def propose_store_zero(self, store_zero: float, version: int) -> Result[int, PlatformError]:
        """Write the time of day of the store clock's zero, if the row still has this version."""
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
            own_row_log.log_once(TIME_TABLE, row.key, row.version, str(error))
            return StoreZero(None, row.version)

    def _parse_member(self, row: Row) -> Member | None:
        try:
            fields = Fields(row.value)
            # Must be an IP address: peers are identified by the source address of their datagrams.
            return Member(row.key, fields.address("address"), fields.text("boot"), row.version)
        except FieldError as error:
            own_row_log.log_once(MEMBER_TABLE, row.key, row.version, str(error))
            return None
