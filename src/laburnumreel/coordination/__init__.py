"""Decisions and agreement between nodes."""

from laburnumreel.coordination._admission import (
    Admission,
    Admitted,
    Decision,
    Offer,
    Queued,
    Refused,
)
from laburnumreel.coordination._authority import AlarmTimer, AuthorityBoard, ProcessTimer
from laburnumreel.coordination._budget import RetryBudget
from laburnumreel.coordination._config_sync import ConfigSync
from laburnumreel.coordination._fleet import BackEnd, Drain, Fleet, LoadReport
from laburnumreel.coordination._guarded_send import (
    Answer,
    GuardedSender,
    OrderConnection,
    OrderLink,
    SendFailure,
)
from laburnumreel.coordination._leases import LeaseKeeper
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
from laburnumreel.coordination._orders import ORDERS_LEASE, OrderSender, Plan, Receivers
from laburnumreel.coordination._peers import PeerExchange
from laburnumreel.coordination._prefixes import prompt_prefixes
from laburnumreel.coordination._quarantine import Quarantine
from laburnumreel.coordination._routing import Choice, Costs, Router, Work

__all__ = [
    "Admission",
    "Admitted",
    "AlarmTimer",
    "Answer",
    "AuthorityBoard",
    "BackEnd",
    "Choice",
    "ClaimState",
    "ConfigSync",
    "Costs",
    "Decision",
    "Drain",
    "DrainMark",
    "ExchangeMessage",
    "Fleet",
    "GuardedSender",
    "LeaseKeeper",
    "LoadReport",
    "NewsSource",
    "NoNews",
    "NodeStatus",
    "ORDERS_LEASE",
    "Offer",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "PeerExchange",
    "PeerLink",
    "PeerNews",
    "Plan",
    "ProcessTimer",
    "Quarantine",
    "QuarantineEntry",
    "Queued",
    "Receivers",
    "Refused",
    "RetryBudget",
    "Router",
    "SendFailure",
    "Work",
    "prompt_prefixes",
]
