"""Decides what a leader may start on its reads, and when a cancellation may be confirmed. Pure: time is passed in.

No task of a job may start by the answer to a report that was sent after a user was told that the job is cancelled. A
leader may start a job's tasks only while its newest answered read of the state service, which showed the job open and
itself as the leader, was sent no longer ago than the start lease. The controller that confirms a cancellation waits
after it is stored until every such lease has ended. It need not wait for the leader that was on record when the
cancellation was stored if that one has promised to withhold the job's starts for a time, nor for earlier leaders if
that one has led for longer than the lease (docs/safety.md, 12).
"""

from dataclasses import dataclass

from tideusher.clock import SECOND_US

#: How long after a read was sent a leader may start tasks of the jobs that it showed open.
START_LEASE_US = 2 * SECOND_US
#: By when a start lease has ended by any other clock: it covers the drift between two clocks and rounding.
LEASE_ENDED_US = START_LEASE_US + SECOND_US // 10
#: How long a leader withholds the starts of a job at the request of another controller.
WITHHOLD_US = 10 * SECOND_US
#: A read that the leader may rest on once it withholds no more was sent at most a lease before. It shows a
#: cancellation that was stored within this time of the request.
PROMISE_US = WITHHOLD_US - LEASE_ENDED_US


def start_lease_valid(contact_us: int | None, now_us: int) -> bool:
    """True if tasks may be started on the newest answered read; `contact_us`: when it was sent."""
    return contact_us is not None and now_us - contact_us <= START_LEASE_US


class WithheldStarts:
    """The jobs whose starts this controller withholds while it leads, each until a time of the steady clock."""

    def __init__(self) -> None:
        self._until_us: dict[str, int] = {}  # in the order in which they end

    def withhold(self, job: str, now_us: int) -> None:
        """Withholds the starts of a job from now on, for the agreed time."""
        self._drop_ended(now_us)
        self._until_us.pop(job, None)
        self._until_us[job] = now_us + WITHHOLD_US

    def is_withheld(self, job: str, now_us: int) -> bool:
        """True while the starts of the job are withheld."""
        return now_us <= self._until_us.get(job, -1)

    def _drop_ended(self, now_us: int) -> None:
        while self._until_us:
            job, until_us = next(iter(self._until_us.items()))
            if now_us <= until_us:
                return
            del self._until_us[job]


@dataclass(frozen=True, slots=True)
class LeaderSeen:
    """The leader on record as a controller knows it, and since when. Without a leader the token is 0."""

    token: int
    since_us: int


@dataclass(frozen=True, slots=True)
class Promise:
    """The promise of the leader with this token to withhold a job's starts, requested at this time."""

    token: int
    requested_us: int


def confirmable_us(stored_us: int, leader: LeaderSeen, promise: Promise | None) -> int:
    """Returns from when on a user may be told that a job is cancelled.

    `stored_us`: when this controller first knew that the cancellation is stored. `leader`: the leader on record at
    the moment in which it was stored, or later. `promise`: the leader's promise, if there is one.
    """
    all_leases_ended_us = stored_us + LEASE_ENDED_US
    if promise is None or promise.token != leader.token or stored_us - promise.requested_us > PROMISE_US:
        return all_leases_ended_us
    earlier_leases_ended_us = leader.since_us + LEASE_ENDED_US
    return min(all_leases_ended_us, earlier_leases_ended_us)
