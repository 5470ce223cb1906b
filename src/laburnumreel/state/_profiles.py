"""Profiles, services and customers: the schemas of their INI files and the validated values."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel.core import Field, Schema, Values, kinds


class Profile(NamedTuple):
    """How a kind of request is served. Times are in seconds, sizes in bytes, rates per second."""

    name: str
    kind: str
    prefix: str
    open_paths: tuple[str, ...]
    idempotent_methods: tuple[str, ...]
    resumable: bool
    deadline_s: float
    first_token_s: float
    token_gap_s: float
    silence_s: float
    priority: int
    cheap_back_ends: str
    max_body_bytes: int
    max_tokens: int
    queue: int
    tokens_per_s: float
    requests_per_s: float
    weight: float
    retry_ratio: float
    retry_minimum: int

    @classmethod
    def from_value(cls, name: str, value: Mapping[str, Any]) -> "Profile":
        return _from_value(cls, name, value)

    def to_value(self) -> dict[str, Any]:
        return _to_value(self)


class Service(NamedTuple):
    """A model service or a plain service: its profile, customers and wanted back ends."""

    name: str
    profile: str
    models: tuple[str, ...]
    customers: tuple[str, ...]
    workers: int
    credential_file: str
    credential_env: str
    prefill_min: int
    decode_min: int
    zone_limit: int
    change_s: float
    cheap_share: float
    zones: tuple[str, ...]
    spare_zone: bool

    @classmethod
    def from_value(cls, name: str, value: Mapping[str, Any]) -> "Service":
        return _from_value(cls, name, value)

    def to_value(self) -> dict[str, Any]:
        return _to_value(self)

    def serves(self, customer: str) -> bool:
        """Return whether this customer may use the service."""
        return "*" in self.customers or customer in self.customers


class Customer(NamedTuple):
    """The share and limits of a customer. A rate of 0 means no limit."""

    name: str
    weight: float
    tokens_per_s: float
    requests_per_s: float

    @classmethod
    def from_value(cls, name: str, value: Mapping[str, Any]) -> "Customer":
        return _from_value(cls, name, value)

    def to_value(self) -> dict[str, Any]:
        return _to_value(self)


_rate = kinds.number(0, 1e9)
_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")

PROFILE_SCHEMA = Schema(
    [
        Field("profile", "kind", kinds.choice("model", "plain"), None, "kind of service", True),
        Field("profile", "prefix", kinds.optional_text, "", "path prefix of a plain service"),
        Field("profile", "open_paths", kinds.names, (), "paths below the prefix that need no key"),
        Field(
            "profile", "idempotent_methods", kinds.names, _METHODS, "methods that are safe to retry"
        ),
        Field("profile", "resumable", kinds.yes_no, True, "streams may resume on another back end"),
        Field(
            "profile",
            "deadline_s",
            kinds.number(0.1, 86400),
            30.0,
            "maximum time to answer a request",
        ),
        Field(
            "profile",
            "first_token_s",
            kinds.number(0.01, 600),
            0.31,
            "target time to the first token",
        ),
        Field(
            "profile", "token_gap_s", kinds.number(0.001, 60), 0.032, "target time between tokens"
        ),
        Field(
            "profile",
            "silence_s",
            kinds.number(0.1, 600),
            5.0,
            "time without bytes before another back end is tried",
        ),
        Field(
            "profile",
            "priority",
            kinds.integer(-100, 100),
            0,
            "engines run higher priorities first",
        ),
        Field(
            "profile",
            "cheap_back_ends",
            kinds.choice("never", "interruptible"),
            "never",
            "whether requests may run on cheaper back ends",
        ),
        Field(
            "profile",
            "max_body_bytes",
            kinds.integer(1, 1 << 30),
            1 << 20,
            "maximum size of a request body",
        ),
        Field(
            "profile",
            "max_tokens",
            kinds.integer(1, 1 << 20),
            4096,
            "maximum number of output tokens",
        ),
        Field(
            "limits", "queue", kinds.integer(1, 100000), 64, "maximum queued requests per customer"
        ),
        Field("limits", "tokens_per_s", _rate, 0.0, "tokens per customer, 0 for no limit"),
        Field("limits", "requests_per_s", _rate, 0.0, "requests per customer, 0 for no limit"),
        Field("limits", "weight", kinds.number(0.01, 1000), 1.0, "relative share among profiles"),
        Field("limits", "retry_ratio", kinds.number(0, 1), 0.1, "retries per successful request"),
        Field("limits", "retry_minimum", kinds.integer(0, 1000), 3, "additional retries per 10 s"),
    ]
)

SERVICE_SCHEMA = Schema(
    [
        Field("service", "profile", kinds.text, None, "name of the profile", True),
        Field("service", "models", kinds.names, (), "model names"),
        Field("service", "customers", kinds.names, None, "customers, or *", True),
        Field("service", "workers", kinds.integer(0, 100000), 0, "wanted number of back ends"),
        Field(
            "service",
            "credential_file",
            kinds.optional_text,
            "",
            "file with the credential for back ends",
        ),
        Field(
            "service",
            "credential_env",
            kinds.optional_text,
            "",
            "environment variable with that credential",
        ),
        Field(
            "roles", "prefill_min", kinds.integer(0, 100000), 1, "minimum number of prefill engines"
        ),
        Field(
            "roles", "decode_min", kinds.integer(0, 100000), 1, "minimum number of decode engines"
        ),
        Field(
            "roles",
            "zone_limit",
            kinds.integer(1, 1000),
            1,
            "maximum simultaneous role changes per zone",
        ),
        Field(
            "roles",
            "change_s",
            kinds.number(0, 3600),
            5.0,
            "time during which a role change takes an engine out of service",
        ),
        Field(
            "spend", "cheap_share", kinds.number(0, 1), 0.0, "maximum share of cheaper back ends"
        ),
        Field("spend", "zones", kinds.names, (), "availability zones to order back ends in"),
        Field(
            "spend",
            "spare_zone",
            kinds.yes_no,
            True,
            "whether capacity must suffice after the loss of any one zone",
        ),
    ]
)

CUSTOMER_SCHEMA = Schema(
    [
        Field("customer", "weight", kinds.number(0.01, 1000), 1.0, "relative share of a service"),
        Field("customer", "tokens_per_s", _rate, 0.0, "limit of tokens, 0 for no limit"),
        Field("customer", "requests_per_s", _rate, 0.0, "limit of requests, 0 for no limit"),
    ]
)


def merge_sections(values: Values) -> dict[str, Any]:
    """Return the keys of all sections as one JSON object, with tuples converted to lists."""
    return {
        key: list(value) if isinstance(value, tuple) else value
        for section in values.values()
        for key, value in section.items()
    }


def _from_value(item_type: Any, name: str, value: Mapping[str, Any]) -> Any:
    fields = {
        key: tuple(item) if isinstance(item, list) else item
        for key, item in value.items()
        if key in item_type._fields
    }
    return item_type(**{**fields, "name": name})


def _to_value(item: Any) -> dict[str, Any]:
    return {
        key: list(value) if isinstance(value, tuple) else value
        for key, value in item._asdict().items()
        if key != "name"
    }
