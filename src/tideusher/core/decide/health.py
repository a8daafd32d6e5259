"""Which machines have gone silent, were taken, or never came up. What the silence of many means: `falls`."""

from tideusher.clock import to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide.boots import Boots
from tideusher.core.decide.fleet import Fleet
from tideusher.core.model.contacts import ZoneContacts
from tideusher.core.model.records import BOOTING, UP, Machine
from tideusher.wire import cloud


class Health:
    """Judges silence. Nothing is freed for it: a machine found dead is returned, and that is the proof."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        machines: dict[str, Machine],
        fleet: Fleet,
        now_us: int,
        zones: ZoneContacts | None = None,
    ) -> None:
        self._config, self._policy, self._machines, self._fleet = config, policy, machines, fleet
        self._began_us = now_us
        self.boots = Boots(fleet.types, policy.fleet__boot_patience)
        self._surveyed_us = now_us  # when the cloud's list came last
        self._zones = zones or ZoneContacts(to_us(config.settings.workers.report_s))
        self._silence_us = max(
            to_us(policy.fleet__silence_reports * config.settings.workers.report_s),
            to_us(policy.fleet__silence_floor_s),
        )
        self._settle_us = to_us(config.settings.workers.lease_s)

    def is_suspect(self, machine: Machine, now_us: int) -> bool:
        """Has this machine been silent for so long that it should be probed?

        After a change of leader a machine that some controller told of counts from when it was heard there;
        of others, one that the cloud lists as running counts from our election: its silence before that says
        nothing. Right after a cut every machine of the zone has been
        silent for long, and the first to be heard again says nothing of the others: silence counts
        from when the zone was heard.
        """
        heard_us = self._zones.since_us(machine.zone, now_us)
        if machine.phase == UP:
            return now_us - max(machine.last_contact_us, heard_us) > self._silence_us
        if machine.phase == BOOTING and machine.seen_us:
            return now_us - max(machine.seen_us, heard_us) > self._silence_us
        if machine.phase == BOOTING and machine.inherited and self._should_be_up(machine):
            return now_us - max(self._began_us, heard_us) > self._settle_us
        return False

    def boot_us(self, machine: Machine) -> int:
        """How long one like it takes to boot, as its type says."""
        kind = self._fleet.types.get(machine.type)
        return to_us(kind.boot_s) if kind is not None else 0

    def listing_received(self, now_us: int) -> None:
        """The cloud's list has come."""
        self._surveyed_us = now_us

    def _should_be_up(self, machine: Machine) -> bool:
        """Is an inherited machine more than one that still boots?

        The cloud says so, or it lists the machine no more. A list is older than its arrival by at most
        twice its lag: one that describes a time after our election, and leaves out a machine rented
        before, says that the machine was taken while nobody led. Its tasks once waited for 90 s, until
        it should have booted.
        """
        if machine.listed:
            return machine.listed == cloud.UP
        return self._surveyed_us - self._began_us > to_us(2 * self._config.settings.cloud.list_lag_s)

    def silent_us(self, machine: Machine, now_us: int) -> int:
        """For how long nobody has heard it; of one that nobody told us of, since our election."""
        return now_us - (machine.last_us or self._began_us)

    def silence(self, machine: Machine, now_us: int) -> str:
        """How long it has been silent, in words; one inherited may never have reported to this leader."""
        if last_us := machine.last_us:
            return f"silent for {to_s(now_us - last_us):.0f} s"
        return f"not heard in the {to_s(now_us - self._began_us):.0f} s of this leadership"

    def suspects(self, now_us: int) -> list[Machine]:
        """All machines that have been silent for long. A pass over the fleet: for ticks, not reports."""
        return [machine for machine in self._machines.values() if self.is_suspect(machine, now_us)]

    def heard(self, zone: str, now_us: int) -> None:
        """A machine of the zone has reported."""
        self._zones.heard(zone, now_us)

    def taken(self, now_us: int) -> list[Machine]:
        """Machines whose notice has run out and that are silent since: the cloud has them."""
        silence_us = to_us(1.5 * self._config.settings.workers.report_s)
        return [
            m
            for m in self._machines.values()
            if m.phase == UP
            and m.recall_deadline_us is not None
            and now_us > m.recall_deadline_us
            and now_us - m.last_contact_us > silence_us
        ]

    def overdue(self, now_us: int) -> list[Machine]:
        """Machines that will not come up any more, as far as boots of their kind tell."""
        return self.boots.overdue(self._machines.values(), self._began_us, now_us)
