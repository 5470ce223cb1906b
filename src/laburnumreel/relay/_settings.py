"""The settings of a relay host: their schema, and named tuples for the validated values."""

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from laburnumreel.core import (
    LOG_FIELDS,
    Field,
    LogSettings,
    Schema,
    SettingsError,
    Values,
    kinds,
)
from laburnumreel.relay._back_ends import Address
from laburnumreel.state import LeaseSettings, MemorySettings

# The memory of the smallest hosts.
DEFAULT_HOST_MB = 160.0


class HostSettings(NamedTuple):
    """This host's name and location. `regions` maps each availability zone to its region."""

    name: str
    zone: str
    region: str
    regions: Mapping[str, str]


class ListenSettings(NamedTuple):
    """The addresses to listen on: for callers, readiness checks, metrics and peers.

    The port of `streams` is the same on all hosts. `forwarded` takes the requests that hosts which
    have lost their links to all backend servers pass on.
    """

    callers: Address
    readiness: Address
    admin: Address
    peers: Address
    streams: Address
    forwarded: Address


class StoreSettings(NamedTuple):
    """The platform's store. All hosts together may use `writes_per_s` and `reads_per_s`."""

    address: Address
    writes_per_s: float
    reads_per_s: float


class BackEndSettings(NamedTuple):
    """The table of backend servers.

    `drain_ms` is how long one that drains may still get requests, and `heartbeat_ms` how often one
    writes its entry, both in ms.
    """

    drain_ms: float
    heartbeat_ms: float


class RetrySettings(NamedTuple):
    """The retry budget that all hosts share, in a sliding window."""

    ratio: float
    slack: float
    window_s: float


class UsageSettings(NamedTuple):
    """Length of a usage window, and the time after its end until a report is late, in seconds."""

    window_s: float
    late_s: float


class StopSettings(NamedTuple):
    """A planned stop: the seconds from SIGTERM until the process is killed."""

    grace_s: float


class RelaySettings(NamedTuple):
    """All settings of a relay host."""

    host: HostSettings
    listen: ListenSettings
    store: StoreSettings
    duties: Address
    back_ends: BackEndSettings
    retry: RetrySettings
    lease: LeaseSettings
    usage: UsageSettings
    stop: StopSettings
    threads: int
    memory: MemorySettings
    news_interval_s: float
    log: LogSettings


RELAY_SCHEMA = Schema(
    [
        Field("host", "name", kinds.text, None, "unique name of the host", required=True),
        Field("host", "zone", kinds.text, None, "the host's availability zone", required=True),
        Field("host", "region", kinds.text, None, "the host's region", required=True),
        Field("host", "regions", kinds.pairs, (), "ZONE=REGION for all availability zones"),
        Field("listen", "callers", kinds.address, None, "callers' HTTP requests", required=True),
        Field("listen", "readiness", kinds.address, None, "readiness checks", required=True),
        Field("listen", "admin", kinds.address, None, "health checks and metrics", required=True),
        Field("listen", "peers", kinds.address, None, "peer updates, UDP", required=True),
        Field(
            "listen",
            "streams",
            kinds.address,
            None,
            "queries about streams, UDP; the default is the port after that of `peers`",
        ),
        Field(
            "listen",
            "forwarded",
            kinds.address,
            None,
            "requests that other hosts pass on, HTTP; the default is the port after that of `peers`",
        ),
        Field("store", "address", kinds.address, None, "the platform's store", required=True),
        Field(
            "store", "writes_per_s", kinds.number(1, 1e6), 400.0, "writes per second of all hosts"
        ),
        Field(
            "store", "reads_per_s", kinds.number(1, 1e6), 2000.0, "reads per second of all hosts"
        ),
        Field("duties", "address", kinds.address, None, "usage reports and orders", required=True),
        Field(
            "back_ends",
            "drain_ms",
            kinds.number(100, 1e6),
            2500.0,
            "time in ms for which a backend server still serves after its entry says that it drains",
        ),
        Field(
            "back_ends",
            "heartbeat_ms",
            kinds.number(50, 1e6),
            1200.0,
            "time in ms after which a backend server writes its entry again",
        ),
        Field("retry", "ratio", kinds.number(0, 10), 0.2, "retries per request"),
        Field("retry", "slack", kinds.number(0, 1e5), 50.0, "additional retries per window"),
        Field("retry", "window_s", kinds.number(0.1, 3600), 10.0, "window of the retry budget"),
        Field("lease", "term_s", kinds.number(0.5, 60), 4.0, "term of the lease"),
        Field(
            "lease",
            "margin_s",
            kinds.number(0.05, 10),
            0.4,
            "time before the term's end at which the holder stops",
        ),
        Field("usage", "window_s", kinds.number(0.5, 86400), 5.0, "length of a usage window"),
        Field(
            "usage",
            "late_s",
            kinds.number(0.5, 86400),
            10.0,
            "time after a window's end from which its report is late",
        ),
        Field("stop", "grace_s", kinds.number(1, 86400), 8.0, "time from SIGTERM to SIGKILL"),
        Field("threads", "callers", kinds.integer(1, 4096), 48, "concurrent requests"),
        Field(
            "memory",
            "host_mb",
            kinds.number(16, 1e6),
            DEFAULT_HOST_MB,
            "memory of the host in MB, of which answers may hold an eighth and requests at most two fifths",
        ),
        Field("peers", "interval_s", kinds.number(0.02, 60), 0.15, "interval of peer updates"),
        *LOG_FIELDS,
    ]
)


def load_relay_settings(path: Path) -> Result[RelaySettings, list[SettingsError]]:
    """Load and validate a relay host's settings from a file."""
    return RELAY_SCHEMA.load(path).bind(lambda values: _build(values, str(path)))


def _build(values: Values, file: str) -> Result[RelaySettings, list[SettingsError]]:
    lease = LeaseSettings(**values["lease"])
    if lease.term_s <= 2 * lease.margin_s:
        allowed = f"more than twice margin_s ({2 * lease.margin_s:g})"
        return Error([SettingsError(file, "lease", "term_s", f"{lease.term_s:g}", allowed)])
    listen = ListenSettings(**values["listen"])
    next_to_peers = (listen.peers[0], listen.peers[1] + 1)
    listen = listen._replace(
        streams=listen.streams or next_to_peers, forwarded=listen.forwarded or next_to_peers
    )
    host = values["host"]
    regions = {**dict(host["regions"]), host["zone"]: host["region"]}
    return Ok(
        RelaySettings(
            host=HostSettings(host["name"], host["zone"], host["region"], regions),
            listen=listen,
            store=StoreSettings(**values["store"]),
            duties=values["duties"]["address"],
            back_ends=BackEndSettings(**values["back_ends"]),
            retry=RetrySettings(**values["retry"]),
            lease=lease,
            usage=UsageSettings(**values["usage"]),
            stop=StopSettings(**values["stop"]),
            threads=values["threads"]["callers"],
            memory=MemorySettings(**values["memory"]),
            news_interval_s=values["peers"]["interval_s"],
            log=LogSettings(**values["log"]),
        )
    )
