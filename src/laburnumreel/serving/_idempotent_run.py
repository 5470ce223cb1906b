"""Requests with an Idempotency-Key: the claim before a run and the stored answer after it."""

import io
import time
from collections.abc import Callable

from laburnumreel.core import Log
from laburnumreel.protocol import MAX_STORED_BYTES, Answer, replay_answer
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._events import ANSWER_DROPPED, ANSWER_NOT_STORED
from laburnumreel.serving._job import RequestFailedError
from laburnumreel.serving._metrics import REPLAYS
from laburnumreel.state import Claimed, ClaimRefused, Refusal, Replay, RunState, StoredAnswer

# Interval and maximum time of the retries when an answer cannot be written to the store. They run
# in the background: the caller does not wait for them.
STORE_RETRY_INTERVAL_S = 0.5
MAX_STORE_RETRY_S = 60.0

_log = Log("serving.keyed")


class IdempotentRun:
    """A claimed request and its answer, which is buffered until it is stored."""

    def __init__(self, deps: GatewayDependencies, claim: Claimed) -> None:
        self._deps = deps
        self._claim = claim
        # Pieces may be as short as one byte; a list of them would take many times the memory.
        self._body = io.BytesIO()
        self._size = 0
        self._held = deps.answer_memory.open()
        self._has_ended = False

    def append(self, piece: bytes) -> None:
        """Buffer a piece of the answer that is sent to the caller.

        Nothing is buffered any more once the answer exceeds `MAX_STORED_BYTES`, or the memory for
        answers that are to be stored is full.
        """
        if self._body.closed:
            return
        self._size += len(piece)
        if self._size <= MAX_STORED_BYTES and self._held.hold(self._size, wait_s=0.0):
            self._body.write(piece)
            return
        _log.warning(ANSWER_DROPPED, claim=self._claim.claim_key, bytes=self._size)
        self._drop()

    def finish(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Store the buffered answer, before its last piece is sent to the caller.

        The outcome of an answer that is too large to store is recorded as unknown.
        """
        if self._body.closed:
            self._mark_unknown()
            return
        answer = StoredAnswer(status, headers, self._body.getvalue())
        self._write_once(lambda: self._deps.claims.finish(self._claim, answer))

    def fail(self, refusal: Refusal) -> None:
        """Release the key if the request did not run, else record the outcome as unknown."""
        if refusal.state == RunState.NOT_RUN:
            self._write_once(lambda: self._deps.claims.release(self._claim))
        else:
            self._mark_unknown()

    def close(self) -> None:
        """Record the outcome as unknown unless it was recorded before."""
        if not self._has_ended:
            self._mark_unknown()

    def _mark_unknown(self) -> None:
        if not self._has_ended:
            self._drop()
        self._write_once(lambda: self._deps.claims.record_unknown(self._claim))

    def _write_once(self, write: Callable[[], bool]) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        if write():
            self._drop()
        else:
            self._deps.background.submit(self._retry_write, write)

    def _drop(self) -> None:
        """Drop the buffered answer."""
        self._body.close()
        self._held.release()

    def _retry_write(self, write: Callable[[], bool]) -> None:
        try:
            self._retry_until_written(write)
        finally:
            self._drop()

    def _retry_until_written(self, write: Callable[[], bool]) -> None:
        give_up_at = time.monotonic() + MAX_STORE_RETRY_S
        while time.monotonic() < give_up_at:
            time.sleep(STORE_RETRY_INTERVAL_S)
            if write():
                return
        _log.error(ANSWER_NOT_STORED, claim=self._claim.claim_key)
        self._deps.claims.forget(self._claim)


def find_stored_answer(
    deps: GatewayDependencies, customer: str, key: str, digest: str
) -> Answer | None:
    """Return the stored answer of an earlier request with this key, or None if there is none."""
    outcome = deps.claims.find(customer, key, digest)
    return None if outcome is None else _to_answer(outcome)


def claim_request(
    deps: GatewayDependencies, customer: str, key: str, digest: str, request_id: str
) -> IdempotentRun | Answer:
    """Claim a request, or return the stored answer of its first run."""
    outcome = deps.claims.claim(customer, key, digest, request_id)
    return IdempotentRun(deps, outcome) if isinstance(outcome, Claimed) else _to_answer(outcome)


def _to_answer(outcome: Replay | ClaimRefused) -> Answer:
    if isinstance(outcome, ClaimRefused):
        raise RequestFailedError(outcome.refusal)
    REPLAYS.inc()
    return replay_answer(outcome.answer)
