"""An answer of the state service comes late, while the leader's peers cannot connect to it: no harm must stay."""

import http.client
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed_2"))

from bed import SOFIA_SITES, VITOSHA, Bed, CannotRun, job, main, sofia  # noqa: E402

#: "no job is left waiting for 90 s while a machine that fits has room" (kit/more/hunt/LATER.md)
BOUND_S = 90.0
#: "occasionally a few hundred" milliseconds, while the state service answers slowly (20 times)
SLOW_S = 1.5
#: restart_delay_s of the site
BACK_S = 3.0


def case(trouble: bool) -> int:
    capacity = {("sofia-1", False): 1}
    bed = Bed(HERE, sofia(), VITOSHA, capacity, SOFIA_SITES)
    try:
        bed.start()
        service = bed.submit(job("req-000001", "tile-serve", "karta-team-00", 1), 1e9)
        bed.need("the service runs", lambda: service in bed.jobs.first_start, 10)
        time.sleep(1.0)
        first = leader(bed)
        if not first:
            raise CannotRun("no controller leads")
        slowed: list[float] = []

        def slow_s(txn: dict[str, Any]) -> float:
            """The first transaction that writes the record of a rental is answered slowly."""
            if slowed or not any(write.get("set", "").startswith("t/m/") for write in txn["writes"]):
                return 0.0
            slowed.append(SLOW_S)
            return SLOW_S

        if trouble:
            bed.record(f"TROUBLE: connections of the other controllers to {first}, which leads, are refused")
            bed.gates[first].refuse()
            time.sleep(0.3)
            bed.state.slow_s = slow_s
        # The machine of the service has no room for this one, and the cloud has no other yet.
        large = bed.submit(job("req-000002", "tile-serve", "karta-team-01", 1, cores=30.0), 1e9)
        time.sleep(SLOW_S + 1.0)
        if trouble:
            bed.record(f"connections to {first} are taken again; {leader(bed)} leads")
            bed.gates[first].open()
            time.sleep(2.0)
            others = [name for name in bed.nodes if name != first]
            bed.record(f"TROUBLE: {others} end, and are back {BACK_S} s later")
            for name in others:
                bed.nodes[name].kill()
            time.sleep(BACK_S)
            for name in others:
                bed.nodes[name].start()
            time.sleep(3.0)
            bed.record(f"all troubles are over; {leader(bed)} leads")
        capacity["sofia-1", False] = 16
        small = bed.submit(job("req-000003", "tile-serve", "karta-team-02", 1), 1e9)  # it fits beside the first one
        bed.record(f"{large} runs: {bed.runs(large)}; {leader(bed)} leads")
        return int(bed.left_waiting(small, BOUND_S))
    finally:
        bed.close()


def leader(bed: Bed) -> str:
    """Returns the controller that leads, by its own metrics; empty if none does."""
    for name, node in bed.nodes.items():
        connection = http.client.HTTPConnection(*node.address, timeout=2.0)
        try:
            connection.request("GET", "/metrics")
            if any(line == "tideusher_leads 1.0" for line in connection.getresponse().read().decode().splitlines()):
                return name
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
    return ""


main(case)
