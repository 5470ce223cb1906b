"""The request path of a gateway, from the key check to the last byte of the answer."""

from laburnumreel.serving._application import Application
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._fleet_poller import FleetPoller
from laburnumreel.serving._lifecycle import ResponseBody
from laburnumreel.serving._metrics import STORED_ANSWER_BYTES
from laburnumreel.serving._registry import RequestRegistry, RunningRequest
from laburnumreel.serving._slots import AdmissionSlots, Credentials

__all__ = [
    "STORED_ANSWER_BYTES",
    "Application",
    "ResponseBody",
    "Credentials",
    "Dispatcher",
    "FleetPoller",
    "GatewayDependencies",
    "RequestRegistry",
    "RunningRequest",
    "AdmissionSlots",
]
