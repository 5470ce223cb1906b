"""Stand-ins for the platform, model engines and plain services, for tests and benchmarks."""

from laburnumreel_standins._faults import Fault, Faults
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import OrderReceipt, PlatformState, UsageReceipt

__all__ = [
    "Fault",
    "Faults",
    "MemoryPlatform",
    "OrderReceipt",
    "PlatformState",
    "UsageReceipt",
]
