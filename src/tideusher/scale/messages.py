"""What the processes of a scale run say to the one that runs it, and it to them: netstrings of JSON."""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import FrameDecoder, encode_frame


class HubMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base of all messages of a run."""


# -------------------------------------------------------------------- from the processes


class Ready(HubMessage, tag="ready"):
    """First message: which process this is, and that it serves."""

    name: str


class GangWaits(HubMessage, tag="gang-waits"):
    """A gang's task has its image and waits for the others of its attempt."""

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
    """Machines that were to stop have stopped: nothing of them runs any more."""

    order: int


class LeaderSeen(HubMessage, tag="leader-seen"):
    """The leader's key in the state service; empty: it was removed."""

    node: str


class Traffic(msgspec.Struct):
    """Messages and bytes, both ways."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message of this size."""
        self.messages += 1
        self.bytes += size


class Counted(HubMessage, tag="counted"):
    """Last message of a process: what it counted, by name, and the traffic by role or link."""

    name: str
    counts: dict[str, int] = {}
    traffic: dict[str, Traffic] = {}


# -------------------------------------------------------------------- to the processes


class Begin(HubMessage, tag="begin"):
    """The run begins at this steady time, which all processes of the machine share."""

    at_us: int


class Booted(HubMessage, tag="booted"):
    """A machine that is up from now on, played by the receiver under the given number of its addresses."""

    machine: str
    number: int
    zone: str
    spot: bool


class Stop(HubMessage, tag="stop"):
    """Machines that stop at once with all that is on them; `order` is given back once they have."""

    order: int
    machines: list[str]


class GangBegins(HubMessage, tag="gang-begins"):
    """All tasks of a gang's attempt wait: they run from this time on."""

    job: str
    attempt: int
    at_us: int


class GangBroken(HubMessage, tag="gang-broken"):
    """A task of a gang that had begun is gone: the others end."""

    job: str
    attempt: int


class Cut(HubMessage, tag="cut"):
    """Which pairs of regions have lost each other, from now on."""

    pairs: list[tuple[int, int]]


class LinkCut(msgspec.Struct, frozen=True):
    """One link of a controller, or of all (`controller` None): `hold` keeps what is sent for later, else refused."""

    controller: int | None
    link: str
    hold: bool = False


class LinkCuts(HubMessage, tag="link-cuts"):
    """Which links of controllers are cut from now on."""

    cuts: list[LinkCut]

    def find(self, controller: int, link: str) -> LinkCut | None:
        """The cut of this controller's link, if there is one."""
        return next((one for one in self.cuts if one.link == link and one.controller in (None, controller)), None)


class StateTroubles(HubMessage, tag="state-troubles"):
    """What is wrong with the state service from now on; shares are of transactions."""

    out: bool = False
    refused: list[int] = []
    slow_s: float = 0.0
    late: float = 0.0
    lost: float = 0.0


class Afflict(HubMessage, tag="afflict"):
    """What ails machines for so long: they hang, are deaf or mute, or are told that the cloud takes them."""

    machines: list[str]
    affliction: str
    for_s: float


class MessageTroubles(HubMessage, tag="message-troubles"):
    """The share of reports of which a copy comes later, and of direct calls that are held up."""

    copies: float = 0.0
    late_calls: float = 0.0


class Quiet(HubMessage, tag="quiet"):
    """All faults are over: nothing is submitted or cancelled any more."""


class LeaderIn(HubMessage, tag="leader-in"):
    """In which zone the leader is."""

    zone: int


class Finish(HubMessage, tag="finish"):
    """The run is over: say what was counted, and end."""


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
    """One message as a netstring."""
    return encode_frame(_encode(message))


class MessageDecoder(FrameDecoder[Message]):
    """Turns received bytes into messages of a run."""

    def __init__(self) -> None:
        super().__init__(_decode)


def is_cut(pairs: list[tuple[int, int]], one: int, other: int) -> bool:
    """Have these two regions lost each other?"""
    return (one, other) in pairs or (other, one) in pairs
