"""Spot prices move at a cloud of 22 machine types: jobs must go on being started."""

import random
import sys
import time
from pathlib import Path

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
    bed.cloud.types_now = lambda: nominal
    try:
        bed.start()
        first = bed.submit(job("req-000001", "tile-serve", "karta-team-00", 1), 1e9)
        bed.need("the first service runs", lambda: first in bed.jobs.first_start, 12)
        time.sleep(3.0)
        if trouble:  # once, and then they stay
            moved = [dict(h, market_price=h["market_price"] * random.uniform(1 - MOST, 1 + MOST)) for h in nominal]
            bed.record(f"TROUBLE: spot prices move to {[hull['market_price'] for hull in moved]}")
            bed.cloud.types_now = lambda: moved
        time.sleep(5.0)  # the controllers ask for the types every few seconds
        ref = bed.submit(job("req-000002", "tile-serve", "karta-team-01", 1), 1e9)
        return int(bed.left_waiting(ref, BOUND_S))
    finally:
        bed.close()


main(case)
