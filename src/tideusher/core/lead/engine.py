"""Runs scheduling passes in steps and orders writes before effects. It does no I/O and has no clock.

The leader's actor runs an engine over the state service, the cloud and reports received by HTTP; an embedded
instance runs one over a directory and the machines of its program. The caller does four things: it
passes in events (`report`, `job`, `tick`), writes what `batch` returns, reports the outcome (`batch_committed`,
`batch_failed`), and then carries out what `orders` returns. Safety 2 depends on this order: `orders` returns no
effect before the write that it depends on was reported as committed.
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

#: A pass runs when something changed, and otherwise at this interval.
IDLE_PASS_US = 1_000_000
#: While tasks lost in a mass failure wait, one in this many writes of a transaction is for what is not urgent.
LAZY_DIVISOR = 4


@dataclass(slots=True)
class Orders:
    """Effects that are due: machines to rent and to return, commands to send without waiting for a report."""

    rent: list[Rental] = field(default_factory=list)
    to_return: list[Machine] = field(default_factory=list)
    direct: dict[Machine, list[Command]] = field(default_factory=dict)


class Engine:
    """Owns the cluster state under one token, and the pass in progress."""

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
        """Builds the state from `items` (all keys, values and stamps), or takes over a replicated `cluster_state`.

        `value_of` returns a key's value as of the newest read; needed where records share pages.
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
        self._steps = 0  # steps of the pass in progress, or of the last one

    # ---------------------------------------------------------------- passes

    def tick(self, now_us: int) -> bool:
        """Begins a pass if one is due and none is in progress; True if it has more steps for `continue_pass`."""
        if self._pass is not None or not (self.cluster.dirty or now_us - self._last_pass_us > IDLE_PASS_US):
            return False
        if now_us - self._last_pass_us < self.scheduler.pause_us(self._steps):
            return False
        self._last_pass_us, self._steps = now_us, 0
        self._pass = self.scheduler.pass_steps(now_us)
        return self.continue_pass()

    def continue_pass(self) -> bool:
        """Runs one step of the pass in progress; True if there are more."""
        if self._pass is None:
            return False
        self._steps += 1
        try:
            next(self._pass)
        except StopIteration:
            self._pass = None
        except Exception:
            self._pass = None  # the next tick begins another
            raise
        return self._pass is not None

    # ---------------------------------------------------------------- writes, then effects

    def batch(self, now_us: int = 0) -> Batch | None:
        """Returns the next transaction; None while one is in flight, or when nothing waits.

        `now_us` decides what the store refused and is tried again.
        """
        recovering = self.cluster.recovery.waiting() > 0
        return self.cluster.write_queue.next_batch(
            self._max_ops, self._max_ops // LAZY_DIVISOR if recovering else None, now_us
        )

    def batch_committed(self, revision: int, now_us: int) -> None:
        """Notes that the batch is committed: its effects are due."""
        self.cluster.write_queue.batch_committed(revision)
        self.cluster.last_saved_us, self.cluster.writable = now_us, True

    def mark_unwritable(self) -> None:
        """Notes that the store did not take a write: nothing more is preempted until it does."""
        self.cluster.writable = False

    def batch_failed(self, stamp_of: Callable[[str], int], unknown: bool = True) -> None:
        """Notes that the batch failed: what is still valid is written again, with stamps from a newer read.

        `unknown`: the batch may still be applied.
        """
        self.cluster.write_queue.batch_failed(stamp_of, unknown)

    def batch_refused(self, stamp_of: Callable[[str], int], now_us: int) -> None:
        """Notes that the store refuses the batch as it stands: it is split, and what is refused is set apart."""
        refused = self.cluster.write_queue.batch_refused(stamp_of, now_us)
        if refused is not None:
            self.cluster.record_refused_write(refused, now_us)

    def orders(self) -> Orders:
        """Returns the effects that are due; each is returned once."""
        cluster = self.cluster
        orders = Orders(list(cluster.to_rent), list(cluster.to_return))
        cluster.to_rent.clear()
        cluster.to_return.clear()
        for direct in cluster.direct:
            orders.direct.setdefault(direct.machine, []).append(direct.command)
        cluster.direct.clear()
        return orders
