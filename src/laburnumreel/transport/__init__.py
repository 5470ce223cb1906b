"""Servers and connections."""

from laburnumreel.transport._orders import HttpOrderConnection, HttpOrderLink

__all__ = ["HttpOrderConnection", "HttpOrderLink"]
