"""Settings of the daemon: their schema and the validated values as named tuples."""

import os
from pathlib import Path
from typing import Any, NamedTuple

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

Address = tuple[str, int]


class NodeSettings(NamedTuple):
    """The identity and location of this node."""

    name: str
    zone: str
    region: str


class ListenSettings(NamedTuple):
    """Listening addresses of the gateway and the coordinator of a node."""

    callers: Address
    admin: Address
    peers: Address
    coordinator_admin: Address
    coordinator_peers: Address


class PlatformSettings(NamedTuple):
    """The address of the platform, its token and the timeout of a call in seconds."""

    address: Address
    timeout_s: float
    token: str


class PeerSettings(NamedTuple):
    """The peer addresses of all nodes, including this one. Times are in seconds."""

    gateways: tuple[Address, ...]
    coordinators: tuple[Address, ...]
    exchange_s: float
    cut_off_s: float


class ThreadSettings(NamedTuple):
    """Threads that serve callers: for admitted or queued requests, and a reserve for refusals."""

    callers: int
    reserve: int


class MemorySettings(NamedTuple):
    """The memory that the process of a host may use, in MB."""

    host_mb: float


class UsageSettings(NamedTuple):
    """How usage is collected. Times are in seconds."""

    window_s: int
    flush_s: float
    shards: int
    grace_s: float


class LeaseSettings(NamedTuple):
    """Lease times in seconds."""

    term_s: float
    margin_s: float


class StopSettings(NamedTuple):
    """Planned stops: the notice for the load balancer and the maximum wait for running requests."""

    notice_s: float
    grace_s: float


class Settings(NamedTuple):
    """All settings of a node."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    threads: ThreadSettings
    memory: MemorySettings
    log: LogSettings
    pepper: bytes
    usage: UsageSettings
    lease: LeaseSettings
    stop: StopSettings


SETTINGS_SCHEMA = Schema(
    [
        Field("node", "name", kinds.text, None, "the node's unique name", required=True),
        Field("node", "zone", kinds.text, None, "its availability zone", required=True),
        Field("node", "region", kinds.text, None, "its region", required=True),
        Field("listen", "callers", kinds.address, ("127.0.0.1", 8080), "callers' HTTP"),
        Field("listen", "admin", kinds.address, ("127.0.0.1", 8081), "gateway health and metrics"),
        Field("listen", "peers", kinds.address, ("127.0.0.1", 8082), "gateway peer exchange"),
        Field(
            "listen",
            "coordinator_admin",
            kinds.address,
            ("127.0.0.1", 8083),
            "coordinator health and metrics",
        ),
        Field(
            "listen",
            "coordinator_peers",
            kinds.address,
            ("127.0.0.1", 8084),
            "coordinator peer exchange",
        ),
        Field("platform", "address", kinds.address, None, "the platform", required=True),
        Field("platform", "timeout_s", kinds.number(0.1, 60), 2.0, "timeout of a call"),
        Field("platform", "token_file", kinds.text, None, "file with the platform's token"),
        Field("peers", "gateways", kinds.addresses, (), "peer addresses of all gateways"),
        Field("peers", "coordinators", kinds.addresses, (), "peer addresses of all coordinators"),
        Field(
            "peers", "exchange_s", kinds.number(0.05, 60), 0.5, "interval between peer exchanges"
        ),
        Field(
            "peers",
            "cut_off_s",
            kinds.number(0.5, 60),
            3.0,
            "maximum time without the store and a majority of peers before admission stops",
        ),
        Field(
            "threads", "callers", kinds.integer(1, 4096), 128, "maximum admitted or queued requests"
        ),
        Field(
            "threads",
            "reserve",
            kinds.integer(1, 1024),
            32,
            "additional threads for sending refusals",
        ),
        Field(
            "memory",
            "host_mb",
            kinds.number(64, 1e6),
            512.0,
            "memory of a gateway in MB, of which answers may hold an eighth and requests at most two fifths",
        ),
        *LOG_FIELDS,
        Field("keys", "pepper_file", kinds.text, None, "file with the secret for API key digests"),
        Field("keys", "pepper_env", kinds.text, None, "environment variable with that secret"),
        Field("usage", "window_s", kinds.integer(1, 86400), 60, "length of a usage window"),
        Field("usage", "flush_s", kinds.number(0.05, 60), 1.0, "interval between flushes"),
        Field(
            "usage", "shards", kinds.integer(1, 1024), 4, "number of customer shards of a window"
        ),
        Field(
            "usage",
            "grace_s",
            kinds.number(0, 600),
            5.0,
            "wait after the end of a window before closing it",
        ),
        Field("lease", "term_s", kinds.number(0.5, 60), 4.0, "term of a lease"),
        Field(
            "lease",
            "margin_s",
            kinds.number(0.05, 10),
            0.5,
            "time before the end of its term at which a holder stops",
        ),
        Field("stop", "notice_s", kinds.number(0, 60), 1.0, "notice for the load balancer"),
        Field(
            "stop", "grace_s", kinds.number(0, 86400), 600.0, "maximum wait for running requests"
        ),
    ]
)


def load_settings(path: Path) -> Result[Settings, list[SettingsError]]:
    """Load and validate the settings of a node, with secrets read from files or environment."""
    return SETTINGS_SCHEMA.load(path).bind(lambda values: _build(values, str(path)))


def _build(values: Values, file: str) -> Result[Settings, list[SettingsError]]:
    errors: list[SettingsError] = []
    pepper = _load_secret(values["keys"], "pepper", file, errors)
    token = ""
    if values["platform"]["token_file"]:
        token = _read_secret(values["platform"], "platform", "token_file", file, errors)
    lease = LeaseSettings(**values["lease"])
    if lease.term_s <= 2 * lease.margin_s:
        allowed = f"more than twice margin_s ({2 * lease.margin_s:g})"
        errors.append(SettingsError(file, "lease", "term_s", f"{lease.term_s:g}", allowed))
    if errors:
        return Error(errors)
    platform = values["platform"]
    return Ok(
        Settings(
            node=NodeSettings(**values["node"]),
            listen=ListenSettings(**values["listen"]),
            platform=PlatformSettings(platform["address"], platform["timeout_s"], token),
            peers=PeerSettings(**values["peers"]),
            threads=ThreadSettings(**values["threads"]),
            memory=MemorySettings(**values["memory"]),
            log=LogSettings(**values["log"]),
            pepper=pepper.encode(),
            usage=UsageSettings(**values["usage"]),
            lease=lease,
            stop=StopSettings(**values["stop"]),
        )
    )


def _load_secret(keys: dict[str, Any], name: str, file: str, errors: list[SettingsError]) -> str:
    file_key, env_key = f"{name}_file", f"{name}_env"
    if keys[file_key]:
        return _read_secret(keys, "keys", file_key, file, errors)
    value = os.environ.get(keys[env_key] or "", "")
    if not value:
        found = "nothing" if not keys[env_key] else f"{keys[env_key]}, which is not set"
        allowed = f"{file_key}, or {env_key} naming a variable that is set"
        errors.append(SettingsError(file, "keys", env_key, found, allowed))
    return value


def _read_secret(
    values: dict[str, Any], section: str, key: str, file: str, errors: list[SettingsError]
) -> str:
    try:
        secret = Path(values[key]).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        errors.append(SettingsError(file, section, key, str(error), "a readable file"))
        return ""
    if not secret:
        errors.append(SettingsError(file, section, key, "an empty file", "a file with a secret"))
    return secret
