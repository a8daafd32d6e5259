"""What drives the decisions: passes in pieces, writes before effects. No I/O and no clock of its own.

The leader's actor runs one over the state service, the cloud and reports that come by HTTP; an embedded
instance runs one over a directory and the machines of its program. Whoever runs it does four things:
hands in what happened (`report`, `job`, `tick`), writes what `batch` gives, says how that went (`batch_committed`,
`batch_failed`), and then carries out what `orders` gives. The order of these is what safety 2 rests on:
nothing comes out of `orders` before the write that it hangs on was told as saved.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from tideusher.config import Config, Policy
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.reports import Reports
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.model.cluster_state import ClusterState, RecordOf
from tideusher.core.model.pages import ReadValue
from tideusher.core.model.records import Machine
from tideusher.core.model.rentals import Rental
from tideusher.core.model.write_queue import Batch
from tideusher.metrics import Metrics
from tideusher.wire.workers import Command

#: A pass is made when something changed, and else this often.
IDLE_PASS_US = 1_000_000
#: While work that a fall took waits for its place, this part of a transaction is for what is not urgent.
LAZY_PART = 4


@dataclass(slots=True)
class Orders:
    """What may be done now: machines to rent and to return, commands that need not wait for a report."""

    rent: list[Rental] = field(default_factory=list)
    request_return: list[Machine] = field(default_factory=list)
    direct: dict[Machine, list[Command]] = field(default_factory=dict)


class Engine:
    """Owns a picture of the cluster under one token, and the pass under way."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        token: int,
        now_us: int,
        wall_us: Callable[[], int],
        metrics: Metrics,
        record_of: RecordOf,
        items: Mapping[str, tuple[Any, int]] | None = None,
        cluster_state: ClusterState | None = None,
        value_of: ReadValue = lambda key: None,
    ) -> None:
        """Take over what is stored: `items` are all keys with their values and stamps; or a picture that followed.

        `value_of`: a key's value as the newest read has it; needed where records share pages.
        """
        self.token = token
        self.cluster = Cluster(config, policy, token, now_us, wall_us, metrics, record_of, cluster_state, value_of)
        if items is not None:
            self.cluster.load(items, now_us)
        else:
            self.cluster.begin(now_us)
        self.reports = Reports(self.cluster)
        self.scheduler = Scheduler(self.cluster, now_us)
        self._max_ops = config.settings.state.txn_ops
        self._pass: Iterator[None] | None = None
        self._last_pass_us = 0
        self._pieces = 0  # of the pass under way, or of the last one

    # ---------------------------------------------------------------- passes

    def tick(self, now_us: int) -> bool:
        """Begin a pass if one is due and none is under way; True if it was, and `continue_pass` has more to do."""
        if self._pass is not None or not (self.cluster.dirty or now_us - self._last_pass_us > IDLE_PASS_US):
            return False
        if now_us - self._last_pass_us < self.scheduler.pause_us(self._pieces):
            return False
        self._last_pass_us, self._pieces = now_us, 0
        self._pass = self.scheduler.pass_steps(now_us)
        return self.continue_pass()

    def continue_pass(self) -> bool:
        """One piece of the pass under way; True if there is another."""
        if self._pass is None:
            return False
        self._pieces += 1
        try:
            next(self._pass)
        except StopIteration:
            self._pass = None
        except Exception:
            self._pass = None  # the next tick begins another
            raise
        return self._pass is not None

    # ---------------------------------------------------------------- writes, then effects

    def batch(self) -> Batch | None:
        """The next transaction; None while one is under way, or when nothing waits."""
        recovers = self.cluster.recovery.waiting() > 0
        return self.cluster.write_queue.next_batch(self._max_ops, self._max_ops // LAZY_PART if recovers else None)

    def batch_committed(self, revision: int, now_us: int) -> None:
        """The batch is through: its effects may be told."""
        self.cluster.write_queue.batch_committed(revision)
        self.cluster.last_saved_us, self.cluster.writable = now_us, True

    def mark_unwritable(self) -> None:
        """What is stored did not take a write: nothing more is stopped until it does."""
        self.cluster.writable = False

    def batch_failed(self, stamp_of: Callable[[str], int], unknown: bool = True) -> None:
        """A batch failed: what still holds of it is written again, with stamps from a newer read.

        `unknown`: it may still be carried out.
        """
        self.cluster.write_queue.batch_failed(stamp_of, unknown)

    def orders(self) -> Orders:
        """Take what may be done now; each is given once."""
        cluster = self.cluster
        orders = Orders(list(cluster.to_rent), list(cluster.to_return))
        cluster.to_rent.clear()
        cluster.to_return.clear()
        for direct in cluster.direct:
            orders.direct.setdefault(direct.machine, []).append(direct.command)
        cluster.direct.clear()
        return orders
