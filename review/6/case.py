"""A zone loses its one machine, silently, as its controller crashes: the job of that machine must run again."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed_2"))

from bed import ASO, KUMAMOTO_SITES, Bed, job, kumamoto, main  # noqa: E402

#: "no job is left waiting for 90 s while a machine that fits has room" (kit/more/hunt/LATER.md)
BOUND_S = 90.0
#: restart_delay_s of the site
BACK_S = 5.0


def case(trouble: bool) -> int:
    capacity = {(zone, spot): 7 if spot else 13 for zone in KUMAMOTO_SITES for spot in (True, False)}
    bed = Bed(HERE, kumamoto(), ASO, capacity, KUMAMOTO_SITES)
    try:
        bed.start()
        ref = bed.submit(job("req-000001", "curve-fit", "seigyo-team-00", 1), 25.0)
        bed.need("its task starts", lambda: ref in bed.jobs.first_start, 10)
        (machine,) = bed.cloud.up()
        lost = bed.cloud.machines[machine]
        assert lost["loaned"]
        # A service in another zone: its machine stays, and has room for a task of the job.
        harbor = next(site for site in KUMAMOTO_SITES if site != lost["harbor"])
        service = bed.submit(job("req-000002", "setpoint-serve", "seigyo-team-01", 1, harbor=harbor), 1e9)
        bed.need("the service runs", lambda: service in bed.jobs.first_start, 10)
        time.sleep(2.0)
        if not trouble:
            bed.need("the job is done", lambda: bed.poll(ref) == "done", 60)
            bed.record("RESULT: held, the job is done")
            return 0
        (controller,) = [name for name, site in bed.sites.items() if site == lost["harbor"]]
        bed.record(f"TROUBLE: {controller} in {lost['harbor']} ends, and is back {BACK_S} s later")
        bed.nodes[controller].kill()
        bed.cloud.take_back(machine)
        time.sleep(BACK_S)
        bed.nodes[controller].start()
        bed.need("it is back", lambda: bed.ask("GET", "/healthz", node=controller)[0] == 200, 10)
        return int(bed.left_waiting(ref, BOUND_S))
    finally:
        bed.close()


main(case)
