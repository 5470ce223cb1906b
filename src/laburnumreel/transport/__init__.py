"""HTTP and thrift servers, and the connections to callers, back ends, peers and the store."""

from laburnumreel.transport._admin import create_admin_server, create_internal_server
from laburnumreel.transport._answer_work import CostlyAnswerError, EventAllowance
from laburnumreel.transport._back_end_pool import BackEndPool
from laburnumreel.transport._call_rate import CallRateLimiter
from laburnumreel.transport._channel import READ_AT_KEY, REFUSAL_KEY
from laburnumreel.transport._exchange import (
    Address,
    BackEndFailureError,
    Exchange,
    await_bytes,
)
from laburnumreel.transport._json_calls import CallAnswer, CallFailure, JsonCalls, KeptConnections
from laburnumreel.transport._load_reader import HttpLoadReader
from laburnumreel.transport._metrics import REQUEST_BYTES
from laburnumreel.transport._orders import HttpOrderConnection, HttpOrderLink
from laburnumreel.transport._peer_client import PeerClient
from laburnumreel.transport._peer_server import NodeInfoProvider, PeerServer
from laburnumreel.transport._wsgi import HttpServer

__all__ = [
    "READ_AT_KEY",
    "REFUSAL_KEY",
    "REQUEST_BYTES",
    "Address",
    "BackEndFailureError",
    "BackEndPool",
    "CallAnswer",
    "CallFailure",
    "CallRateLimiter",
    "CostlyAnswerError",
    "EventAllowance",
    "Exchange",
    "HttpLoadReader",
    "HttpOrderConnection",
    "HttpOrderLink",
    "HttpServer",
    "JsonCalls",
    "KeptConnections",
    "NodeInfoProvider",
    "PeerClient",
    "PeerServer",
    "create_admin_server",
    "create_internal_server",
    "await_bytes",
]
