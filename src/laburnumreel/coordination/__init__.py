"""Decisions and agreement between nodes."""

from laburnumreel.coordination._authority import AlarmTimer, AuthorityBoard, ProcessTimer
from laburnumreel.coordination._leases import LeaseKeeper

__all__ = ["AlarmTimer", "AuthorityBoard", "LeaseKeeper", "ProcessTimer"]
