"""Decisions and agreement between nodes."""

from laburnumreel.coordination._admission import (
    Admission,
    Admitted,
    Decision,
    Offer,
    Queued,
    Refused,
)
from laburnumreel.coordination._budget import RetryBudget
from laburnumreel.coordination._fleet import BackEnd, Drain, Fleet, LoadReport
from laburnumreel.coordination._prefixes import prompt_prefixes
from laburnumreel.coordination._routing import Choice, Costs, Router, Work

__all__ = [
    "Admission",
    "Admitted",
    "BackEnd",
    "Choice",
    "Costs",
    "Decision",
    "Drain",
    "Fleet",
    "LoadReport",
    "Offer",
    "Queued",
    "Refused",
    "RetryBudget",
    "Router",
    "Work",
    "prompt_prefixes",
]
