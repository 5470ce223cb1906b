"""Decisions and agreement between nodes."""

from laburnumreel.coordination._authority import AlarmTimer, AuthorityBoard, ProcessTimer
from laburnumreel.coordination._guarded_send import (
    Answer,
    GuardedSender,
    OrderConnection,
    OrderLink,
    SendFailure,
)
from laburnumreel.coordination._leases import LeaseKeeper
from laburnumreel.coordination._orders import ORDERS_LEASE, OrderSender, Plan, Receivers

__all__ = [
    "ORDERS_LEASE",
    "AlarmTimer",
    "Answer",
    "AuthorityBoard",
    "GuardedSender",
    "LeaseKeeper",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "Plan",
    "ProcessTimer",
    "Receivers",
    "SendFailure",
]
