"""Many machines silent at once: have they fallen, do they hang, or are we cut off from them? Pure.

What silence may mean, and what tells it apart (PROTOCOL, workers and outages; docs/falls.md weighs the ways):

- A zone that is cut off is silent as a whole, its controllers too. Nothing of it is returned.
- Machines without power are silent while others of their zone, or a controller in it, are heard; calls to
  them hang before any connection is made.
- A machine that hangs still takes a connection and then says nothing. It may go on at any moment, with its images
  and, within its lease, its tasks: it is waited for as long as a replacement would take, which costs at most twice
  what the best choice would have.
- Calls of ours that fail say nothing while calls to machines that *are* heard fail as well.

Nothing is freed here: who has fallen is returned, and the answer to that is the proof (docs/safety.md, 3).
"""

import logging
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field, replace

from tideusher.clock import SECOND_US, to_s, to_us
from tideusher.config import Config
from tideusher.core.decide import reachability
from tideusher.core.decide.health import Health
from tideusher.core.decide.placement import slots_in
from tideusher.core.model.records import CRITICAL, RETURNING, UP, Job, Machine
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import JobSpec

#: What a call to a silent machine found. ANSWERED is a report, and no silence any more.
NO_WAY, HUNG = "no way to it", "it takes connections and does not answer"

CUT, FALLEN, ASKING = "cut", "fallen", "asking"

