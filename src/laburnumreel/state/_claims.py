"""Idempotency claims: a request with an Idempotency-Key runs at most once over all gateways."""

import hashlib
import json
import threading
from collections import OrderedDict
from typing import Any, NamedTuple, Protocol

from expression import Ok, Result

from laburnumreel.state._errors import ErrorKind, Refusal, RunState
from laburnumreel.state._platform import Check, Platform, PlatformError, Row, Write

TABLE = "claim"
RUNNING, DONE, UNKNOWN = "running", "done", "unknown"
# Each round rereads a row that changed under this one. More changes than that do not occur for a
# row that goes from running to done or unknown.
MAX_ROUNDS = 4
MAX_NOT_RUN = 10_000


class StoredAnswer(NamedTuple):
    """A whole answer as it went to the first caller; for a stream, with all its events."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def to_bytes(self) -> bytes:
        head = json.dumps({"status": self.status, "headers": self.headers}).encode()
        return head + b"\n" + self.body

    @classmethod
    def from_bytes(cls, raw: bytes) -> "StoredAnswer":
        """Read what `to_bytes` wrote. Raises ValueError or KeyError on anything else."""
        head, _, body = raw.partition(b"\n")
        value = json.loads(head)
        return cls(value["status"], [(name, text) for name, text in value["headers"]], body)


class Claimed(NamedTuple):
    """This gateway may run the request. `version` is that of its row."""

    claim_key: str
    row: dict[str, Any]
    version: int


class Replay(NamedTuple):
    """The request ran to its end; this is its answer."""

    answer: StoredAnswer


class Refused(NamedTuple):
    """The request does not run here, now."""

    refusal: Refusal


class PeerClaim(NamedTuple):
    """What a claimer says: its boot, and whether it runs a request with the claim's key."""

    boot: str
    running: bool


class ClaimPeers(Protocol):
    """Asks the gateway at an address about a claim. None if it cannot be reached."""

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None: ...


class NoPeers:
    """The only gateway: no other can be asked."""

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None:
        return None


def claim_key(customer: str, key: str) -> str:
    """Return the key of a claim's row."""
    return f"{customer}:{hashlib.sha256(key.encode()).hexdigest()}"


