"""A deposed leader that does not know of its successor yet must not report invariant violations.

The state service refused one controller, the leader. Its successor repeated an open rental under its name and
recorded the answer. When the old leader could read again, it prepared a write before it checked the leadership 0.1 s
later, compared its unanswered rental with the answered record and logged "rental 1456-1 of token 1456 is ordinary
scale in r0-z1; on record under that name is ordinary scale in r0-z1 with [...]". Its transaction was refused by the
guard on its token, so nothing was violated. Seen in the soak with `--workers 4000`, seed 67, controllers of 152d47c:
"rental_kind" was logged six times at 469.135, and the leader stepped down at 469.263.
"""

import logging

import pytest

from standins import job
from tideusher.core.model import keys
from tideusher.invariants import LOGGER_NAME


@pytest.mark.breaks_invariants  # the test itself checks for violations
def test_deposed_leader_that_reads_its_successors_records_reports_no_violation(sim, caplog):
    sim = sim(machines=0)
    old = sim.leader()
    sim.nodes[old].cloud.submit = lambda kind, *asked: None  # the cloud does not answer this leader
    service = sim.service

    def lose_answer(node, writes):
        """The planned rental is written, and from then on the state service refuses its writer."""
        if node == old and any(keys.RENTAL_PREFIX in str(write) for write in writes):
            service.refused.add(old)
            return True
        return False

    service.loses = lose_answer
    specs = [sim.submit(job("batch", 1, gpus=4.0, estimate_s=900.0, team="poor")) for _ in range(3)]
    sim.run(12.0)
    assert old in service.refused and sim.leader() not in ("", old)
    records = service.state.items.items()
    assert all(value["answered"] for key, (value, _) in records if key.startswith(keys.RENTAL_PREFIX))
    request = service.request

    def recover_at_next_read(node, method, path, data):
        if node == old and path.endswith("wait_ms=0"):
            service.refused.clear()
        return request(node, method, path, data)

    service.request = recover_at_next_read
    with caplog.at_level(logging.INFO):
        sim.run(10.0)
    assert not service.refused
    assert [record.getMessage() for record in caplog.records if record.name == LOGGER_NAME] == []
    assert all(len(sim.on_machines(spec.id)) == 1 for spec in specs)
