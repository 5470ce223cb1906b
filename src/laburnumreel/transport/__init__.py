"""Servers and connections."""

from laburnumreel.transport._peer_client import PeerClient
from laburnumreel.transport._peer_server import NodeCalls, PeerServer

__all__ = ["NodeCalls", "PeerClient", "PeerServer"]
