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
from laburnumreel.coordination._fleet import BackEnd, Drain, Fleet, LoadReport
from laburnumreel.coordination._guarded_send import (
    Answer,
    GuardedSender,
    OrderConnection,
    OrderLink,
    SendFailure,
)
from laburnumreel.coordination._leases import LeaseKeeper
from laburnumreel.coordination._orders import ORDERS_LEASE, OrderSender, Plan, Receivers
from laburnumreel.coordination._planning import LoadReader, Planner
from laburnumreel.coordination._prefixes import prompt_prefixes
from laburnumreel.coordination._routing import Choice, Costs, Router, Work
from laburnumreel.coordination._snapshots import SNAPSHOT_LEASE, SnapshotWriter
from laburnumreel.coordination._wanted import Capacity

__all__ = [
    "ORDERS_LEASE",
    "SNAPSHOT_LEASE",
    "Admission",
    "Admitted",
    "AlarmTimer",
    "Answer",
    "AuthorityBoard",
    "BackEnd",
    "Capacity",
    "Choice",
    "Costs",
    "Decision",
    "Drain",
    "Fleet",
    "GuardedSender",
    "LeaseKeeper",
    "LoadReader",
    "LoadReport",
    "Offer",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "Plan",
    "Planner",
    "ProcessTimer",
    "Queued",
    "Receivers",
    "Refused",
    "RetryBudget",
    "Router",
    "SendFailure",
    "SnapshotWriter",
    "Work",
    "prompt_prefixes",
]
