"""Decides whether machines that went silent have failed, hang or are partitioned from us. Pure.

The possible causes of silence and what distinguishes them (PROTOCOL, workers and outages; docs/falls.md compares the
approaches):

- A partitioned zone is silent in its entirety, including its controllers. None of its machines are returned.
- Machines that lost power are silent while other machines of their zone, or a controller in it, are in contact;
  calls to them time out before a connection is made.
- A hung machine still accepts connections but does not answer. It may resume at any moment with its images and,
  within its lease, its tasks, so it is awaited for as long as a replacement would take, which costs at most twice
  what the best choice would have.
- Failed calls prove nothing while calls to machines that *are* in contact fail as well.

Nothing is freed here: failed machines are returned, and the confirmed return is the proof (docs/safety.md, 3).
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

#: Results of a call to a silent machine. One that answers is no longer silent.
UNREACHABLE, HUNG = "no way to it", "it takes connections and does not answer"

PARTITIONED, FAILED, UNDECIDED = "cut", "fallen", "asking"

#: From this many machines of a zone at once it is a mass failure; fewer are independent failures.
MASS_FAILURE_MACHINES = 4
#: Machines called at a time in a zone not known to be reachable, and the unanswered calls that a verdict needs.
SAMPLE_MACHINES = 8
#: Limits on concurrent calls: a number, and the process's sockets divided by the second.
MAX_CONCURRENT_CALLS, SOCKET_SHARE_DIVISOR = 256, 8
#: Intervals between calls to a machine. A hung one is called less often: it reports when it resumes, but it may die.
CALL_INTERVAL_US, HUNG_CALL_INTERVAL_US = SECOND_US // 2, 4 * SECOND_US
#: How long an answered control call (to a machine that is in contact) counts as proof that our calls get through.
CONTROL_VALID_US = 4 * SECOND_US
CONTROL_MACHINES = 2
#: The cloud lists a machine as failed some 30 s after it died; its list is requested early within these limits.
LIST_FROM_US, LIST_TO_US = 28 * SECOND_US, 70 * SECOND_US


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known at one moment about the silent machines of a zone. Numbers count machines."""

    silent: int
    asked: int  # silent machines that did not answer a call since they went silent
    witnesses: int  # machines of the zone with a later contact than the last one of any silent machine
    controller_isolated: bool  # we are in contact with a controller of the zone, which hears none of its workers
    controls_ok: bool  # a machine in contact answered a call of ours recently
    controls: bool  # there was a machine in contact to call


@dataclass(frozen=True, slots=True)
class Verdict:
    """The conclusion, and the evidence in words."""

    kind: str
    why: str


def judge(evidence: Evidence) -> Verdict:
    """Returns whether a zone is partitioned, its silent machines have failed, or it is too early to tell.

    Either mistake has a cost. Returning a machine that was only partitioned loses its tasks and images; waiting for
    one that failed keeps its tasks down until the cloud's list reports it, some 35 s later.
    """
    if evidence.asked < min(SAMPLE_MACHINES, evidence.silent):
        return Verdict(UNDECIDED, "some of them are being called")
    if not evidence.controls:
        return Verdict(PARTITIONED, "no machine at all is heard: this controller may be cut off")
    if not evidence.controls_ok:
        return Verdict(UNDECIDED, "our calls do not reach machines that are heard either")
    if evidence.witnesses:
        return Verdict(FAILED, f"{evidence.witnesses} others of its zone are heard since")
    if evidence.controller_isolated:
        return Verdict(FAILED, "a controller of its zone is heard and hears none of its workers")
    return Verdict(PARTITIONED, "nothing of its zone is heard: the zone is cut off")


@dataclass(frozen=True, slots=True)
class Probe:
    """A machine to call; `control`: it is in contact, and is called to check that our calls get through."""

    machine: Machine
    control: bool = False


@dataclass(slots=True)
class _Capacity:
    """The unclaimed capacity of a machine; for critical work also what it may preempt there."""

    machine: Machine
    cpus: float
    gpus: float
    ram: float
    preemptible: tuple[float, float, float]  # cpus, gpus and ram held by tasks without protected time
    claimed: bool  # waiting work will take the free capacity

    def take(self, spec: JobSpec) -> bool:
        """Claim capacity for one task of the job; returns False if there is none that it may use."""
        critical = spec.rank == CRITICAL
        cpus, gpus, ram = self.preemptible if critical else (0.0, 0.0, 0.0)
        if self.claimed and not critical:
            return False
        if not (self.machine.allows(spec) and slots_in(self.cpus + cpus, self.gpus + gpus, self.ram + ram, spec)):
            return False
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.ram -= spec.ram_gb
        return True