class Claims:
    """Claims of one gateway. Request threads share an instance.

    A claim's row goes from running to done or unknown and never back, so that no second gateway
    runs the request. It is deleted only by its claimer and only where the request surely did not
    run.
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
        # Requests of this process that surely did not run, but whose row may be in the store.
        self._not_run: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """The number of claims that this gateway holds and has not ended."""
        return len(self._running)

    def is_running(self, key: str) -> bool:
        """Return whether this gateway runs a request with this claim key, for a peer."""
        return key in self._running

    def claim(
        self, customer: str, key: str, request_digest: str, request_id: str
    ) -> Claimed | Replay | Refused:
        """Claim the request before it leaves, or learn what became of it."""
        name = claim_key(customer, key)
        row = {
            "request_digest": request_digest,
            "gateway": self._gateway,
            "address": self._address,
            "boot": self._boot,
            "request_id": request_id,
            "state": RUNNING,
            "object": "",
        }
        # Before the row is written, so that a peer that sees the row finds it running.
        self._add(name, request_id)
        outcome = self._claim(name, row)
        if not isinstance(outcome, Claimed):
            self._remember_not_run(request_id)
            self._remove(name, request_id)
        return outcome

    def find(self, customer: str, key: str, request_digest: str) -> Replay | Refused | None:
        """Return what became of an earlier request with this key, without claiming it.

        A replay then needs no admission. None means that there is none, or none that is settled.
        """
        name = claim_key(customer, key)
        found = self._platform.read(TABLE, name)
        if found.is_error():
            return _unavailable()
        if found.ok is None or self._is_left_over(found.ok):
            return None
        return self._existing(name, {"request_digest": request_digest}, found.ok)

    def finish(self, claim: Claimed, answer: StoredAnswer) -> bool:
        """Store the answer for replays. False if the store did not take it; then try again.

        Where a peer has marked the claim unknown meanwhile, nothing is left to be done.
        """
        name = f"answer/{claim.claim_key}/{claim.row['request_id']}"
        if self._platform.put_object(name, answer.to_bytes()).is_error():
            return False
        return self._end(claim, {**claim.row, "state": DONE, "object": name})

    def give_up(self, claim: Claimed) -> bool:
        """Record that it is not known whether the request ran. False if it is not recorded."""
        return self._end(claim, {**claim.row, "state": UNKNOWN})

    def abandon(self, claim: Claimed) -> bool:
        """Free the key again. Only for a request that surely did not run."""
        self._remember_not_run(claim.row["request_id"])
        return self._end(claim, None)

    def forget(self, claim: Claimed) -> None:
        """Stop working on a claim whose row could not be written; peers then take it as gone."""
        self._remove(claim.claim_key, claim.row["request_id"])

    def _claim(self, name: str, row: dict[str, Any]) -> Claimed | Replay | Refused:
        for _ in range(MAX_ROUNDS):
            written = self._platform.transact([Check(TABLE, name, 0)], [Write(TABLE, name, row)])
            if written.is_ok():
                return Claimed(name, row, written.ok)
            error = written.error
            if error.kind in ("unreachable", "refused"):
                return _unavailable()
            found = self._read_back(name, error)
            if found.is_error():
                return _unavailable()
            if found.ok is None:
                # A lost write that has had no effect yet may still have one: the next round's
                # check then fails, and finds the row to be ours.
                continue
            if self._is_ours(found.ok, row):
                return Claimed(name, row, found.ok.version)
            if self._is_left_over(found.ok):
                taken = self._platform.transact(
                    [Check(TABLE, name, found.ok.version)], [Write(TABLE, name, row)]
                )
                if taken.is_ok():
                    return Claimed(name, row, taken.ok)
                continue
            outcome = self._existing(name, row, found.ok)
            if outcome is not None:
                return outcome
        return _unavailable()

    def _is_left_over(self, found: Row) -> bool:
        """Return whether a row is this process's own for a request that surely did not run."""
        value = found.value
        ours = value["gateway"] == self._gateway and value["boot"] == self._boot
        return ours and value["state"] == RUNNING and value["request_id"] in self._not_run

    def _read_back(self, name: str, error: PlatformError) -> Result[Row | None, PlatformError]:
        if error.kind == "conflict" and (TABLE, name) in error.rows:
            return Ok(error.rows[TABLE, name])
        return self._platform.read(TABLE, name)

    def _existing(self, name: str, row: dict[str, Any], found: Row) -> Replay | Refused | None:
        """Return what the row of another request means, or None to look again."""
        value = found.value
        if value["request_digest"] != row["request_digest"]:
            return Refused(Refusal(ErrorKind.IDEMPOTENCY_MISMATCH))
        if value["state"] == DONE:
            return self._replay(value["object"])
        if value["state"] == UNKNOWN:
            return _unknown()
        if self._claimer_runs(name, value):
            return Refused(Refusal(ErrorKind.IDEMPOTENCY_RUNNING))
        return None if self._mark_unknown(name, found) else _unknown()

    def _claimer_runs(self, name: str, value: dict[str, Any]) -> bool:
        if value["gateway"] == self._gateway and value["boot"] == self._boot:
            return value["request_id"] in self._running.get(name, ())
        said = self._ask(name, value)
        return said is not None and said.boot == value["boot"] and said.running

    def _ask(self, name: str, value: dict[str, Any]) -> PeerClaim | None:
        if value["address"] == self._address:
            # An earlier process has given up the address, or this one would not run.
            return PeerClaim(self._boot, False)
        return self._peers.claim_state(value["address"], name)

    def _mark_unknown(self, name: str, found: Row) -> bool:
        """Mark the row of a claimer that is gone. True if the row has changed meanwhile.

        A claimer that is merely unreachable may still finish, so its row is left as it is.
        """
        if self._ask_gone(name, found.value):
            marked = self._platform.transact(
                [Check(TABLE, name, found.version)],
                [Write(TABLE, name, {**found.value, "state": UNKNOWN})],
            )
            return marked.is_error() and marked.error.kind == "conflict"
        return False

    def _ask_gone(self, name: str, value: dict[str, Any]) -> bool:
        if value["gateway"] == self._gateway and value["boot"] == self._boot:
            return value["request_id"] not in self._running.get(name, ())
        said = self._ask(name, value)
        return said is not None and not (said.boot == value["boot"] and said.running)

    def _replay(self, name: str) -> Replay | Refused:
        stored = self._platform.get_object(name)
        if stored.is_error():
            return _unavailable()
        if stored.ok is None:
            return _unknown()
        return Replay(StoredAnswer.from_bytes(stored.ok))

    def _end(self, claim: Claimed, value: dict[str, Any] | None) -> bool:
        checks = [Check(TABLE, claim.claim_key, claim.version)]
        written = self._platform.transact(checks, [Write(TABLE, claim.claim_key, value)])
        ended = written.is_ok() or self._ended(claim, value, written.error)
        if ended:
            self.forget(claim)
        return ended

    def _ended(self, claim: Claimed, value: dict[str, Any] | None, error: PlatformError) -> bool:
        if error.kind == "conflict":
            # A peer took this gateway as gone. The row says unknown and stays so.
            return True
        if error.kind != "lost":
            return False
        found = self._platform.read(TABLE, claim.claim_key)
        if found.is_error():
            return False
        row = found.ok
        return row is None if value is None else row is not None and row.value == value

    def _is_ours(self, found: Row, row: dict[str, Any]) -> bool:
        names = ("gateway", "boot", "request_id")
        return all(found.value[name] == row[name] for name in names)

    def _remember_not_run(self, request_id: str) -> None:
        with self._lock:
            self._not_run[request_id] = None
            while len(self._not_run) > MAX_NOT_RUN:
                self._not_run.popitem(last=False)

    def _add(self, name: str, request_id: str) -> None:
        with self._lock:
            self._running.setdefault(name, set()).add(request_id)

    def _remove(self, name: str, request_id: str) -> None:
        with self._lock:
            requests = self._running.get(name, set())
            requests.discard(request_id)
            if not requests:
                self._running.pop(name, None)


def _unavailable() -> Refused:
    return Refused(Refusal(ErrorKind.STORE_UNAVAILABLE))


def _unknown() -> Refused:
    return Refused(Refusal(ErrorKind.IDEMPOTENCY_UNKNOWN, run_state=RunState.UNKNOWN))
