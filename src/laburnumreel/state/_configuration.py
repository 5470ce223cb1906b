"""The configuration shared by all nodes: entries, versioned changes and an incremental digest."""

import hashlib
import io
import json
from collections.abc import Iterator, Mapping
from functools import cached_property
from types import MappingProxyType
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.state._profiles import Customer, Profile, Service

_MODULUS = 1 << 256


class Change(NamedTuple):
    """One accepted change. `digest` is the digest of the configuration after the change."""

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
    """A request's service, the service's profile, and whether the path needs no API key."""

    service: Service
    profile: Profile
    open_to_all: bool


class Configuration:
    """An immutable configuration at one version.

    Entries are JSON objects under the names `profile/NAME`, `service/NAME`, `customer/NAME` and
    `key/DIGEST`. The digest is the sum, modulo 2**256, of the SHA-256 of each entry, so that a
    change updates the digest without reading the other entries.

    >>> empty = Configuration()
    >>> change = empty.next_change("ana", puts={"customer/hall-a": {"weight": 1.0}})
    >>> empty.apply(change).ok.version
    1
    """

    def __init__(
        self,
        version: int = 0,
        entries: Mapping[str, dict[str, Any]] = MappingProxyType({}),
    ) -> None:
        self._version = version
        self._sections: dict[str, dict[str, bytes]] = {}
        self._digest = 0
        for entry, value in entries.items():
            self._add(entry, value)

    @property
    def version(self) -> int:
        return self._version

    @property
    def digest(self) -> str:
        return f"{self._digest:064x}"

    @property
    def entries(self) -> Mapping[str, dict[str, Any]]:
        """All entries by full name. Values are decoded on access, because most are never read."""
        return _Entries(self._sections)

    @cached_property
    def profiles(self) -> Mapping[str, Profile]:
        return MappingProxyType(dict(_Section(self._sections.get("profile", {}), Profile)))

    @cached_property
    def services(self) -> Mapping[str, Service]:
        return MappingProxyType(dict(_Section(self._sections.get("service", {}), Service)))

    @property
    def customers(self) -> Mapping[str, Customer]:
        return _Section(self._sections.get("customer", {}), Customer)

    @cached_property
    def models(self) -> Mapping[str, Service]:
        """The service that serves each model, by model name."""
        return MappingProxyType(
            {model: service for service in self.services.values() for model in service.models}
        )

    def customer_of(self, digest: str) -> str | None:
        """Return the customer whose API key has this digest, or None."""
        encoded = self._sections.get("key", {}).get(digest)
        return None if encoded is None else json.loads(encoded)["customer"]

    def route(self, path: str) -> Route | None:
        """Return the route to the plain service with the longest matching path prefix, or None."""
        best: Route | None = None
        for service in self.services.values():
            profile = self.profiles.get(service.profile)
            if profile is None or profile.kind != "plain" or not path.startswith(profile.prefix):
                continue
            if best is None or len(profile.prefix) > len(best.profile.prefix):
                subpath = path[len(profile.prefix) :]
                best = Route(service, profile, subpath in profile.open_paths)
        return best

    def next_change(
        self,
        author: str,
        puts: Mapping[str, dict[str, Any]] = MappingProxyType({}),
        deletes: tuple[str, ...] = (),
    ) -> Change:
        """Return the change that applies these edits and produces the next version."""
        digest = self._digest_after(puts, deletes)
        return Change(self._version + 1, author, dict(puts), tuple(deletes), f"{digest:064x}")

    def apply(self, change: Change) -> Result["Configuration", str]:
        """Return the configuration after `change`, or why it cannot be applied to this one."""
        if change.version != self._version + 1:
            return Error(f"version {change.version} does not follow {self._version}")
        digest = self._digest_after(change.puts, change.deletes)
        if f"{digest:064x}" != change.digest:
            return Error(f"the digest of version {change.version} does not match")
        changed = Configuration()
        changed._version, changed._digest = change.version, digest
        # Sections without edits are shared between both configurations.
        changed._sections = dict(self._sections)
        for kind in {entry.partition("/")[0] for entry in (*change.puts, *change.deletes)}:
            changed._sections[kind] = dict(self._sections.get(kind, {}))
        for entry in change.deletes:
            kind, _, name = entry.partition("/")
            changed._sections[kind].pop(name, None)
        for entry, value in change.puts.items():
            kind, _, name = entry.partition("/")
            changed._sections[kind][name] = _encode_value(kind, value)
        return Ok(changed)

    def to_bytes(self) -> bytes:
        """Return the serialized configuration: a line with the version, then one line per entry.

        The reader decodes line by line, so that it never holds all entries as objects at once.
        """
        lines = [_canonical_json({"version": self._version})]
        for kind, section in self._sections.items():
            lines += [
                b"[" + _canonical_json(f"{kind}/{name}") + b"," + encoded + b"]"
                for name, encoded in section.items()
            ]
        return b"\n".join(lines)

    @classmethod
    def from_bytes(cls, body: bytes) -> "Configuration":
        """Decode `to_bytes` output. Raises ValueError, KeyError or TypeError for anything else."""
        lines = io.BytesIO(body)
        configuration = cls(json.loads(lines.readline())["version"])
        for line in lines:
            entry, value = json.loads(line)
            configuration._add(entry, value)
        return configuration

    def _add(self, entry: str, value: dict[str, Any]) -> None:
        kind, _, name = entry.partition("/")
        encoded = _encode_value(kind, value)
        self._sections.setdefault(kind, {})[name] = encoded
        self._digest = (self._digest + _hash_entry(entry, encoded)) % _MODULUS

    def _digest_after(self, puts: Mapping[str, dict[str, Any]], deletes: tuple[str, ...]) -> int:
        digest = self._digest
        for entry in {*puts, *deletes}:
            kind, _, name = entry.partition("/")
            encoded = self._sections.get(kind, {}).get(name)
            if encoded is not None:
                digest -= _hash_entry(entry, encoded)
        for entry, value in puts.items():
            digest += _hash_entry(entry, _canonical_json(value))
        return digest % _MODULUS


