"""Servers and connections."""

from laburnumreel.transport._admin import admin_server
from laburnumreel.transport._backend import BackEndPool
from laburnumreel.transport._call_pace import CallPace
from laburnumreel.transport._channel import READ_AT
from laburnumreel.transport._exchange import (
    Address,
    BackEndFailureError,
    Exchange,
    await_bytes,
)
from laburnumreel.transport._json_calls import CallAnswer, CallFailure, JsonCalls
from laburnumreel.transport._loads import HttpLoadReader
from laburnumreel.transport._orders import HttpOrderConnection, HttpOrderLink
from laburnumreel.transport._peer_client import PeerClient
from laburnumreel.transport._peer_server import NodeCalls, PeerServer
from laburnumreel.transport._wsgi import HttpServer

__all__ = [
    "READ_AT",
    "Address",
    "BackEndFailureError",
    "BackEndPool",
    "CallAnswer",
    "CallFailure",
    "CallPace",
    "Exchange",
    "HttpLoadReader",
    "HttpOrderConnection",
    "HttpOrderLink",
    "HttpServer",
    "JsonCalls",
    "NodeCalls",
    "PeerClient",
    "PeerServer",
    "admin_server",
    "await_bytes",
]
