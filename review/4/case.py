"""The only machine of a job is taken back without a notice: the job must run again elsewhere."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed_2"))

from bed import ASO, KUMAMOTO_SITES, Bed, job, kumamoto, main  # noqa: E402

#: "no job is left waiting for 90 s" (kit/more/hunt/LATER.md)
BOUND_S = 90.0
RUN_S = 10.0


def case(trouble: bool) -> int:
    capacity = {(zone, spot): 7 if spot else 13 for zone in KUMAMOTO_SITES for spot in (True, False)}
    bed = Bed(HERE, kumamoto(), ASO, capacity, KUMAMOTO_SITES)
    try:
        bed.start()
        ref = bed.submit(job("req-000001", "curve-fit", "seigyo-team-00", 1), RUN_S)
        bed.need("the task starts", lambda: ref in bed.jobs.first_start, 15)
        time.sleep(4.0)
        end = bed.watch_for(BOUND_S)
        if trouble:
            (machine,) = bed.cloud.up()
            assert bed.cloud.machines[machine]["loaned"]
            bed.cloud.take_back(machine)
        rentals = bed.cloud.rentals
        while time.monotonic() < end:
            if bed.poll(ref) == "done":
                bed.record("RESULT: held, the job is done")
                return 0
            time.sleep(2.0)
        bed.record(
            f"RESULT: broken, {BOUND_S} s later {ref} is not done, its task is on {bed.jobs.on.get((ref, 0))}, "
            f"machines up: {bed.cloud.up()}, rentals asked for since: {bed.cloud.rentals - rentals}"
        )
        return 1
    finally:
        bed.close()


main(case)
