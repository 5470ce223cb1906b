"""Servers and connections."""

from laburnumreel.transport._admin import admin_server
from laburnumreel.transport._backend import BackEndFailureError, BackEndPool, Exchange
from laburnumreel.transport._loads import HttpLoadReader
from laburnumreel.transport._orders import HttpOrderConnection, HttpOrderLink
from laburnumreel.transport._wsgi import HttpServer

__all__ = [
    "BackEndFailureError",
    "BackEndPool",
    "Exchange",
    "HttpLoadReader",
    "HttpOrderConnection",
    "HttpOrderLink",
    "HttpServer",
    "admin_server",
]
