"""A machine of a gang stops and there is no other: the rest of the machines must not stand idle while a job waits."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed_2"))

from bed import ASO, KUMAMOTO_SITES, Bed, job, kumamoto, main  # noqa: E402

#: "no job is left waiting for 90 s while a machine that fits has room" (kit/more/hunt/LATER.md)
BOUND_S = 90.0


def case(trouble: bool) -> int:
    bed = Bed(HERE, kumamoto(), ASO, {("kumamoto-a", False): 4}, KUMAMOTO_SITES)
    try:
        bed.start()
        gang = bed.submit(job("req-000001", "zone-sim", "seigyo-team-00", 4), 8.0)
        bed.need("the gang runs", lambda: len(bed.jobs.members.get((gang, 1), {})) == 4, 12)
        time.sleep(1.0)
        if trouble:
            stopped = bed.cloud.up()[0]
            bed.cloud.stop(stopped)
            bed.need("it is returned", lambda: bed.cloud.machines[stopped]["gone"] is not None, 15)
            time.sleep(1.0)
        ref = bed.submit(job("req-000002", "curve-fit", "seigyo-team-00", 1), 4.0)
        if not trouble:
            bed.need("the job is done", lambda: bed.poll(ref) == "done", 60)
            bed.record("RESULT: held, the job is done")
            return 0
        return int(bed.left_waiting(ref, BOUND_S))
    finally:
        bed.close()


main(case)
