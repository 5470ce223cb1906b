"""Decisions and agreement between nodes."""

from laburnumreel.coordination._config_sync import ConfigSync
from laburnumreel.coordination._messages import (
    ClaimState,
    DrainMark,
    ExchangeMessage,
    NewsSource,
    NodeStatus,
    NoNews,
    PeerLink,
    PeerNews,
    QuarantineEntry,
)
from laburnumreel.coordination._peers import PeerExchange

__all__ = [
    "ClaimState",
    "ConfigSync",
    "DrainMark",
    "ExchangeMessage",
    "NewsSource",
    "NoNews",
    "NodeStatus",
    "PeerExchange",
    "PeerLink",
    "PeerNews",
    "QuarantineEntry",
]
