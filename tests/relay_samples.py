"""Back ends, routes and prompts shared by the tests of the relay."""

from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._config import (
    EngineTraits,
    Route,
    RouteKind,
    Share,
)
from laburnumreel.relay._cost_model import Candidate, Location
from laburnumreel.relay._requests import Prompt, PromptPart
from laburnumreel.relay._work import Work

HERE = Location("zone-a", "region-a")
TRAITS = EngineTraits(48, 444_000, 131_072, 2e11, 5.0, 3.0)


def route(prefix, service="orders", **fields):
    values = {
        "name": prefix,
        "host": "shop.example",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "shares": (Share(service, 1),),
        "timeout_s": 3.0,
        "objective_s": 0.3,
        "gap_s": 0.0,
        "priority": 1,
        "attempts": 2,
        "public": False,
        "resumable": False,
    }
    return Route(**{**values, **fields})


def listed(name, zone="zone-a", role=None, slots=6, **fields):
    return ListedBackEnd(name, "orders", ("10.0.0.1", 80), zone, slots, role=role, **fields)


def candidate(name, zone="zone-a", role=None, region="region-a", work=None, **fields):
    slots = fields.pop("slots", 48)
    return Candidate(listed(name, zone, role, slots), region, work or Work(), **fields)


def prompt(*shared, own=100):
    parts = tuple(PromptPart(name, tokens) for name, tokens in shared)
    return Prompt(
        "m", (*parts, PromptPart("own", own)), own + sum(part.tokens for part in parts), 50
    )
