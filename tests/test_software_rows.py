"""Tests of the stored versions of services, for hosts that all start at once."""

from concurrent.futures import Future

from expression import Error, Ok

from laburnumreel.relay._software_rows import RETRY_S, SOFTWARE_TABLE, TICK_S, SoftwareRows
from laburnumreel.state import Page, PlatformError, Row


class StubStore:
    """A table of rows that counts its calls. While `is_down`, all calls fail."""

    def __init__(self, **rows):
        self.rows = {
            key: Row(key, value, number + 1) for number, (key, value) in enumerate(rows.items())
        }
        self.version = len(rows)
        self.calls = []
        self.is_down = False

    def scan(self, table, prefix="", after="", limit=500):
        assert table == SOFTWARE_TABLE
        self.calls.append("read")
        if self.is_down:
            return Error(PlatformError("unreachable"))
        return Ok(Page(list(self.rows.values()), False))

    def transact(self, checks, writes):
        self.calls.append("write")
        if self.is_down:
            return Error(PlatformError("lost"))
        for check in checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return Error(PlatformError("conflict"))
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, write.value, self.version)
        return Ok(self.version)


class StubDirectory:
    """What a host knows of versions, and what it was told from the store."""

    def __init__(self, **versions):
        self.known = {service: frozenset(each) for service, each in versions.items()}
        self.stored = []

    def on_stored(self, stored):
        self.stored.append({service: set(versions) for service, versions in stored.items()})

    def versions(self):
        future = Future()
        future.set_result(self.known)
        return future


class Setup:
    def __init__(self, store, directory, fence=1):
        self.store, self.directory, self.fence, self.era = store, directory, fence, 0
        self.task = SoftwareRows(store, directory, lambda: self.fence, lambda: self.era)

    def run(self, seconds=2 * TICK_S):
        for _ in range(round(seconds / TICK_S)):
            self.task.tick()

    def value(self, service):
        return self.store.rows[service].value


def test_host_that_starts_is_told_what_served_before():
    setup = Setup(StubStore(quotes={"versions": ["v1", "v2"]}), StubDirectory(), fence=0)
    setup.run(10)
    assert setup.directory.stored == [{"quotes": {"v1", "v2"}}]
    assert setup.store.calls == ["read"]


def test_holder_of_the_duties_writes_changes_only():
    setup = Setup(StubStore(), StubDirectory(quotes={"v1"}))
    setup.run(10)
    assert setup.value("quotes") == {"versions": ["v1"], "has_unknown": False}
    assert setup.store.calls == ["read", "write"]
    setup.directory.known = {"quotes": frozenset({"v1", "v2", ""})}
    setup.run()
    assert setup.value("quotes") == {"versions": ["v1", "v2"], "has_unknown": True}
    setup.directory.known = {"quotes": frozenset({"v2"})}
    setup.run()
    assert setup.value("quotes")["versions"] == ["v2"]
    assert setup.store.calls.count("write") == 3


def test_other_hosts_write_nothing():
    setup = Setup(StubStore(), StubDirectory(quotes={"v1"}), fence=0)
    setup.run(10)
    assert setup.store.calls == ["read"]


def test_unknown_version_is_read_back():
    setup = Setup(StubStore(quotes={"versions": ["v1"], "has_unknown": True}), StubDirectory())
    setup.run()
    assert setup.directory.stored == [{"quotes": {"v1", ""}}]


def test_malformed_row_names_nothing_and_is_written_again():
    setup = Setup(StubStore(quotes={"versions": 7}, other={"versions": ["v3"]}), StubDirectory())
    setup.run()
    assert setup.directory.stored == [{"other": {"v3"}}]
    setup.directory.known = {"quotes": frozenset({"v1"})}
    setup.run()
    assert setup.value("quotes")["versions"] == ["v1"]


def test_rows_are_read_again_after_a_conflict():
    setup = Setup(StubStore(quotes={"versions": ["v1"]}), StubDirectory())
    setup.run()
    setup.store.rows["quotes"] = Row("quotes", {"versions": ["v1", "v2"]}, 9)
    setup.directory.known = {"quotes": frozenset({"v3"})}
    setup.run(2 * RETRY_S + 4 * TICK_S)
    assert setup.directory.stored[-1] == {"quotes": {"v1", "v2"}}
    assert setup.value("quotes")["versions"] == ["v3"]


def test_store_that_is_away_is_asked_again():
    setup = Setup(StubStore(quotes={"versions": ["v1"]}), StubDirectory(), fence=0)
    setup.store.is_down = True
    setup.run(2 * RETRY_S)
    assert 1 <= setup.store.calls.count("read") <= 3 and not setup.directory.stored
    setup.store.is_down = False
    setup.run(RETRY_S + TICK_S)
    assert setup.directory.stored == [{"quotes": {"v1"}}]


def test_rows_are_read_again_in_a_new_era_of_the_store():
    setup = Setup(StubStore(quotes={"versions": ["v1"]}), StubDirectory(), fence=0)
    setup.run()
    setup.era = 1
    setup.run()
    assert len(setup.directory.stored) == 2
