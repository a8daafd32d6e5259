"""The catalogue of machine types is stored in parts that fit the size limit of a value.

The failure: spot prices of 22 types moved, their list no longer fitted a value, and no transaction of the leader was
accepted any more (review/4).
"""

import msgspec
import pytest

from standins import make_config
from tideusher.config import Policy
from tideusher.core.model import keys, machine_catalogue
from tideusher.core.model.cluster_state import ClusterState
from tideusher.playground.standins import TYPE
from tideusher.wire.cloud import MachineType


def catalogue(count, price=1.0):
    names = [TYPE.name, *(f"vitosha-gpu32-{number}" for number in range(1, count))]
    return [msgspec.structs.replace(TYPE, name=name, spot_price=price / 3) for name in names]


def stored(harness):
    return {key: value for key, (value, _) in harness.state.items.items() if keys.is_types_key(key)}


@pytest.mark.parametrize("count", [1, 22, 31, 400])
def test_a_catalogue_of_any_size_is_written_and_read(harness, count):
    for price in (1.0, 1.234567890123):
        harness.cluster.set_types(catalogue(count, price))
        harness.commit()  # the stand-in takes no value over 4 KiB
        assert machine_catalogue.read(stored(harness).get) == catalogue(count, price)
    first = msgspec.convert(stored(harness)[keys.TYPES], list[MachineType])
    assert first == catalogue(count, price)[: len(first)] and first  # all that earlier versions know


def test_the_list_that_a_leader_of_an_earlier_version_wrote_counts(harness):
    harness.cluster.set_types(catalogue(60))
    harness.commit()
    values = stored(harness) | {keys.TYPES: msgspec.to_builtins(catalogue(60, 7.0))}
    assert machine_catalogue.read(values.get) == catalogue(60, 7.0)


def test_parts_that_are_no_longer_needed_are_removed(harness):
    harness.cluster.set_types(catalogue(60))
    harness.commit()
    assert len(stored(harness)) > 2
    harness.cluster.set_types(catalogue(2))
    harness.commit()
    assert list(stored(harness)) == [keys.TYPES]


def test_the_next_leader_and_a_standby_know_all_types_and_write_nothing_anew(harness):
    harness.cluster.set_types(catalogue(60))
    harness.commit()
    state = ClusterState(make_config(), Policy(), 0, harness.clock.wall_us)
    for key in sorted(stored(harness), reverse=True):
        state.apply(key, *harness.state.items[key], 0)
    assert list(state.types.values()) == catalogue(60)
    state.apply(keys.types_key(1), None, 99, 0)
    assert 0 < len(state.types) < 60
    next_leader = harness.engine().cluster
    next_leader.set_types(catalogue(60))
    assert not next_leader.write_queue.waiting


def test_a_machine_of_a_type_in_a_later_part_has_its_capacity(harness):
    last = catalogue(60)[-1]
    state = ClusterState(make_config(), Policy(), 0, harness.clock.wall_us)
    state.apply(keys.TYPES, msgspec.to_builtins(catalogue(1)), 1, 0)
    rental = {"type": last.name, "zone": "a", "spot": False, "count": 1, "answered": True}
    state.apply(keys.rental_key("1-1"), {**rental, "machines": ["host-1"], "returning": []}, 2, 0)
    assert not state.machines["host-1"].cpus
    state.apply(keys.types_key(1), msgspec.to_builtins([last]), 3, 0)
    assert state.machines["host-1"].free_cpus == state.machines["host-1"].cpus == last.cpus
