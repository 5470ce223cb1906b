"""Idempotency claims: a request with an Idempotency-Key runs at most once across all gateways."""

import hashlib
import json
import threading
from collections import OrderedDict
from typing import Any, NamedTuple, Protocol

from expression import Ok, Result

from laburnumreel.state._errors import ErrorKind, Refusal, RunState
from laburnumreel.state._platform import Check, Platform, PlatformError, Row, Write

CLAIM_TABLE = "claim"
RUNNING, DONE, UNKNOWN = "running", "done", "unknown"
# Each round rereads a row that changed after the previous read. A row only goes from running to
# done or unknown, so it cannot change more often than this.
MAX_ROUNDS = 4
MAX_REMEMBERED_NOT_RUN = 10_000


class StoredAnswer(NamedTuple):
    """The complete response sent to the first caller; for a stream, including all its events."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def to_bytes(self) -> bytes:
        head = json.dumps({"status": self.status, "headers": self.headers}).encode()
        return head + b"\n" + self.body

    @classmethod
    def from_bytes(cls, raw: bytes) -> "StoredAnswer":
        """Decode the output of `to_bytes`. Raises ValueError or KeyError for anything else."""
        head, _, body = raw.partition(b"\n")
        value = json.loads(head)
        return cls(
            value["status"], [(header_name, text) for header_name, text in value["headers"]], body
        )


class Claimed(NamedTuple):
    """The gateway holds the claim and may run the request. `version` is the version of its row."""

    claim_key: str
    row: dict[str, Any]
    version: int


class Replay(NamedTuple):
    """The request has completed; `answer` is its stored response."""

    answer: StoredAnswer


class ClaimRefused(NamedTuple):
    """The request must not run on this gateway now."""

    refusal: Refusal


class PeerClaim(NamedTuple):
    """A claimer's reply: its boot id and whether it is running a request with the claim's key."""

    boot: str
    running: bool


class ClaimPeers(Protocol):
    """Queries other gateways about their claims.

    `claim_state` returns None if the gateway at `address` cannot be reached.
    """

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None: ...


class NoPeers:
    """The `ClaimPeers` of a gateway without peers: every query returns None."""

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None:
        return None


def claim_row_key(customer: str, key: str) -> str:
    """Return the row key of a claim. The idempotency key is hashed with SHA-256."""
    return f"{customer}:{hashlib.sha256(key.encode()).hexdigest()}"


class Claims:
    """The claims of one gateway. Thread-safe: request threads share an instance.

    The state of a claim's row only changes from running to done or unknown and never back, so that
    no second gateway runs the request. Only the claimer deletes the row, and only if the request
    certainly did not run.
    """

    def __init__(
        self,
        platform: Platform,
        gateway: str,
        boot: str,
        address: str = "",
        peers: ClaimPeers | None = None,
    ) -> None:
        self._platform = platform
        self._gateway = gateway
        self._boot = boot
        self._address = address
        self._peers: ClaimPeers = peers or NoPeers()
        self._lock = threading.Lock()
        self._running: dict[str, set[str]] = {}
        # Requests of this process that did not run but whose row may still be in the store.
        self._not_run: OrderedDict[str, None] = OrderedDict()

    @property
    def running_count(self) -> int:
        """The number of claim keys with a request that this gateway has not finished."""
        return len(self._running)

    def is_running(self, key: str) -> bool:
        """Return whether this gateway is running a request with this claim key, for a peer."""
        return key in self._running

    def claim(
        self, customer: str, key: str, request_digest: str, request_id: str
    ) -> Claimed | Replay | ClaimRefused:
        """Claim the request before it is sent to a back end, or return why it must not run here.

        Returns a `Replay` if a request with this key has completed, else a `ClaimRefused`.
        """
        row_key = claim_row_key(customer, key)
        row = {
            "request_digest": request_digest,
            "gateway": self._gateway,
            "address": self._address,
            "boot": self._boot,
            "request_id": request_id,
            "state": RUNNING,
            "object": "",
        }
        # Registered before the row is written: a peer that reads the row asks if it is running.
        self._add_running(row_key, request_id)
        outcome = self._claim(row_key, row)
        if not isinstance(outcome, Claimed):
            self._remember_not_run(request_id)
            self._remove_running(row_key, request_id)
        return outcome

    def find(self, customer: str, key: str, request_digest: str) -> Replay | ClaimRefused | None:
        """Return the outcome of an earlier request with this key without claiming it.

        A replay found this way needs no admission. Returns None if there is no earlier request or
        if its outcome is not settled yet.
        """
        row_key = claim_row_key(customer, key)
        found = self._platform.read(CLAIM_TABLE, row_key)
        if found.is_error():
            return _refuse_unavailable()
        if found.ok is None or self._is_own_not_run(found.ok):
            return None
        return self._outcome_of_row(row_key, {"request_digest": request_digest}, found.ok)

    def finish(self, claim: Claimed, answer: StoredAnswer) -> bool:
        """Store the response for replays. Return False if the write failed and must be retried.

        Returns True as well if a peer has marked the claim unknown in the meantime: the row is
        final then.
        """
        object_name = f"answer/{claim.claim_key}/{claim.row['request_id']}"
        if self._platform.put_object(object_name, answer.to_bytes()).is_error():
            return False
        return self._write_outcome(claim, {**claim.row, "state": DONE, "object": object_name})

    def record_unknown(self, claim: Claimed) -> bool:
        """Record that it is unknown whether the request ran. Return False if the write failed."""
        return self._write_outcome(claim, {**claim.row, "state": UNKNOWN})

    def release(self, claim: Claimed) -> bool:
        """Delete the claim's row so that the key can be claimed again.

        Only for a request that certainly did not run. Return False if the write failed.
        """
        self._remember_not_run(claim.row["request_id"])
        return self._write_outcome(claim, None)

    def forget(self, claim: Claimed) -> None:
        """Drop a claim whose row could not be written; peers then treat its claimer as gone."""
        self._remove_running(claim.claim_key, claim.row["request_id"])

    def _claim(self, row_key: str, row: dict[str, Any]) -> Claimed | Replay | ClaimRefused:
        for _ in range(MAX_ROUNDS):
            written = self._platform.transact(
                [Check(CLAIM_TABLE, row_key, 0)], [Write(CLAIM_TABLE, row_key, row)]
            )
            if written.is_ok():
                return Claimed(row_key, row, written.ok)
            error = written.error
            if error.kind in ("unreachable", "refused"):
                return _refuse_unavailable()
            found = self._read_back(row_key, error)
            if found.is_error():
                return _refuse_unavailable()
            if found.ok is None:
                # A write whose response was lost may still take effect later. The check of the next
                # round then fails, and its read finds this request's own row.
                continue
            if self._is_same_request(found.ok, row):
                return Claimed(row_key, row, found.ok.version)
            if self._is_own_not_run(found.ok):
                replaced = self._platform.transact(
                    [Check(CLAIM_TABLE, row_key, found.ok.version)],
                    [Write(CLAIM_TABLE, row_key, row)],
                )
                if replaced.is_ok():
                    return Claimed(row_key, row, replaced.ok)
                continue
            outcome = self._outcome_of_row(row_key, row, found.ok)
            if outcome is not None:
                return outcome
        return _refuse_unavailable()

    def _is_own_not_run(self, found: Row) -> bool:
        """Return whether a row was written by this process for a request that did not run."""
        value = found.value
        is_own = value["gateway"] == self._gateway and value["boot"] == self._boot
        return is_own and value["state"] == RUNNING and value["request_id"] in self._not_run

    def _read_back(self, row_key: str, error: PlatformError) -> Result[Row | None, PlatformError]:
        if error.kind == "conflict" and (CLAIM_TABLE, row_key) in error.rows:
            return Ok(error.rows[CLAIM_TABLE, row_key])
        return self._platform.read(CLAIM_TABLE, row_key)

    def _outcome_of_row(
        self, row_key: str, row: dict[str, Any], found: Row
    ) -> Replay | ClaimRefused | None:
        """Return the outcome that another request's row implies, or None if it must be reread."""
        value = found.value
        if value["request_digest"] != row["request_digest"]:
            return ClaimRefused(Refusal(ErrorKind.IDEMPOTENCY_MISMATCH))
        if value["state"] == DONE:
            return self._replay(value["object"])
        if value["state"] == UNKNOWN:
            return _refuse_unknown()
        if self._is_claimer_running(row_key, value):
            return ClaimRefused(Refusal(ErrorKind.IDEMPOTENCY_RUNNING))
        return None if self._mark_unknown(row_key, found) else _refuse_unknown()

    def _is_claimer_running(self, row_key: str, value: dict[str, Any]) -> bool:
        if value["gateway"] == self._gateway and value["boot"] == self._boot:
            return value["request_id"] in self._running.get(row_key, ())
        peer_claim = self._ask_claimer(row_key, value)
        return peer_claim is not None and peer_claim.boot == value["boot"] and peer_claim.running

    def _ask_claimer(self, row_key: str, value: dict[str, Any]) -> PeerClaim | None:
        if value["address"] == self._address:
            # The claimer was an earlier process; it has ended, as this one has bound its address.
            return PeerClaim(self._boot, False)
        return self._peers.claim_state(value["address"], row_key)

    def _mark_unknown(self, row_key: str, found: Row) -> bool:
        """Mark the row unknown if its claimer is gone. Return True if the row changed meanwhile.

        The row of a claimer that is only unreachable is not changed, because the request may still
        finish there.
        """
        if self._is_claimer_gone(row_key, found.value):
            marked = self._platform.transact(
                [Check(CLAIM_TABLE, row_key, found.version)],
                [Write(CLAIM_TABLE, row_key, {**found.value, "state": UNKNOWN})],
            )
            return marked.is_error() and marked.error.kind == "conflict"
        return False

    def _is_claimer_gone(self, row_key: str, value: dict[str, Any]) -> bool:
        if value["gateway"] == self._gateway and value["boot"] == self._boot:
            return value["request_id"] not in self._running.get(row_key, ())
        peer_claim = self._ask_claimer(row_key, value)
        return peer_claim is not None and not (
            peer_claim.boot == value["boot"] and peer_claim.running
        )

    def _replay(self, object_name: str) -> Replay | ClaimRefused:
        stored = self._platform.get_object(object_name)
        if stored.is_error():
            return _refuse_unavailable()
        if stored.ok is None:
            return _refuse_unknown()
        return Replay(StoredAnswer.from_bytes(stored.ok))

    def _write_outcome(self, claim: Claimed, value: dict[str, Any] | None) -> bool:
        checks = [Check(CLAIM_TABLE, claim.claim_key, claim.version)]
        written = self._platform.transact(checks, [Write(CLAIM_TABLE, claim.claim_key, value)])
        ended = written.is_ok() or self._is_outcome_recorded(claim, value, written.error)
        if ended:
            self.forget(claim)
        return ended

    def _is_outcome_recorded(
        self, claim: Claimed, value: dict[str, Any] | None, error: PlatformError
    ) -> bool:
        if error.kind == "conflict":
            # A peer considered this gateway gone and marked the row unknown, which is final.
            return True
        if error.kind != "lost":
            return False
        found = self._platform.read(CLAIM_TABLE, claim.claim_key)
        if found.is_error():
            return False
        row = found.ok
        return row is None if value is None else row is not None and row.value == value

    def _is_same_request(self, found: Row, row: dict[str, Any]) -> bool:
        fields = ("gateway", "boot", "request_id")
        return all(found.value[field] == row[field] for field in fields)

    def _remember_not_run(self, request_id: str) -> None:
        with self._lock:
            self._not_run[request_id] = None
            while len(self._not_run) > MAX_REMEMBERED_NOT_RUN:
                self._not_run.popitem(last=False)

    def _add_running(self, row_key: str, request_id: str) -> None:
        with self._lock:
            self._running.setdefault(row_key, set()).add(request_id)

    def _remove_running(self, row_key: str, request_id: str) -> None:
        with self._lock:
            requests = self._running.get(row_key, set())
            requests.discard(request_id)
            if not requests:
                self._running.pop(row_key, None)


def _refuse_unavailable() -> ClaimRefused:
    return ClaimRefused(Refusal(ErrorKind.STORE_UNAVAILABLE))


def _refuse_unknown() -> ClaimRefused:
    return ClaimRefused(Refusal(ErrorKind.IDEMPOTENCY_UNKNOWN, run_state=RunState.UNKNOWN))
