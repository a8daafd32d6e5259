"""Spot prices move at a cloud of 22 machine types: jobs must go on being started."""

import random
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed_2"))

from bed import SOFIA_SITES, VITOSHA, Bed, job, main, sofia  # noqa: E402

#: "no job is left waiting for 90 s while a machine that fits has room" (kit/more/hunt/LATER.md)
BOUND_S = 90.0
#: "Spot prices move by up to a third around the nominal price"
MOST = 1 / 3


def case(trouble: bool) -> int:
    capacity = {("sofia-1", False): 16, ("sofia-1", True): 10, ("varna-2", False): 14, ("varna-2", True): 8}
    bed = Bed(HERE, sofia(), VITOSHA, capacity, SOFIA_SITES)
    # The other types cost more, and the cloud has none of them free.
    others = [dict(VITOSHA, sku=f"vitosha-gpu32-{n}", price=20.0 + n, market_price=10.0 + n) for n in range(1, 22)]
    nominal = [VITOSHA, *others]
    moving = False

    def types_now() -> list[dict[str, Any]]:
        if not moving:
            return nominal
        return [
            dict(hull, market_price=hull["market_price"] * random.uniform(1 - MOST, 1 + MOST)) for hull in nominal
        ]

    bed.cloud.types_now = types_now
    try:
        bed.start()
        first = bed.submit(job("req-000001", "tile-serve", "karta-team-00", 1), 1e9)
        bed.need("the first service runs", lambda: first in bed.jobs.first_start, 12)
        time.sleep(3.0)
        if trouble:
            bed.record(f"TROUBLE: spot prices move, such as to {[hull['market_price'] for hull in types_now()[:2]]}")
            moving = True
        time.sleep(5.0)  # the controllers ask for the types every few seconds
        (machine,) = bed.cloud.up()  # of its 32 CPUs and 4 GPUs the first service takes 5 and 1
        ref = bed.submit(job("req-000002", "tile-serve", "karta-team-01", 1), 1e9)
        end = bed.watch_for(BOUND_S)
        while time.monotonic() < end:
            if ref in bed.jobs.first_start:
                bed.record("RESULT: held, the job runs")
                return 0
            bed.poll(ref)
            time.sleep(2.0)
        bed.record(f"RESULT: broken, {ref} is not started in {BOUND_S} s; {machine} had room for it all the time")
        return 1
    finally:
        bed.close()


main(case)
