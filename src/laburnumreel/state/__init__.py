"""What lasts and its rules: errors, the platform's client, configuration, leases, usage."""

from laburnumreel.state._configuration import Change, Configuration, Route
from laburnumreel.state._errors import ERROR_ANSWERS, ErrorAnswer, ErrorKind, Refusal, RunState
from laburnumreel.state._keys import WithdrawnKeys, key_digest, new_key
from laburnumreel.state._lease import LEASE_TABLE, Authority, Lease, LeaseAttempt
from laburnumreel.state._platform import (
    CapacityOrder,
    Check,
    Host,
    HttpPlatform,
    Page,
    Platform,
    PlatformError,
    Row,
    Write,
)
from laburnumreel.state._profiles import (
    CUSTOMER_SCHEMA,
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Customer,
    Profile,
    Service,
    merge_sections,
)
from laburnumreel.state._settings import (
    SETTINGS_SCHEMA,
    LeaseSettings,
    Settings,
    UsageSettings,
    load_settings,
)

__all__ = [
    "CUSTOMER_SCHEMA",
    "ERROR_ANSWERS",
    "LEASE_TABLE",
    "PROFILE_SCHEMA",
    "SERVICE_SCHEMA",
    "SETTINGS_SCHEMA",
    "Authority",
    "CapacityOrder",
    "Change",
    "Check",
    "Configuration",
    "Customer",
    "ErrorAnswer",
    "ErrorKind",
    "Host",
    "HttpPlatform",
    "Lease",
    "LeaseAttempt",
    "LeaseSettings",
    "Page",
    "Platform",
    "PlatformError",
    "Profile",
    "Refusal",
    "Route",
    "Row",
    "RunState",
    "Service",
    "Settings",
    "UsageSettings",
    "WithdrawnKeys",
    "Write",
    "key_digest",
    "load_settings",
    "merge_sections",
    "new_key",
]
