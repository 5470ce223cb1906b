"""What a gateway does with a request, from its key check to its last byte."""

from laburnumreel.serving._application import Application
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._lifecycle import Body
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._registry import RequestRegistry, Running
from laburnumreel.serving._slots import Credentials, Slots
from laburnumreel.serving._watch import FleetWatch

__all__ = [
    "Application",
    "Body",
    "Credentials",
    "Dispatcher",
    "FleetWatch",
    "Parts",
    "RequestRegistry",
    "Running",
    "Slots",
]
