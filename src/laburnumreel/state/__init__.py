"""What lasts and its rules: errors, the platform's client, configuration, leases, usage."""

from laburnumreel.state._configuration import Change, Configuration, Route
from laburnumreel.state._errors import ERROR_ANSWERS, ErrorAnswer, ErrorKind, Refusal, RunState
from laburnumreel.state._folder import load_folder
from laburnumreel.state._journal import (
    ORDER_TABLE,
    Order,
    OrderState,
    Receipt,
    Target,
    WantedOrder,
    receipt_of_answer,
    receipt_of_list,
    settle,
)
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
    "Authority",
    "CUSTOMER_SCHEMA",
    "CapacityOrder",
    "Change",
    "Check",
    "Configuration",
    "Customer",
    "ERROR_ANSWERS",
    "ErrorAnswer",
    "ErrorKind",
    "Host",
    "HttpPlatform",
    "LEASE_TABLE",
    "Lease",
    "LeaseAttempt",
    "LeaseSettings",
    "ORDER_TABLE",
    "Order",
    "OrderState",
    "PROFILE_SCHEMA",
    "Page",
    "Platform",
    "PlatformError",
    "Profile",
    "Receipt",
    "Refusal",
    "Route",
    "Row",
    "RunState",
    "SERVICE_SCHEMA",
    "SETTINGS_SCHEMA",
    "Service",
    "Settings",
    "Target",
    "UsageSettings",
    "WantedOrder",
    "WithdrawnKeys",
    "Write",
    "key_digest",
    "load_folder",
    "load_settings",
    "merge_sections",
    "new_key",
    "receipt_of_answer",
    "receipt_of_list",
    "settle",
]
