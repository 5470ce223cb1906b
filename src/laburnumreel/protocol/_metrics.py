"""The metrics of answers to callers."""

from laburnumreel.core import define_counter

REFUSALS = define_counter(
    "laburnumreel_refusals_total", "Requests refused or failed, by error kind.", ["kind"]
)
