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
from laburnumreel.coordination._back_ends import BackEnd, Drain, LoadReport
from laburnumreel.coordination._budget import RetryBudget
from laburnumreel.coordination._fleet import Fleet
from laburnumreel.coordination._guarded_send import (
    Answer,
    GuardedSender,
    OrderConnection,
    OrderLink,
    SendFailure,
)
from laburnumreel.coordination._leases import LeaseKeeper
from laburnumreel.coordination._orders import ORDERS_LEASE, OrderSender, Plan, Receivers
from laburnumreel.coordination._prefixes import prompt_prefixes
from laburnumreel.coordination._routing import Choice, Costs, Router, Work

__all__ = [
    "ORDERS_LEASE",
    "Admission",
    "Admitted",
    "AlarmTimer",
    "Answer",
    "AuthorityBoard",
    "BackEnd",
    "Choice",
    "Costs",
    "Decision",
    "Drain",
    "Fleet",
    "GuardedSender",
    "LeaseKeeper",
    "LoadReport",
    "Offer",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "Plan",
    "ProcessTimer",
    "Queued",
    "Receivers",
    "Refused",
    "RetryBudget",
    "Router",
    "SendFailure",
    "Work",
    "prompt_prefixes",
]