class _Entries(Mapping[str, dict[str, Any]]):
    """A read-only view of the entries of all sections by full name."""

    def __init__(self, sections: Mapping[str, Mapping[str, bytes]]) -> None:
        self._sections = sections

    def __getitem__(self, entry: str) -> dict[str, Any]:
        kind, _, name = entry.partition("/")
        return json.loads(self._sections[kind][name])

    def __iter__(self) -> Iterator[str]:
        for kind, section in self._sections.items():
            for name in section:
                yield f"{kind}/{name}"

    def __len__(self) -> int:
        return sum(len(section) for section in self._sections.values())


class _Section(Mapping[str, Any]):
    """A read-only view of one section whose entries are decoded to named tuples on access."""

    def __init__(self, encoded: Mapping[str, bytes], item_type: Any) -> None:
        self._encoded = encoded
        self._item_type = item_type

    def __getitem__(self, name: str) -> Any:
        return self._item_type.from_value(name, json.loads(self._encoded[name]))

    def __iter__(self) -> Iterator[str]:
        return iter(self._encoded)

    def __len__(self) -> int:
        return len(self._encoded)


# Most customers have one of a few settings, so equal encoded values are stored once.
_MAX_INTERNED_VALUES = 4096
_interned_values: dict[bytes, bytes] = {}


def _encode_value(kind: str, value: dict[str, Any]) -> bytes:
    """Return a value as canonical JSON, which takes a third of the memory of a dictionary."""
    encoded = _canonical_json(value)
    if kind == "key" or len(_interned_values) >= _MAX_INTERNED_VALUES:
        return _interned_values.get(encoded, encoded)
    return _interned_values.setdefault(encoded, encoded)


def _canonical_json(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _hash_entry(entry: str, encoded: bytes) -> int:
    name = json.dumps(entry).encode()
    return int.from_bytes(hashlib.sha256(b"[" + name + b"," + encoded + b"]").digest())
