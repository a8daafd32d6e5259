"""Tests that are not about the disk do not wait for it: beside a busy machine they took twenty times as long."""

import pytest

from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401
from simulated_cluster import SimulatedCluster
from standins import LeaderHarness
from tideusher.embed.disk import Disk
from tideusher.invariants import LOGGER_NAME


@pytest.fixture(autouse=True)
def no_waiting_for_the_disk(request, monkeypatch):
    """Files are written and renamed as ever; only the wait until the hardware has them is left out."""
    if "real_disk" not in request.keywords:
        monkeypatch.setattr(Disk, "sync", lambda self, fd: None)
        monkeypatch.setattr(Disk, "sync_directory", lambda self, path: None)


@pytest.fixture(autouse=True)
def no_violations(request, caplog):
    """A breach of an invariant that is asserted at run time fails the test, unless it plants one."""
    yield
    if "breaks_invariants" in request.keywords:
        return
    for when in ("setup", "call"):
        found = [record.getMessage() for record in caplog.get_records(when) if record.name == LOGGER_NAME]
        assert not found, "\n".join(found[:5])


@pytest.fixture
def sim(monkeypatch):
    """Makes a simulated cluster whose controllers have found their leader."""
    made = []

    def make(seed=0, **settings):
        made.append(SimulatedCluster(monkeypatch, seed, **settings))
        made[0].run(6.0)
        return made[0]

    yield make
    for one in made:
        one.close()


@pytest.fixture
def harness():
    """A leader on a state stand-in, driven by hand."""
    return LeaderHarness()
