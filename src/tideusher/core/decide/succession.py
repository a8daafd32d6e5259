"""Who leads next, when it may take over before the lease ends, and when a leader gives way by itself. Pure.

Nothing here keeps the rules: they rest on the guarded key and on the token (docs/safety.md, 1). A wrong answer costs
a change of leader, so changes for which only evidence speaks are damped.

A refused connection does not prove a node dead: one without free sockets refuses, a packet filter does. What counts
is that a connection which was up ended, that a new one is refused, and that most of the others, in several zones, say
the same and are heard by one another. A leader that nobody reaches is of no use, whatever it is: workers report
through the others. Silence counts for nothing here: a leader that is silent may stand still for a second.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from tideusher.clock import SECOND_US

#: How long the next in line lets the one before it go first.
STEP_US = SECOND_US // 4
#: A connection to the leader must be refused for so long.
LOST_US = 3 * SECOND_US // 10
#: After a change on evidence the next one waits so long, doubled with each that follows within CALM_US.
DAMP_US, DAMP_MOST, CALM_US = 10 * SECOND_US, 4, 300 * SECOND_US
#: A standby with more changes to apply than this is not warm.
WARM = 200
#: Timers that fire later than this, on average, are those of a node that computes too slowly for what it has to do.
SLOW_US = SECOND_US // 2
#: How much one firing counts.
WEIGHT = 0.2
#: A leader gives way no sooner than this after its election, and only to one that is faster by this factor.
YIELDS_AFTER_US, FASTER = 20 * SECOND_US, 4
#: One that gave way stands last for so long.
STEP_DOWN_COOLDOWN_US = 60 * SECOND_US


@dataclass(frozen=True, slots=True)
class Candidate:
    """A controller as a possible leader, as it told us (ourselves: as we are)."""

    node: str
    zone: str
    in_contact: bool  # does it reach the state service?
    deaf: bool = False  # have all the workers that it had fallen silent?
    behind: int | None = None  # changes that it has yet to apply; None: it does not follow
    lag_us: int = 0  # how late its timers fire
    lost: int = 0  # the token of the leader whose connection it lost, and which refuses it
    rests: bool = False  # it gave way just now
    reads_pages: bool = False  # does it read shared placement records? An older version does not


def succession_order(candidates: Iterable[Candidate], token: int) -> list[str]:
    """Who stands first, second, ...: the same on all nodes that know the same. A tie is settled by the token.

    A node that is cut off from the state service is not in it.
    """

    def place(one: Candidate) -> tuple[bool, bool, bool, int, int, str]:
        cold = 2 if one.behind is None else int(one.behind > WARM)
        slow = one.lag_us > SLOW_US
        return one.rests, one.deaf, slow, cold, crc32(f"{token}/{one.node}".encode()), one.node

    return [one.node for one in sorted((one for one in candidates if one.in_contact), key=place)]


def election_delay_us(ours: Candidate, others: Sequence[Candidate], token: int) -> int:
    """For how long this node lets others stand first once the leadership is free."""
    order = succession_order([ours, *others], token)
    return STEP_US * (order.index(ours.node) if ours.node in order else len(order))


@dataclass(frozen=True, slots=True)
class Leadership:
    """What is known of the present leadership."""

    node: str
    token: int
    since_us: int  # when we first knew of it
    early: int  # changes on evidence in a row up to it, each within CALM_US of the one before


def takeover_reason(
    leadership: Leadership, ours: Candidate, others: Sequence[Candidate], size: int, now_us: int
) -> str:
    """Why this node takes the leadership from a leader whose lease still runs; empty: it does not."""
    if not ours.in_contact or ours.deaf or ours.lost != leadership.token:
        return ""
    if leadership.early and now_us - leadership.since_us < DAMP_US << min(leadership.early - 1, DAMP_MOST):
        return ""
    heard = [one for one in others if one.node != leadership.node and one.in_contact]
    agree = [ours, *(one for one in heard if one.lost == leadership.token)]
    if 2 * len(agree) <= size - 1 or len(agree) < 2:
        return ""
    zones, all_zones = {one.zone for one in agree}, {one.zone for one in [ours, *heard]}
    if len(zones) < min(2, len(all_zones)):
        return ""
    if succession_order(agree, leadership.token)[0] != ours.node:
        return ""
    return f"{len(agree)} of {size - 1} others, in {len(zones)} zones, lost their connection to it and are refused"


def leader_cannot_read_pages(leader: str, others: Sequence[Candidate]) -> bool:
    """Is the leader an older version that does not read all that is on record? It can write nothing."""
    return any(one.node == leader and not one.reads_pages for one in others)


def all_read_pages(peers: int, others: Sequence[Candidate], shared_before: bool) -> bool:
    """May small jobs' records share pages?

    Once all other controllers were heard to read them, and until one is heard that does not: an older version that is
    back answers its users from what it reads.
    """
    if any(not one.reads_pages for one in others):
        return False
    return shared_before or len(others) == peers


def early_after(leadership: Leadership, now_us: int) -> int:
    """How many changes on evidence in a row there are with one made now."""
    return leadership.early + 1 if now_us - leadership.since_us < CALM_US else 1


def step_down_reason(ours: Candidate, others: Sequence[Candidate], led_us: int) -> str:
    """Why a leader gives up its leadership by itself; empty: it goes on.

    One that computes several times slower than it should renews its lease and does little else: its answers come
    late, its passes later. It goes on if nobody who follows is clearly faster: then the load is to blame.
    """
    if ours.lag_us < SLOW_US or led_us < YIELDS_AFTER_US:
        return ""
    for one in others:
        warm = one.behind is not None and one.behind <= WARM
        if one.in_contact and warm and not one.deaf and one.lag_us * FASTER <= ours.lag_us:
            return f"its timers fire {ours.lag_us / SECOND_US:.1f} s late, those of {one.node} do not"
    return ""


class TimerLag:
    """How late a timer fires, smoothed: standing still once for a second and a half does not make a node slow."""

    def __init__(self, period_us: int) -> None:
        self._period_us = period_us
        self._last_us: int | None = None
        self._lag_us = 0.0

    def fired(self, now_us: int) -> None:
        """The timer fired."""
        if self._last_us is not None:
            late_us = max(0, now_us - self._last_us - self._period_us)
            self._lag_us += WEIGHT * (min(late_us, 4 * SECOND_US) - self._lag_us)
        self._last_us = now_us

    @property
    def us(self) -> int:
        """Microseconds; 0: it fires in time."""
        return round(self._lag_us)
