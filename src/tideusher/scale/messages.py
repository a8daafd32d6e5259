"""Messages between the processes of a scale run and the process that coordinates it: JSON in netstrings."""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import FrameDecoder, encode_frame


class HubMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base class of all messages of a run."""


# -------------------------------------------------------------------- from the processes


class Ready(HubMessage, tag="ready"):
    """First message of a process: its name; it is ready to serve."""

    name: str


class GangWaits(HubMessage, tag="gang-waits"):
    """A gang's task has its image and waits for the other tasks of its attempt."""

    job: str
    index: int
    attempt: int


class GangLeft(HubMessage, tag="gang-left"):
    """A gang's task exited or was lost."""

    job: str
    index: int
    attempt: int
    done: bool = False


class Stopped(HubMessage, tag="stopped"):
    """The machines of a Stop message have stopped; none of their tasks runs any more."""

    order: int


class LeaderSeen(HubMessage, tag="leader-seen"):
    """The node in the leader key of the state service; empty if the key was removed."""

    node: str


class Traffic(msgspec.Struct):
    """Number of messages and bytes, in both directions."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Counts a message of `size` bytes."""
        self.messages += 1
        self.bytes += size


class Counted(HubMessage, tag="counted"):
    """Last message of a process: its counters by name, and its traffic by role or link."""

    name: str
    counts: dict[str, int] = {}
    traffic: dict[str, Traffic] = {}


# -------------------------------------------------------------------- to the processes


class Begin(HubMessage, tag="begin"):
    """The run begins at this monotonic time; the clock is shared by all processes of the machine."""

    at_us: int


class Booted(HubMessage, tag="booted"):
    """A machine is up from now on; the receiver simulates it at the address with the given number."""

    machine: str
    number: int
    zone: str
    spot: bool


class Stop(HubMessage, tag="stop"):
    """Machines stop at once with all their tasks; Stopped returns `order` once they have."""

    order: int
    machines: list[str]


class GangBegins(HubMessage, tag="gang-begins"):
    """All tasks of a gang's attempt are waiting; they run from this time on."""

    job: str
    attempt: int
    at_us: int


class GangBroken(HubMessage, tag="gang-broken"):
    """A task of a running gang exited or was lost; the other tasks end."""

    job: str
    attempt: int


class Cut(HubMessage, tag="cut"):
    """The pairs of regions that are partitioned from now on."""

    pairs: list[tuple[int, int]]


class LinkCut(msgspec.Struct, frozen=True):
    """A cut link of one controller, or of all if `controller` is None.

    With `hold`, data is kept and delivered later; otherwise connections are refused.
    """

    controller: int | None
    link: str
    hold: bool = False


class LinkCuts(HubMessage, tag="link-cuts"):
    """The links of controllers that are cut from now on."""

    cuts: list[LinkCut]

    def find(self, controller: int, link: str) -> LinkCut | None:
        """Returns the cut of this controller's link, if there is one."""
        return next((cut for cut in self.cuts if cut.link == link and cut.controller in (None, controller)), None)


class StateTroubles(HubMessage, tag="state-troubles"):
    """The faults of the state service from now on; `late`, `lost` and `late_answers` are shares of transactions."""

    out: bool = False
    refused: list[int] = []
    slow_s: float = 0.0
    late: float = 0.0
    lost: float = 0.0
    late_answers: float = 0.0
    late_answer_s: float = 0.0


class Afflict(HubMessage, tag="afflict"):
    """A fault of machines for a time: they hang, are deaf or mute, or receive the cloud's recall notice."""

    machines: list[str]
    affliction: str
    for_s: float


class MessageTroubles(HubMessage, tag="message-troubles"):
    """The share of reports that are duplicated with a delay, and of direct calls that are delayed."""

    copies: float = 0.0
    late_calls: float = 0.0


class Quiet(HubMessage, tag="quiet"):
    """All faults are over; users submit and cancel no more jobs."""


class LeaderIn(HubMessage, tag="leader-in"):
    """The zone of the leader."""

    zone: int


class Finish(HubMessage, tag="finish"):
    """The run is over: the process sends its counters and ends."""


Message = (
    Ready
    | GangWaits
    | GangLeft
    | Stopped
    | LeaderSeen
    | Counted
    | Begin
    | Booted
    | Stop
    | GangBegins
    | GangBroken
    | Cut
    | LinkCuts
    | StateTroubles
    | Afflict
    | MessageTroubles
    | Quiet
    | LeaderIn
    | Finish
)
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def frame(message: Message) -> bytes:
    """Encodes a message as a netstring."""
    return encode_frame(_encode(message))


class MessageDecoder(FrameDecoder[Message]):
    """Decodes received bytes into messages of a run."""

    def __init__(self) -> None:
        super().__init__(_decode)


def is_cut(pairs: list[tuple[int, int]], region: int, other_region: int) -> bool:
    """Returns whether two regions are partitioned."""
    return (region, other_region) in pairs or (other_region, region) in pairs
