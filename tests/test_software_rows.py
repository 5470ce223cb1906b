"""Tests of the stored versions of services, for hosts that all start at once."""

from concurrent.futures import Future

from expression import Error, Ok

from laburnumreel.relay._software_history import SoftwareHistory
from laburnumreel.relay._software_rows import (
    MAX_REREADS,
    RETRY_S,
    SOFTWARE_TABLE,
    TICK_S,
    SoftwareRows,
)
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
        self.stored, self.restored = [], []

    def on_stored(self, stored):
        self.stored.append({service: set(versions) for service, versions in stored.items()})

    def on_restored(self, stored):
        self.restored.append({service: set(versions) for service, versions in stored.items()})

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


class TestRestoredStore:
    """Guards against streams of two versions after the store came back from an older copy.

    A host that started after the restore read that a service has one version, although a second one
    had come since the copy was made, and let streams of both go on at the first one.
    """

    def test_rows_of_an_earlier_era_do_not_name_all_versions(self):
        setup = Setup(StubStore(quotes={"versions": ["v1"]}), StubDirectory(), fence=0)
        setup.era = 1
        setup.run()
        assert setup.directory.stored == [{}]
        assert setup.directory.restored == [{"quotes": {"v1"}}]

    def test_holder_writes_all_rows_again_in_a_new_era(self):
        setup = Setup(StubStore(), StubDirectory(quotes={"v1"}))
        setup.run(4 * TICK_S)
        setup.era = 1
        setup.run(10)
        assert setup.value("quotes")["era"] == 1
        assert setup.store.calls == ["read", "write", "read", "write"]

    def test_host_that_starts_reads_until_the_holder_has_written(self):
        store = StubStore(quotes={"versions": ["v1"]})
        starter, holder = (Setup(store, StubDirectory(), fence) for fence in (0, 1))
        starter.era = holder.era = 1
        starter.run()
        holder.directory.known = {"quotes": frozenset({"v1", "v2"})}
        holder.run(4 * TICK_S)
        starter.run(RETRY_S + TICK_S)
        assert starter.directory.stored[-1] == {"quotes": {"v1", "v2"}}
        calls = len(store.calls)
        starter.run(10)
        assert len(store.calls) == calls

    def test_reads_of_rows_that_nobody_writes_are_bounded(self):
        setup = Setup(StubStore(gone={"versions": ["v1"]}), StubDirectory(), fence=0)
        setup.era = 1
        setup.run(120)
        assert len(setup.store.calls) == MAX_REREADS + 1

    def test_copy_makes_no_version_the_only_one(self):
        history = SoftwareHistory(lambda: 20.0)
        history.on_listed({"quotes": frozenset({"v1"})}, 0.0)
        history.on_stored({"quotes": {"v1"}}, 0.0, is_complete=False)
        assert history.sole("quotes", 1.0) is None
        history.on_stored({"quotes": {"v1"}}, 2.0)
        assert history.sole("quotes", 2.0) == "v1"
