"""Logging of the placement of a request."""

import math
from typing import Any

from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._events import REQUEST_PLACED
from laburnumreel.relay._job import Job

_log = Log("relay.placed")


def log_placement(job: Job, assignment: Assignment) -> None:
    """Log the backend servers assigned to a request and the figures behind the choice."""
    list_age_s = job.deps.list_age_s()
    _log.info(
        REQUEST_PLACED,
        request=job.request.request_id,
        service=job.service.name,
        route=job.route.name,
        back_end=assignment.runner.name,
        candidates=assignment.candidates,
        # The first listing is applied before its time is recorded.
        list_age_ms=round(1000 * list_age_s) if math.isfinite(list_age_s) else None,
        news_age_ms=round(1000 * assignment.update_age_s),
        config_version=job.config_version,
        waited_ms=round(1000 * job.elapsed_s),
        sends=job.sends,
        **_engine_fields(job, assignment),
    )


def _engine_fields(job: Job, assignment: Assignment) -> dict[str, Any]:
    """Return the fields that are logged for engines only."""
    plan, prompt = assignment.plan, job.request.prompt
    if job.service.engine is None:
        return {}
    return {
        "software": assignment.runner.software,
        "resumes": job.request.resumes,
        "resume_after": job.request.resume_after,
        "reader": assignment.reader.name if assignment.reader else None,
        "read_tokens": plan.read_tokens if plan else None,
        "input_tokens": prompt.input_tokens,
        "start": prompt.shared[-1].name if prompt.shared else None,
        "expected_ms": round(plan.first_token_ms) if plan else None,
        "cost_ms": round(plan.cost_ms) if plan else None,
        "ahead_tokens": assignment.ahead_tokens,
        "streams": plan.generator.work.streams if plan else None,
    }
