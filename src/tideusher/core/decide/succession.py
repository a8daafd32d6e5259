"""Decides the order of succession, early takeovers before the lease ends, and when a leader steps down. Pure.

Safety does not depend on this module: it rests on the guarded key and the token (docs/safety.md, 1). A wrong decision
costs a change of leader, so takeovers based on evidence alone are damped.

A refused connection does not prove that a node is dead: a node without free sockets refuses, and so does a packet
filter. What counts is that an established connection ended, that a new one is refused, and that a majority of the
other nodes, in several zones, observe the same and are in contact with one another. A leader that no node reaches is
useless for whatever reason: workers report through the other nodes. Silence is no evidence: a silent leader may be
paused for a second.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from tideusher.clock import SECOND_US

#: The delay between one candidate in the order and the next.
STAGGER_US = SECOND_US // 4
#: How long connections to the leader must have been refused.
LOST_US = 3 * SECOND_US // 10
#: The pause after an early takeover, the limit of its doublings, and the time within which the next one doubles it.
TAKEOVER_PAUSE_US, MAX_PAUSE_DOUBLINGS, CALM_US = 10 * SECOND_US, 4, 300 * SECOND_US
#: A standby with more unapplied changes than this is not warm.
MAX_WARM_CHANGES = 200
#: The average delay of timers from which a node counts as too slow for its load.
SLOW_TIMER_US = SECOND_US // 2
#: The weight of one firing in the average delay.
LAG_WEIGHT = 0.2
#: A leader steps down no sooner than this after its election, and only for a standby faster by this factor.
MIN_LEADERSHIP_US, SPEED_FACTOR = 20 * SECOND_US, 4
#: How long a controller that stepped down stays last in the order.
STEP_DOWN_COOLDOWN_US = 60 * SECOND_US


@dataclass(frozen=True, slots=True)
class Candidate:
    """A controller as a possible leader, as reported by itself."""

    node: str
    zone: str
    in_contact: bool  # it reaches the state service
    deaf: bool = False  # all its workers went silent
    behind: int | None = None  # changes that it has not applied yet; None: it is not a standby
    lag_us: int = 0  # average delay of its timers
    lost: int = 0  # token of the leader whose connection it lost and which refuses a new one
    rests: bool = False  # it stepped down recently
    reads_pages: bool = False  # it reads shared placement records; older versions do not


def succession_order(candidates: Iterable[Candidate], token: int) -> list[str]:
    """Returns the candidates in order, the same on all nodes with the same information; the token breaks ties.

    Nodes that do not reach the state service are not included.
    """

    def sort_key(candidate: Candidate) -> tuple[bool, bool, bool, int, int, str]:
        cold = 2 if candidate.behind is None else int(candidate.behind > MAX_WARM_CHANGES)
        slow = candidate.lag_us > SLOW_TIMER_US
        return (
            candidate.rests,
            candidate.deaf,
            slow,
            cold,
            crc32(f"{token}/{candidate.node}".encode()),
            candidate.node,
        )

    return [
        candidate.node
        for candidate in sorted((candidate for candidate in candidates if candidate.in_contact), key=sort_key)
    ]


def election_delay_us(own: Candidate, others: Sequence[Candidate], token: int) -> int:
    """Returns how long this node waits for others to be elected once there is no leader."""
    order = succession_order([own, *others], token)
    return STAGGER_US * (order.index(own.node) if own.node in order else len(order))


@dataclass(frozen=True, slots=True)
class Leadership:
    """The current leadership as known to this node."""

    node: str
    token: int
    since_us: int  # when this node first learnt of it
    early: int  # consecutive early takeovers up to it, each within CALM_US of the one before


def takeover_reason(
    leadership: Leadership, own: Candidate, others: Sequence[Candidate], size: int, now_us: int
) -> str:
    """Returns why this node takes over from a leader whose lease is still valid; empty if it does not."""
    if not own.in_contact or own.deaf or own.lost != leadership.token:
        return ""
    if leadership.early and now_us - leadership.since_us < TAKEOVER_PAUSE_US << min(
        leadership.early - 1, MAX_PAUSE_DOUBLINGS
    ):
        return ""
    reachable = [candidate for candidate in others if candidate.node != leadership.node and candidate.in_contact]
    agreeing = [own, *(candidate for candidate in reachable if candidate.lost == leadership.token)]
    if 2 * len(agreeing) <= size - 1 or len(agreeing) < 2:
        return ""
    zones, all_zones = (
        {candidate.zone for candidate in agreeing},
        {candidate.zone for candidate in [own, *reachable]},
    )
    if len(zones) < min(2, len(all_zones)):
        return ""
    if succession_order(agreeing, leadership.token)[0] != own.node:
        return ""
    return f"{len(agreeing)} of {size - 1} others, in {len(zones)} zones, lost their connection to it and are refused"


def leader_cannot_read_pages(leader: str, others: Sequence[Candidate]) -> bool:
    """True if the leader is an older version that does not read all records; it can then write nothing."""
    return any(candidate.node == leader and not candidate.reads_pages for candidate in others)


def all_read_pages(peers: int, others: Sequence[Candidate], shared_before: bool) -> bool:
    """True if the records of small jobs may share pages.

    That is once all other controllers are known to read pages, and until one appears that does not: an older version
    that comes back answers its users from the records that it reads.
    """
    if any(not candidate.reads_pages for candidate in others):
        return False
    return shared_before or len(others) == peers


def early_after(leadership: Leadership, now_us: int) -> int:
    """Returns the number of consecutive early takeovers including one made now."""
    return leadership.early + 1 if now_us - leadership.since_us < CALM_US else 1


def step_down_reason(own: Candidate, others: Sequence[Candidate], leadership_us: int) -> str:
    """Returns why a leader steps down by itself; empty if it continues.

    A leader whose node is several times too slow renews its lease but does little else: its answers are late and its
    passes later. It continues if no standby is clearly faster, because then the load is the cause.
    """
    if own.lag_us < SLOW_TIMER_US or leadership_us < MIN_LEADERSHIP_US:
        return ""
    for candidate in others:
        warm = candidate.behind is not None and candidate.behind <= MAX_WARM_CHANGES
        if candidate.in_contact and warm and not candidate.deaf and candidate.lag_us * SPEED_FACTOR <= own.lag_us:
            return f"its timers fire {own.lag_us / SECOND_US:.1f} s late, those of {candidate.node} do not"
    return ""


class TimerLag:
    """The smoothed delay of a timer: one pause of a second and a half does not make a node slow."""

    def __init__(self, period_us: int) -> None:
        self._period_us = period_us
        self._last_us: int | None = None
        self._lag_us = 0.0

    def fired(self, now_us: int) -> None:
        """Record that the timer fired."""
        if self._last_us is not None:
            late_us = max(0, now_us - self._last_us - self._period_us)
            self._lag_us += LAG_WEIGHT * (min(late_us, 4 * SECOND_US) - self._lag_us)
        self._last_us = now_us

    @property
    def us(self) -> int:
        """The average delay in microseconds; 0 if the timer fires on time."""
        return round(self._lag_us)
