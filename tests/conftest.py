"""Shared fixtures. Only tests of the disk wait for it: on a busy machine all others took twenty times as long."""

import pytest

from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401
from simulated_cluster import SimulatedCluster
from standins import LeaderHarness
from tideusher.embed.disk import Disk
from tideusher.invariants import LOGGER_NAME


@pytest.fixture(autouse=True)
def skip_disk_sync(request, monkeypatch):
    """Replaces the sync of files and directories to disk by nothing, except in tests marked `real_disk`.

    Files are still written and renamed.
    """
    if "real_disk" not in request.keywords:
        monkeypatch.setattr(Disk, "sync", lambda self, fd: None)
        monkeypatch.setattr(Disk, "sync_directory", lambda self, path: None)


@pytest.fixture(autouse=True)
def fail_on_invariant_violation(request, caplog):
    """Fails a test in which a run-time invariant is violated, unless it is marked `breaks_invariants`."""
    yield
    if "breaks_invariants" in request.keywords:
        return
    for when in ("setup", "call"):
        violations = [record.getMessage() for record in caplog.get_records(when) if record.name == LOGGER_NAME]
        assert not violations, "\n".join(violations[:5])


@pytest.fixture
def sim(monkeypatch):
    """Returns a factory of a simulated cluster whose controllers have elected a leader."""
    clusters = []

    def make(seed=0, **settings):
        clusters.append(SimulatedCluster(monkeypatch, seed, **settings))
        clusters[0].run(6.0)
        return clusters[0]

    yield make
    for cluster in clusters:
        cluster.close()


@pytest.fixture
def harness():
    """A leader on a simulated state service, driven step by step."""
    return LeaderHarness()
