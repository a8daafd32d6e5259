"""The state service lowers its limits at a moment that nobody tells; the settings announce them (`state.next`)."""

import msgspec
import pytest

from standins import FakeClock, job, make_config
from tideusher.actors.store import LEADER_WRITE_SHARE, Store, Throttled
from tideusher.config import ConfigError, NextStateSettings, StateSettings, load_config
from tideusher.metrics import Metrics
from tideusher.playground.servers import SETTINGS
from tideusher.wire.state import Put

LOWERED = NextStateSettings(write_rps=120.0, value_kb=2.0, txn_ops=4)


def limited(service, refused):
    """Has the service refuse larger values and transactions from now on; keeps what it refused."""
    original = service._txn

    def txn(guards, writes):
        sizes = [len(msgspec.json.encode(write.value)) for write in writes if isinstance(write, Put)]
        if len(writes) > LOWERED.txn_ops or max(sizes, default=0) > LOWERED.value_kb * 1024:
            refused.append((len(writes), max(sizes, default=0)))
            return 400, {"error": "too large"}
        return original(guards, writes)

    service._txn = txn


def test_jobs_go_on_when_the_announced_limits_come(sim):
    """Pages of 3 KB and batches of 6 changes got 400 for ever: finished arrays were called running."""
    sim = sim(machines=20, state=StateSettings(400.0, 200.0, 4.0, 8, LOWERED))
    services = [sim.submit(job("service", 1 + 2 * (n % 2), gpus=0.0, cpus=0.5, estimate_s=0.0)) for n in range(140)]
    arrays = [sim.submit(job("batch", 10, gpus=0.0, cpus=1.0, estimate_s=30.0)) for _ in range(4)]
    sim.run(20.0)
    assert all(sim.on_machines(spec.id) for spec in services + arrays)
    refused = []
    limited(sim.service, refused)
    late = sim.submit(job("batch", 4, gpus=0.0, cpus=1.0, estimate_s=5.0))
    sim.run(40.0)
    done = []
    sim.time.spawn(lambda: done.extend(sim.poll(spec.id) for spec in [*arrays, late]))
    sim.run(2.0)
    assert done == ["done"] * 5 and not refused


def config_file(tmp_path, line):
    path = tmp_path / "tideusher.toml"
    path.write_text(SETTINGS.format(port=1, peer=2, cloud=3, state=4) + f"\n[settings.state.next]\n{line}\n")
    return str(path)


def test_announced_sizes_hold_from_the_start_and_larger_ones_change_nothing(tmp_path):
    state = load_config(config_file(tmp_path, "value_kb = 2.0\ntxn_ops = 50\nunknown = 1")).settings.state
    assert (state.value_kb, state.txn_ops, state.write_rps) == (2.0, 12, 50.0)


@pytest.mark.parametrize("line", ["value_kb = 0", "txn_ops = 0", "txn_ops = 1.5", 'write_rps = "many"'])
def test_announced_limits_that_make_no_sense_are_refused_with_one_line(tmp_path, line):
    with pytest.raises(ConfigError, match=rf"next\.{line.split()[0]}") as error:
        load_config(config_file(tmp_path, line))
    assert "\n" not in str(error.value)


def test_announced_rates_hold_from_the_first_429_on():
    announced = StateSettings(100.0, 50.0, 4.0, 8, NextStateSettings(write_rps=18.0))
    store, answers = Store(make_config(state=announced), FakeClock(), Metrics()), [429, 200]
    store._client.call = lambda *asked: (answers.pop(0), b"{}")
    store.lead(True)
    assert store._writes._rate == pytest.approx(50.0 * LEADER_WRITE_SHARE)
    with pytest.raises(Throttled):
        store.call("GET", "/keys/t/x", budget=False)
    assert store._writes._rate == pytest.approx(18.0 * LEADER_WRITE_SHARE)
    store.call("GET", "/keys/t/x", budget=False)
    assert store._writes._rate == pytest.approx(18.0 * LEADER_WRITE_SHARE)
