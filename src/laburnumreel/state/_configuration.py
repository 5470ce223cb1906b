"""The configuration that all nodes share: entries, versioned changes and an incremental digest."""

import hashlib
import json
from collections.abc import Mapping
from functools import cached_property
from types import MappingProxyType
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.state._profiles import Customer, Profile, Service

_MODULUS = 1 << 256


class Change(NamedTuple):
    """One accepted change. `digest` is that of the configuration after it."""

    version: int
    author: str
    puts: dict[str, dict[str, Any]]
    deletes: tuple[str, ...]
    digest: str

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Change":
        return cls(
            value["version"],
            value["author"],
            value["puts"],
            tuple(value["deletes"]),
            value["digest"],
        )

    def to_value(self) -> dict[str, Any]:
        return {**self._asdict(), "deletes": list(self.deletes)}


class Route(NamedTuple):
    """Where a request goes: its service, the service's profile, and whether it is open to all."""

    service: Service
    profile: Profile
    open_to_all: bool


class Configuration:
    """An immutable configuration at one version.

    Entries are JSON objects under the names `profile/NAME`, `service/NAME`, `customer/NAME` and
    `key/DIGEST`. The digest is the sum, modulo 2**256, of the SHA-256 of each entry, so that a
    change updates it without reading the other entries.

    >>> empty = Configuration()
    >>> change = empty.next_change("ana", puts={"customer/hall-a": {"weight": 1.0}})
    >>> empty.apply(change).value.version
    1
    """

    def __init__(
        self,
        version: int = 0,
        entries: Mapping[str, dict[str, Any]] = MappingProxyType({}),
        digest: int | None = None,
    ) -> None:
        self._version = version
        self._entries = MappingProxyType(dict(entries))
        if digest is None:
            digest = sum(_hash(name, value) for name, value in self._entries.items()) % _MODULUS
        self._digest = digest

    @property
    def version(self) -> int:
        return self._version

    @property
    def digest(self) -> str:
        return f"{self._digest:064x}"

    @property
    def entries(self) -> Mapping[str, dict[str, Any]]:
        return self._entries

    @cached_property
    def profiles(self) -> Mapping[str, Profile]:
        return self._section("profile", Profile.from_value)

    @cached_property
    def services(self) -> Mapping[str, Service]:
        return self._section("service", Service.from_value)

    @cached_property
    def customers(self) -> Mapping[str, Customer]:
        return self._section("customer", Customer.from_value)

    @cached_property
    def models(self) -> Mapping[str, Service]:
        """The service of each model name."""
        return MappingProxyType(
            {model: service for service in self.services.values() for model in service.models}
        )

    def customer_of(self, digest: str) -> str | None:
        """Return the customer whose key has this digest, or None."""
        entry = self._entries.get(f"key/{digest}")
        return None if entry is None else entry["customer"]

    def route(self, path: str) -> Route | None:
        """Return the plain service with the longest path prefix that fits, or None."""
        best: Route | None = None
        for service in self.services.values():
            profile = self.profiles.get(service.profile)
            if profile is None or profile.kind != "plain" or not path.startswith(profile.prefix):
                continue
            if best is None or len(profile.prefix) > len(best.profile.prefix):
                rest = path[len(profile.prefix) :]
                best = Route(service, profile, rest in profile.open_paths)
        return best

    def next_change(
        self,
        author: str,
        puts: Mapping[str, dict[str, Any]] = MappingProxyType({}),
        deletes: tuple[str, ...] = (),
    ) -> Change:
        """Return the change to the next version that makes these edits."""
        digest = self._digest_after(puts, deletes)
        return Change(self._version + 1, author, dict(puts), tuple(deletes), f"{digest:064x}")

    def apply(self, change: Change) -> Result["Configuration", str]:
        """Return the configuration after `change`, or why it does not follow this one."""
        if change.version != self._version + 1:
            return Error(f"version {change.version} does not follow {self._version}")
        digest = self._digest_after(change.puts, change.deletes)
        if f"{digest:064x}" != change.digest:
            return Error(f"the digest after version {change.version} differs")
        # Copying through the proxy's own method is ten times faster than dict(proxy).
        entries = self._entries.copy()
        for name in change.deletes:
            entries.pop(name, None)
        entries.update(change.puts)
        return Ok(Configuration(change.version, entries, digest))

    def to_bytes(self) -> bytes:
        """Return the whole configuration as canonical JSON."""
        return _canonical({"version": self._version, "entries": dict(self._entries)})

    @classmethod
    def from_bytes(cls, body: bytes) -> "Configuration":
        """Read what `to_bytes` wrote. Raises ValueError or KeyError on anything else."""
        value = json.loads(body)
        return cls(value["version"], value["entries"])

    def _digest_after(self, puts: Mapping[str, dict[str, Any]], deletes: tuple[str, ...]) -> int:
        digest = self._digest
        for name in {*puts, *deletes}:
            if name in self._entries:
                digest -= _hash(name, self._entries[name])
        for name, value in puts.items():
            digest += _hash(name, value)
        return digest % _MODULUS

    def _section(self, kind: str, build: Any) -> Mapping[str, Any]:
        prefix = f"{kind}/"
        return MappingProxyType(
            {
                name.removeprefix(prefix): build(name.removeprefix(prefix), value)
                for name, value in self._entries.items()
                if name.startswith(prefix)
            }
        )


def _canonical(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _hash(name: str, value: dict[str, Any]) -> int:
    return int.from_bytes(hashlib.sha256(_canonical([name, value])).digest())