#: So many machines of a zone at once are a fall, not a few that died each by itself.
MASS_FAILURE_MACHINES = 4
#: Of a zone to which no way is known so many silent machines are called at a time, and without so many calls in
#: vain nothing is said of it.
SAMPLE = 8
#: Calls that may be under way at a time, and the part of the process's sockets that they may take.
AT_ONCE, SOCKETS_PART = 256, 8
#: A machine that hangs is asked again this often: it reports by itself when it goes on, but it may also die.
AGAIN_US, HANGS_AGAIN_US = SECOND_US // 2, 4 * SECOND_US
#: A control (a call to a machine that is heard) speaks for our calls this long.
CONTROL_US = 4 * SECOND_US
CONTROLS = 2
#: The cloud calls a machine failed some 30 s after it died: from when to when its list is asked in haste.
LIST_FROM_US, LIST_TO_US = 28 * SECOND_US, 70 * SECOND_US


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known at a moment of the silent machines of one zone. Counts of machines."""

    silent: int
    asked: int  # silent ones that were called since they fell silent, and did not answer
    witnesses: int  # others of the zone that were heard after the last of the silent ones was
    controller_only_zones: bool  # a controller of the zone is heard by us, and hears none of its workers
    controls_ok: bool  # a machine that is heard answered a call of ours just now
    controls: bool  # there was one to call


@dataclass(frozen=True, slots=True)
class Verdict:
    """What it means, and the evidence in words."""

    kind: str
    why: str


def judge(evidence: Evidence) -> Verdict:
    """Is a zone cut, have its silent machines fallen, or is it too early to say?

    Each way of being wrong has its price. A machine returned that was only cut off loses its tasks and images;
    one that is waited for in vain keeps its tasks down until the cloud's list tells of it, some 35 s later.
    """
    if evidence.asked < min(SAMPLE, evidence.silent):
        return Verdict(ASKING, "some of them are being called")
    if not evidence.controls:
        return Verdict(CUT, "no machine at all is heard: it is we who may be cut off")
    if not evidence.controls_ok:
        return Verdict(ASKING, "our calls do not reach machines that are heard either")
    if evidence.witnesses:
        return Verdict(FALLEN, f"{evidence.witnesses} others of its zone are heard since")
    if evidence.controller_only_zones:
        return Verdict(FALLEN, "a controller of its zone is heard and hears none of its workers")
    return Verdict(CUT, "nothing of its zone is heard: the zone is cut off")


@dataclass(frozen=True, slots=True)
class Probe:
    """A machine to call; `control`: one that is heard, to see whether our calls go through."""

    machine: Machine
    control: bool = False


@dataclass(slots=True)
class _Room:
    """What is free on a machine, less what was counted on already; for critical work also what makes way for it."""

    machine: Machine
    cpus: float
    gpus: float
    ram: float
    more: tuple[float, float, float]  # cpus, gpus and ram that work without protected time holds
    spoken_for: bool  # other work waits that will take what is free

    def take(self, spec: JobSpec) -> bool:
        """Count on room for one task of the job, if there is any that it may use."""
        critical = spec.rank == CRITICAL
        cpus, gpus, ram = self.more if critical else (0.0, 0.0, 0.0)
        if self.spoken_for and not critical:
            return False
        if not (self.machine.allows(spec) and slots_in(self.cpus + cpus, self.gpus + gpus, self.ram + ram, spec)):
            return False
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.ram -= spec.ram_gb
        return True


@dataclass(slots=True)
class SilenceReview:
    """What one look at the fleet asks for: calls, and by zone the machines to return with the evidence."""

    probes: list[Probe] = field(default_factory=list)
    fallen: dict[str, list[tuple[Machine, str]]] = field(default_factory=dict)
    list_due: bool = False  # ask for the cloud's list now


class MassFailureDetector:
    """Who is to be called, who has fallen. Judged anew at each look, from what is known at that moment."""

    def __init__(
        self,
        config: Config,
        machines: dict[str, Machine],
        types: Callable[[], dict[str, MachineType]],
        health: Health,
        crowded: Callable[[], bool],
        yields: Callable[[Job], bool],
    ) -> None:
        self._machines, self._types, self._health = machines, types, health
        self._crowded = crowded  # does work wait for room on a machine? Then what is free is spoken for
        self._yields = yields  # may work of the highest rank stop this job's tasks at any time?
        self._report_us = to_us(config.settings.workers.report_s)
        self._at_once = max(SAMPLE, min(AT_ONCE, config.settings.resources.max_sockets // SOCKETS_PART))
        #: Zones of which a controller that we hear hears none of its workers; told by whoever runs us.
        self.controller_only_zones: Set[str] = frozenset()
        self._control_us: dict[str, int] = {}  # of each zone, when a machine that is heard last answered a call
        self._called_us: dict[str, int] = {}  # and when one was last called
        self._first_us: dict[str, int] = {}  # of each zone with silent machines, since when there are some
        self._silent: set[str] = set()  # machines that are silent, as of the last look
        self._shaky: set[str] = set()  # zones of which many are
        self._open: dict[str, int] = {}  # zones that we know a way to, and since when
        self._sampled: set[str] = set()  # of these, zones of which enough machines were called in vain since
        self._told: dict[str, str] = {}
        self.log = logging.getLogger("falls")

    # ---------------------------------------------------------------- what calls found

    def answered(self, machine: Machine, now_us: int) -> None:
        """A call reached the machine. If it was one that is heard, our calls are known to go through."""
        self._control_us[machine.zone] = now_us

    def unanswered(self, machine: Machine, taken: bool, called_us: int, now_us: int) -> None:
        """A call to a silent machine was not answered; `taken`: the connection was made, or refused by it.

        One that was made before there was a way to the zone says nothing, though it ends after: the sample that
        was under way at the end of a cut would else be taken for fallen.
        """
        if called_us < self._open.get(machine.zone, 0):
            return
        machine.probes_failed += 1
        machine.probe_result = HUNG if taken else NO_WAY
        machine.last_probe_us = now_us

    def has_many_silent(self, zone: str) -> bool:
        """Are many machines of the zone silent, as of the last look?"""
        return zone in self._shaky

    def avoid_placement(self, machine: Machine, now_us: int) -> bool:
        """Is nothing to be placed there for now? It is silent, or deaf, or may be about to be found so with its zone.

        Tasks that a fall took were once placed again on machines that had died with theirs.
        """
        if machine.name in self._silent or reachability.is_unresponsive(machine, now_us):
            return True
        return machine.zone in self._shaky and now_us - machine.last_contact_us > self._report_us * 3 // 2

    # ---------------------------------------------------------------- one look

    def review(self, now_us: int, probing: Set[str]) -> SilenceReview:
        """Whom to call beside those being called, and who is to be returned."""
        zones = self._by_zone(self._health.suspects(now_us))
        self._silent = {machine.name for silent in zones.values() for machine in silent}
        self._shaky = {zone for zone, silent in zones.items() if len(silent) >= MASS_FAILURE_MACHINES}
        if not zones:
            self._first_us, self._open, self._sampled = {}, {}, set()
            self._told.clear()
            return SilenceReview()
        heard = self._heard(now_us)
        self._first_us = {zone: self._first_us.get(zone, now_us) for zone in zones}
        self._open = {zone: since_us for zone, since_us in self._open.items() if zone in zones}
        self._sampled &= self._open.keys()
        look = SilenceReview()
        free = self._at_once - len(probing)
        for zone, silent in sorted(zones.items()):
            verdict = self._judge(zone, silent, heard, now_us)
            controls = self._controls(zone, heard, now_us, probing)
            under_way = sum(machine.name in probing for machine in silent)
            # Where a way is known all are called at once; into what may be a cut only a sample is.
            most = free if zone in self._open else min(SAMPLE - under_way, free)
            calls = controls + self._due(silent, now_us, probing)[: max(0, most - len(controls))]
            look.probes += calls
            free -= len(calls)
            if verdict.kind == FALLEN:
                fallen = self._fallen(silent, verdict, now_us)
                if fallen:
                    look.fallen[zone] = fallen
            elif verdict.kind == CUT:
                look.list_due = look.list_due or self._list_due(silent, now_us)
        return look

    def _judge(self, zone: str, silent: list[Machine], heard: list[Machine], now_us: int) -> Verdict:
        # Evidence counts only from after the silence began: who was heard before it proves nothing of it.
        last_us = max(machine.last_us for machine in silent)
        witnesses = sum(m.zone == zone and m.last_contact_us > last_us for m in heard)
        controller_only_zones = zone in self.controller_only_zones
        others = () if witnesses else self._control_us.values()
        control_us = max([self._control_us.get(zone, -CONTROL_US), *others])
        controls_ok = control_us >= self._first_us[zone] and now_us - control_us <= CONTROL_US
        way = bool(controls_ok and (witnesses or controller_only_zones))
        if way and zone not in self._open:
            # What was called in vain before there was a way is void: at the end of a cut, all of a zone was.
            for machine in silent:
                machine.probes_failed, machine.probe_result = 0, ""
            self._open[zone] = now_us
        elif not way:
            self._open.pop(zone, None)
            self._sampled.discard(zone)
        asked = sum(machine.probes_failed > 0 for machine in silent)
        if zone in self._open and asked >= min(SAMPLE, len(silent)):
            self._sampled.add(zone)
        if zone in self._sampled:
            asked = len(silent)  # some of those that were called may be on their way back to the cloud already
        verdict = judge(Evidence(len(silent), asked, witnesses, controller_only_zones, controls_ok, bool(heard)))
        if len(silent) >= MASS_FAILURE_MACHINES and self._told.get(zone) != verdict.kind:
            self._told[zone] = verdict.kind
            silent_s = to_s(now_us - min(machine.last_us or now_us for machine in silent))
            self.log.info(
                "%d machines of %s silent for up to %.0f s: %s, as %s",
                len(silent), zone, silent_s, verdict.kind, verdict.why,
            )  # fmt: skip
        return verdict

    def _due(self, silent: list[Machine], now_us: int, probing: Set[str]) -> list[Probe]:
        """Those not asked yet first, then those asked longest ago."""
        return [
            Probe(machine)
            for machine in sorted(silent, key=lambda m: (m.probes_failed > 0, m.last_probe_us, m.name))
            if machine.name not in probing
            and now_us - machine.last_probe_us >= (HANGS_AGAIN_US if machine.probe_result == HUNG else AGAIN_US)
        ]

    def _controls(self, zone: str, heard: list[Machine], now_us: int, probing: Set[str]) -> list[Probe]:
        """Machines that are heard, to call beside the silent ones: of the zone, or of others where it has none."""
        if now_us - self._called_us.get(zone, -CONTROL_US) < CONTROL_US // 2:
            return []
        own = [machine for machine in heard if machine.zone == zone]
        pool = [machine for machine in own or heard if machine.name not in probing]
        pool.sort(key=lambda machine: (machine.last_probe_us, -machine.last_contact_us, machine.name))
        chosen = pool[:CONTROLS]
        if chosen:
            self._called_us[zone] = now_us
        for machine in chosen:
            machine.last_probe_us = now_us  # another next time: one may be about to fall itself
        return [Probe(machine, True) for machine in chosen]

    def _heard(self, now_us: int) -> list[Machine]:
        """Machines that have reported within an interval and a half."""
        since_us = now_us - self._report_us * 3 // 2
        return [m for m in self._machines.values() if m.phase == UP and m.last_contact_us > since_us and m.address]

    def _fallen(self, silent: list[Machine], verdict: Verdict, now_us: int) -> list[tuple[Machine, str]]:
        """Those of a zone's silent machines that are given up now, with the evidence against each."""
        needed = 1 if len(silent) >= MASS_FAILURE_MACHINES else 2
        out = []
        room: list[_Room] | None = None
        for machine in silent:
            if machine.probes_failed < needed:
                continue
            if machine.probe_result == HUNG:
                room = self._free_room(now_us) if room is None else room
                if not self._replace(machine, room, now_us):
                    continue
                why = "hangs for longer than a replacement takes"
            else:
                why = "does not answer"
            out.append((machine, f"{self._health.silence(machine, now_us)} and {why}; {verdict.why}"))
        return out

    def _list_due(self, silent: list[Machine], now_us: int) -> bool:
        """May the cloud's list soon tell what we cannot find out of these?"""
        since_us = now_us - max(machine.last_us for machine in silent)
        return len(silent) >= MASS_FAILURE_MACHINES and LIST_FROM_US <= since_us <= LIST_TO_US

    def _replace(self, machine: Machine, room: "list[_Room]", now_us: int) -> bool:
        """Has the machine hung for as long as having its tasks elsewhere would take?

        With room for all of them that is one fetch, else a boot on top. Room is what is free, unless other work
        waits for it; for critical work also what work without protected time holds, as that is stopped for it.
        Room that was counted on for one machine's tasks is not counted on for the next one's.
        """
        kind = self._types().get(machine.type)
        if kind is None:
            return True
        specs = [task.job.spec for task in machine.tasks.values()]
        trial = [replace(part) for part in room]
        fits = all(any(part.take(spec) for part in trial) for spec in specs)
        fetch_s = max((spec.image_gb for spec in specs), default=0.0) / max(kind.fetch_gb_per_s, 1e-6)
        replaced_us = to_us(fetch_s + (0.0 if fits and specs else kind.boot_s))
        if self._health.silent_us(machine, now_us) < replaced_us:
            return False
        if fits:
            room[:] = trial
        return True

    def _free_room(self, now_us: int) -> "list[_Room]":
        """What the tasks of machines that hang could have at once on machines that are heard."""
        crowded, out = self._crowded(), []
        for machine in self._heard(now_us):
            if machine.drain_reason:
                continue
            weak = [task.job.spec for task in machine.tasks.values() if self._yields(task.job)]
            more = (sum(s.cpus for s in weak), sum(s.gpus for s in weak), sum(s.ram_gb for s in weak))
            if machine.free_gpus > 0 or weak:
                out.append(_Room(machine, machine.free_cpus, machine.free_gpus, machine.free_ram_gb, more, crowded))
        return out

    @staticmethod
    def _by_zone(machines: Iterable[Machine]) -> dict[str, list[Machine]]:
        out: dict[str, list[Machine]] = {}
        for machine in machines:
            if machine.phase != RETURNING:
                out.setdefault(machine.zone, []).append(machine)
        return out