@dataclass(slots=True)
class SilenceReview:
    """The outcome of a review: machines to call, and by zone the machines to return with the evidence."""

    probes: list[Probe] = field(default_factory=list)
    failed_machines: dict[str, list[tuple[Machine, str]]] = field(default_factory=dict)
    list_due: bool = False  # request the cloud's list now


class MassFailureDetector:
    """Selects silent machines to call and failed ones to return; every review starts from the current evidence."""

    def __init__(
        self,
        config: Config,
        machines: dict[str, Machine],
        types: Callable[[], dict[str, MachineType]],
        health: Health,
        work_waits: Callable[[], bool],
        preemptible: Callable[[Job], bool],
    ) -> None:
        self._machines, self._types, self._health = machines, types, health
        self._work_waits = work_waits  # returns True if work waits for capacity; free capacity then counts as claimed
        self._preemptible = preemptible  # returns True if work of the highest rank may preempt this job at any time
        self._report_us = to_us(config.settings.workers.report_s)
        self._max_calls = max(
            SAMPLE_MACHINES, min(MAX_CONCURRENT_CALLS, config.settings.resources.max_sockets // SOCKET_SHARE_DIVISOR)
        )
        #: Zones with a controller that we are in contact with and that hears none of its workers; set by the caller.
        self.controller_only_zones: Set[str] = frozenset()
        self._control_answered_us: dict[str, int] = {}  # by zone: the last answered call to a machine in contact
        self._control_called_us: dict[str, int] = {}  # by zone: the last call to a machine in contact
        self._silent_since_us: dict[str, int] = {}  # by zone: since when it has silent machines
        self._silent: set[str] = set()  # names of silent machines, as of the last review
        self._many_silent_zones: set[str] = set()  # zones with many silent machines
        self._reachable_since_us: dict[str, int] = {}  # zones known to be reachable, and since when
        self._sampled: set[str] = set()  # reachable zones with enough unanswered calls since
        self._logged_verdicts: dict[str, str] = {}
        self.log = logging.getLogger("falls")

    # ---------------------------------------------------------------- results of calls

    def answered(self, machine: Machine, now_us: int) -> None:
        """Record that a machine answered a call, which proves that our calls get through if it is in contact."""
        self._control_answered_us[machine.zone] = now_us

    def unanswered(self, machine: Machine, taken: bool, called_us: int, now_us: int) -> None:
        """Record that a silent machine did not answer a call; `taken`: it accepted or refused the connection.

        A call made before the zone became reachable proves nothing, even if it ends later: otherwise the sample that
        was being called at the end of a partition would be taken for failed.
        """
        if called_us < self._reachable_since_us.get(machine.zone, 0):
            return
        machine.probes_failed += 1
        machine.probe_result = HUNG if taken else UNREACHABLE
        machine.last_probe_us = now_us

    def has_many_silent(self, zone: str) -> bool:
        """True if many machines of the zone were silent at the last review."""
        return zone in self._many_silent_zones

    def avoid_placement(self, machine: Machine, now_us: int) -> bool:
        """True if nothing is to be placed on the machine for now.

        It is silent or unresponsive, or may soon be found silent together with its zone. Without this, tasks lost in
        a mass failure were placed again on machines that had died in the same failure.
        """
        if machine.name in self._silent or reachability.is_unresponsive(machine, now_us):
            return True
        return machine.zone in self._many_silent_zones and now_us - machine.last_contact_us > self._report_us * 3 // 2

    # ---------------------------------------------------------------- one review

    def review(self, now_us: int, probing: Set[str]) -> SilenceReview:
        """Returns the machines to call, beside those in `probing`, and the machines to return."""
        zones = self._by_zone(self._health.suspects(now_us))
        self._silent = {machine.name for silent in zones.values() for machine in silent}
        self._many_silent_zones = {zone for zone, silent in zones.items() if len(silent) >= MASS_FAILURE_MACHINES}
        if not zones:
            self._silent_since_us, self._reachable_since_us, self._sampled = {}, {}, set()
            self._logged_verdicts.clear()
            return SilenceReview()
        in_contact = self._in_contact(now_us)
        self._silent_since_us = {zone: self._silent_since_us.get(zone, now_us) for zone in zones}
        self._reachable_since_us = {
            zone: since_us for zone, since_us in self._reachable_since_us.items() if zone in zones
        }
        self._sampled &= self._reachable_since_us.keys()
        result = SilenceReview()
        calls_left = self._max_calls - len(probing)
        for zone, silent in sorted(zones.items()):
            verdict = self._judge(zone, silent, in_contact, now_us)
            controls = self._controls(zone, in_contact, now_us, probing)
            under_way = sum(machine.name in probing for machine in silent)
            # In a reachable zone all are called at once; in one that may be partitioned only a sample.
            max_calls = (
                calls_left if zone in self._reachable_since_us else min(SAMPLE_MACHINES - under_way, calls_left)
            )
            calls = controls + self._due_calls(silent, now_us, probing)[: max(0, max_calls - len(controls))]
            result.probes += calls
            calls_left -= len(calls)
            if verdict.kind == FAILED:
                failed_machines = self._failed_machines(silent, verdict, now_us)
                if failed_machines:
                    result.failed_machines[zone] = failed_machines
            elif verdict.kind == PARTITIONED:
                result.list_due = result.list_due or self._list_due(silent, now_us)
        return result

    def _judge(self, zone: str, silent: list[Machine], in_contact: list[Machine], now_us: int) -> Verdict:
        # Only contacts after the silence began are evidence; earlier ones prove nothing about it.
        last_us = max(machine.last_us for machine in silent)
        witnesses = sum(m.zone == zone and m.last_contact_us > last_us for m in in_contact)
        controller_isolated = zone in self.controller_only_zones
        others = () if witnesses else self._control_answered_us.values()
        control_us = max([self._control_answered_us.get(zone, -CONTROL_VALID_US), *others])
        controls_ok = control_us >= self._silent_since_us[zone] and now_us - control_us <= CONTROL_VALID_US
        reachable = bool(controls_ok and (witnesses or controller_isolated))
        if reachable and zone not in self._reachable_since_us:
            # Unanswered calls from before the zone was reachable are void: at the end of a partition, all were.
            for machine in silent:
                machine.probes_failed, machine.probe_result = 0, ""
            self._reachable_since_us[zone] = now_us
        elif not reachable:
            self._reachable_since_us.pop(zone, None)
            self._sampled.discard(zone)
        asked = sum(machine.probes_failed > 0 for machine in silent)
        if zone in self._reachable_since_us and asked >= min(SAMPLE_MACHINES, len(silent)):
            self._sampled.add(zone)
        if zone in self._sampled:
            asked = len(silent)  # some of the machines that were called may be returning already
        verdict = judge(Evidence(len(silent), asked, witnesses, controller_isolated, controls_ok, bool(in_contact)))
        if len(silent) >= MASS_FAILURE_MACHINES and self._logged_verdicts.get(zone) != verdict.kind:
            self._logged_verdicts[zone] = verdict.kind
            silent_s = to_s(now_us - min(machine.last_us or now_us for machine in silent))
            self.log.info(
                "%d machines of %s silent for up to %.0f s: %s, as %s",
                len(silent), zone, silent_s, verdict.kind, verdict.why,
            )  # fmt: skip
        return verdict

    def _due_calls(self, silent: list[Machine], now_us: int, probing: Set[str]) -> list[Probe]:
        """Returns the calls that are due: machines not called yet first, then by the time of the last call."""
        return [
            Probe(machine)
            for machine in sorted(silent, key=lambda m: (m.probes_failed > 0, m.last_probe_us, m.name))
            if machine.name not in probing
            and now_us - machine.last_probe_us
            >= (HUNG_CALL_INTERVAL_US if machine.probe_result == HUNG else CALL_INTERVAL_US)
        ]

    def _controls(self, zone: str, in_contact: list[Machine], now_us: int, probing: Set[str]) -> list[Probe]:
        """Returns machines in contact to call as controls: of the zone, or of other zones if it has none."""
        if now_us - self._control_called_us.get(zone, -CONTROL_VALID_US) < CONTROL_VALID_US // 2:
            return []
        own = [machine for machine in in_contact if machine.zone == zone]
        pool = [machine for machine in own or in_contact if machine.name not in probing]
        pool.sort(key=lambda machine: (machine.last_probe_us, -machine.last_contact_us, machine.name))
        chosen = pool[:CONTROL_MACHINES]
        if chosen:
            self._control_called_us[zone] = now_us
        for machine in chosen:
            machine.last_probe_us = now_us  # calls another machine next time: this one may be about to fail
        return [Probe(machine, True) for machine in chosen]

    def _in_contact(self, now_us: int) -> list[Machine]:
        """Returns the machines with a contact within the last one and a half report intervals."""
        since_us = now_us - self._report_us * 3 // 2
        return [m for m in self._machines.values() if m.phase == UP and m.last_contact_us > since_us and m.address]

    def _failed_machines(self, silent: list[Machine], verdict: Verdict, now_us: int) -> list[tuple[Machine, str]]:
        """Returns the silent machines of a zone that are given up now, with the evidence for each."""
        needed = 1 if len(silent) >= MASS_FAILURE_MACHINES else 2
        out = []
        capacity: list[_Capacity] | None = None
        for machine in silent:
            if machine.probes_failed < needed:
                continue
            if machine.probe_result == HUNG:
                capacity = self._free_capacity(now_us) if capacity is None else capacity
                if not self._outlasts_replacement(machine, capacity, now_us):
                    continue
                why = "hangs for longer than a replacement takes"
            else:
                why = "does not answer"
            out.append((machine, f"{self._health.silence(machine, now_us)} and {why}; {verdict.why}"))
        return out

    def _list_due(self, silent: list[Machine], now_us: int) -> bool:
        """True if the cloud's list may now tell whether these machines have failed."""
        since_us = now_us - max(machine.last_us for machine in silent)
        return len(silent) >= MASS_FAILURE_MACHINES and LIST_FROM_US <= since_us <= LIST_TO_US

    def _outlasts_replacement(self, machine: Machine, capacity: "list[_Capacity]", now_us: int) -> bool:
        """True if the machine has hung for as long as it would take to run its tasks elsewhere.

        That is one image fetch if there is capacity for all of them, and a boot on top if not. Free capacity counts
        unless other work waits for it; for critical work so does what tasks without protected time hold, as those
        are preempted for it. Capacity claimed for one machine's tasks is not counted again for the next machine's.
        """
        kind = self._types().get(machine.type)
        if kind is None:
            return True
        specs = [task.job.spec for task in machine.tasks.values()]
        trial = [replace(part) for part in capacity]
        fits = all(any(part.take(spec) for part in trial) for spec in specs)
        fetch_s = max((spec.image_gb for spec in specs), default=0.0) / max(kind.fetch_gb_per_s, 1e-6)
        replacement_us = to_us(fetch_s + (0.0 if fits and specs else kind.boot_s))
        if self._health.silent_us(machine, now_us) < replacement_us:
            return False
        if fits:
            capacity[:] = trial
        return True

    def _free_capacity(self, now_us: int) -> "list[_Capacity]":
        """Returns the capacity on machines in contact that the tasks of hung machines could use at once."""
        work_waits, out = self._work_waits(), []
        for machine in self._in_contact(now_us):
            if machine.drain_reason:
                continue
            low_priority = [task.job.spec for task in machine.tasks.values() if self._preemptible(task.job)]
            preemptible = (
                sum(s.cpus for s in low_priority),
                sum(s.gpus for s in low_priority),
                sum(s.ram_gb for s in low_priority),
            )
            if machine.free_gpus > 0 or low_priority:
                out.append(
                    _Capacity(
                        machine, machine.free_cpus, machine.free_gpus, machine.free_ram_gb, preemptible, work_waits
                    )
                )
        return out

    @staticmethod
    def _by_zone(machines: Iterable[Machine]) -> dict[str, list[Machine]]:
        out: dict[str, list[Machine]] = {}
        for machine in machines:
            if machine.phase != RETURNING:
                out.setdefault(machine.zone, []).append(machine)
        return out
