"""Prompts that one engine reads for another: reading, and releasing a copy that is not used."""

import http.client

from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import COPY_RELEASED, PROMPT_READ
from laburnumreel.relay._failover import Failover
from laburnumreel.relay._job import Job
from laburnumreel.relay._requests import Dispatch, PromptCopy, SelfReport
from laburnumreel.relay._send_failures import SendFailedError
from laburnumreel.transport import BackEndFailureError, Exchange

RELEASE_TIMEOUT_S = 1.0
# Maximum size of the answers to a read and to a release.
MAX_HANDLE_BYTES = 64 * 1024

_log = Log("relay.prompt_copies")


def read_prompt_at_reader(
    job: Job,
    assignment: Assignment,
    silent_s: float,
    failover: Failover,
    exchange: Exchange | None,
) -> PromptCopy:
    """Have a prompt read by the reader of an assignment and return its copy.

    After `silent_s` seconds without an answer, another engine is searched for. `exchange`, if
    given, uses a connection that is already held. Raises `SendFailedError` if the prompt was not
    read.
    """
    deps, reader = job.deps, assignment.reader
    dispatch = Dispatch(
        job.request,
        reader,
        job.customer,
        job.remaining_s,
        priority=job.engine_priority,
        only_read=True,
        is_limited=assignment.is_limited,
    )
    started = deps.clock.now()
    try:
        with Attempt(job, dispatch, failover, exchange) as attempt:
            verdict = attempt.send(silent_s)
            body = attempt.read_all(MAX_HANDLE_BYTES)
            status = attempt.exchange.status
            if verdict.outcome != "success":
                raise SendFailedError("lost", f"reading was answered {status}", False)
    except BaseException as error:
        deps.dispatcher.on_work_ended(reader.name, assignment.read_work, job.service.name)
        if isinstance(error, SendFailedError) and error.cause != "unreachable":
            job.count_prompt_read(dispatch, is_accepted=False)
        raise
    job.count_prompt_read(dispatch, is_accepted=True)
    took_ms = 1000 * (deps.clock.now() - started)
    deps.dispatcher.on_prompt_read(assignment, job.request.prompt, took_ms)
    _log.debug(
        PROMPT_READ,
        request=job.request.request_id,
        back_end=reader.name,
        took_ms=round(took_ms, 1),
    )
    copy = deps.wire.prompt_copy(reader.address, body)
    if copy.is_error():
        raise SendFailedError("not_genuine", copy.error, False)
    return copy.ok


def release_copy(job: Job, copy: PromptCopy, reader: ListedBackEnd, error: BaseException) -> None:
    """Release a copy that will not be used, so that its engine can free the memory."""
    deps = job.deps
    method, path = deps.wire.release_request(copy)
    _log.info(COPY_RELEASED, request=job.request.request_id, cause=str(error)[:200])
    # Without a release, the engine frees the copy itself after the keep time.
    if not deps.dispatcher.acquire_call_permit(reader):
        return
    try:
        exchange = deps.pool.open(copy.address)
        try:
            exchange.send(method, path, {}, None, RELEASE_TIMEOUT_S)
            self_report = deps.wire.self_report(exchange.status, exchange.header_map, reader.name)
            if not exchange.is_only_request:
                # A release has no request id, so the answer may belong to an earlier request. Of an
                # old report, only `leaving` stays true.
                self_report = SelfReport(leaving=self_report.leaving)
            deps.dispatcher.on_self_report(reader, self_report)
            exchange.read_whole(MAX_HANDLE_BYTES, RELEASE_TIMEOUT_S)
        finally:
            exchange.close()
    except (BackEndFailureError, http.client.HTTPException) as failure:
        _log.debug(COPY_RELEASED, cause=str(failure))
