"""Decisions of one node, and how nodes agree: leases, gossip, configuration and usage."""

from laburnumreel.coordination._admission import (
    Admission,
    Admitted,
    Decision,
    Offer,
    Queued,
    Refused,
)
from laburnumreel.coordination._authority import AlarmTimer, AuthorityRegistry, ProcessTimer
from laburnumreel.coordination._authorized_send import (
    AuthorizedSender,
    JsonResponse,
    OrderConnection,
    OrderLink,
    SendFailure,
)
from laburnumreel.coordination._back_ends import BackEnd, Drain, LoadReport
from laburnumreel.coordination._budget import RetryBudget
from laburnumreel.coordination._capacity_planner import ZoneCapacity, ZoneCapacityPlanner
from laburnumreel.coordination._config_sync import ConfigSync
from laburnumreel.coordination._config_write import (
    ConfigBase,
    ConfigEdits,
    WriteFailure,
    compute_edits,
    managed_entries,
    read_base,
    write_change,
    write_commuting_edits,
    write_withdrawal,
)
from laburnumreel.coordination._crash_records import (
    HOLD_S,
    BrokenRequest,
    CrashReport,
    HeldPart,
)
from laburnumreel.coordination._crash_suspects import CrashSuspects
from laburnumreel.coordination._fleet import Fleet
from laburnumreel.coordination._leaseholder import LeaseholderTask
from laburnumreel.coordination._leases import LeaseManager
from laburnumreel.coordination._limits import TokenBucket
from laburnumreel.coordination._messages import (
    ClaimState,
    DrainMark,
    ExchangeMessage,
    GossipDelegate,
    HeldPartStatus,
    NodeStatus,
    NodeUpdate,
    NullGossipDelegate,
    PeerLink,
    QuarantineEntry,
    format_address,
    parse_address,
)
from laburnumreel.coordination._order_planner import LoadReader, OrderPlanner
from laburnumreel.coordination._order_sender import (
    ORDERS_LEASE,
    OrderPlan,
    OrderReceivers,
    OrderSender,
)
from laburnumreel.coordination._peers import PeerExchange
from laburnumreel.coordination._prefixes import prompt_prefixes
from laburnumreel.coordination._quarantine import STRIKE_WINDOW_S, Quarantine
from laburnumreel.coordination._role_planner import EngineView, RoleChange, RolePlan, RolePlanner
from laburnumreel.coordination._routing import Costs, Router, RoutingChoice, RoutingRequest
from laburnumreel.coordination._sealer import USAGE_LEASE, UsageSealer
from laburnumreel.coordination._snapshots import SNAPSHOT_LEASE, SnapshotWriter
from laburnumreel.coordination._store_sync import read_configuration
from laburnumreel.coordination._usage_flush import UsageFlusher
from laburnumreel.coordination._wanted_orders import Capacity

__all__ = [
    "ORDERS_LEASE",
    "SNAPSHOT_LEASE",
    "USAGE_LEASE",
    "LeaseholderTask",
    "Admission",
    "Admitted",
    "AlarmTimer",
    "JsonResponse",
    "AuthorityRegistry",
    "BackEnd",
    "ConfigBase",
    "TokenBucket",
    "Capacity",
    "RoutingChoice",
    "ClaimState",
    "ConfigSync",
    "BrokenRequest",
    "STRIKE_WINDOW_S",
    "HOLD_S",
    "Costs",
    "CrashReport",
    "CrashSuspects",
    "Decision",
    "Drain",
    "DrainMark",
    "ConfigEdits",
    "EngineView",
    "ExchangeMessage",
    "Fleet",
    "AuthorizedSender",
    "LeaseManager",
    "LoadReader",
    "LoadReport",
    "GossipDelegate",
    "HeldPart",
    "HeldPartStatus",
    "NullGossipDelegate",
    "NodeStatus",
    "Offer",
    "OrderConnection",
    "OrderLink",
    "OrderSender",
    "PeerExchange",
    "PeerLink",
    "NodeUpdate",
    "OrderPlan",
    "OrderPlanner",
    "ProcessTimer",
    "Quarantine",
    "QuarantineEntry",
    "Queued",
    "OrderReceivers",
    "Refused",
    "RetryBudget",
    "RoleChange",
    "RolePlan",
    "RolePlanner",
    "Router",
    "UsageSealer",
    "SendFailure",
    "SnapshotWriter",
    "ZoneCapacityPlanner",
    "UsageFlusher",
    "ZoneCapacity",
    "RoutingRequest",
    "WriteFailure",
    "format_address",
    "compute_edits",
    "managed_entries",
    "parse_address",
    "prompt_prefixes",
    "read_base",
    "read_configuration",
    "write_change",
    "write_commuting_edits",
    "write_withdrawal",
]
