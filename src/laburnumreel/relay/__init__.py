"""Relays: route requests to backend servers, on hosts that share their state.

A relay selects the service by the request's host and path, the customer by its key, and the backend
servers by the prompts that they keep and by their load. An `Adapter` connects the relay to the
surrounding systems.
"""

from laburnumreel.relay._back_ends import MAX_SLOTS, Address, BackEndList, ListedBackEnd, Role
from laburnumreel.relay._config import (
    CallerLimits,
    EngineTraits,
    RelayConfig,
    RelayCustomer,
    RelayService,
    Route,
    RouteKind,
    RouteTable,
    Scaling,
    Share,
)
from laburnumreel.relay._end_report import EndFinding, find_ends
from laburnumreel.relay._event_stream import EventSplitter, StreamEvent
from laburnumreel.relay._latency_report import STAGES, SecondReport, report_seconds
from laburnumreel.relay._node import RelayNode, run_relay
from laburnumreel.relay._ports import (
    Adapter,
    BackEndWire,
    CallerWire,
    Directory,
    DutyCall,
    DutyWire,
    Feed,
    Listing,
)
from laburnumreel.relay._requests import (
    MAX_TOKENS,
    Dispatch,
    Prompt,
    PromptCopy,
    PromptPart,
    RelayRequest,
    SelfReport,
    Verdict,
)
from laburnumreel.relay._retry_report import RetryWindow, report_retries
from laburnumreel.relay._settings import (
    RELAY_SCHEMA,
    RelaySettings,
    load_relay_settings,
)

__all__ = [
    "MAX_SLOTS",
    "MAX_TOKENS",
    "RELAY_SCHEMA",
    "Adapter",
    "Address",
    "BackEndList",
    "BackEndWire",
    "CallerLimits",
    "CallerWire",
    "Directory",
    "Dispatch",
    "DutyCall",
    "DutyWire",
    "EndFinding",
    "EngineTraits",
    "EventSplitter",
    "Feed",
    "ListedBackEnd",
    "Listing",
    "PromptPart",
    "Prompt",
    "PromptCopy",
    "RelayConfig",
    "RelayCustomer",
    "RelayNode",
    "RelayRequest",
    "RelayService",
    "RelaySettings",
    "Role",
    "Route",
    "RouteKind",
    "RouteTable",
    "Scaling",
    "Share",
    "StreamEvent",
    "Verdict",
    "RetryWindow",
    "SelfReport",
    "STAGES",
    "SecondReport",
    "find_ends",
    "load_relay_settings",
    "report_retries",
    "report_seconds",
    "run_relay",
]
