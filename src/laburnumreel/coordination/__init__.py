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
from laburnumreel.coordination._planning import LoadReader, Planner
from laburnumreel.coordination._snapshots import SNAPSHOT_LEASE, SnapshotWriter
from laburnumreel.coordination._wanted import Capacity, EngineReport

__all__ = [
    "ORDERS_LEASE",
    "SNAPSHOT_LEASE",
    "AlarmTimer",
    "Answer",
    "AuthorityBoard",
    "Capacity",
    "EngineReport",
    "GuardedSender",
    "LeaseKeeper",
    "LoadReader",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "Plan",
    "Planner",
    "ProcessTimer",
    "Receivers",
    "SendFailure",
    "SnapshotWriter",
]
