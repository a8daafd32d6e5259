"""Finds machines that have gone silent, were reclaimed or never came up. See `mass_failures` for many at once."""

from tideusher.clock import to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide.boots import Boots
from tideusher.core.decide.fleet import Fleet
from tideusher.core.model.contacts import ZoneContacts
from tideusher.core.model.records import BOOTING, UP, Machine
from tideusher.wire import cloud


class Health:
    """Detects silent machines. Silence frees nothing: a machine found dead is returned, and that is the proof."""

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
        self._listing_received_us = now_us  # when the cloud's list last arrived
        self._zones = zones or ZoneContacts(to_us(config.settings.workers.report_s))
        self._silence_us = max(
            to_us(policy.fleet__silence_reports * config.settings.workers.report_s),
            to_us(policy.fleet__silence_floor_s),
        )
        self._settle_us = to_us(config.settings.workers.lease_s)

    def is_suspect(self, machine: Machine, now_us: int) -> bool:
        """True if this machine has been silent for so long that it should be probed.

        After a change of leader the silence of a machine that some controller reported counts from its contact with
        that controller. Of the other machines, one that the cloud lists as running counts from this leader's
        election, because earlier silence proves nothing. Right after a partition every machine of the zone has been
        silent for long, and the first one back in contact tells nothing about the others, so silence counts from when
        the zone was back in contact.
        """
        zone_contact_us = self._zones.since_us(machine.zone, now_us)
        if machine.phase == UP:
            return now_us - max(machine.last_contact_us, zone_contact_us) > self._silence_us
        if machine.phase == BOOTING and machine.seen_us:
            return now_us - max(machine.seen_us, zone_contact_us) > self._silence_us
        if machine.phase == BOOTING and machine.inherited and self._should_be_up(machine):
            return now_us - max(self._began_us, zone_contact_us) > self._settle_us
        return False

    def boot_us(self, machine: Machine) -> int:
        """Returns the boot time that the machine's type states."""
        kind = self._fleet.types.get(machine.type)
        return to_us(kind.boot_s) if kind is not None else 0

    def listing_received(self, now_us: int) -> None:
        """Record that the cloud's list arrived."""
        self._listing_received_us = now_us

    def _should_be_up(self, machine: Machine) -> bool:
        """True if an inherited machine can no longer be booting.

        Either the cloud lists it as running, or no longer lists it. A list is older than its arrival by at most twice
        its lag. One that describes a time after this leader's election and omits a machine rented before it shows
        that the machine was reclaimed while there was no leader. Without this its tasks waited for 90 s, until it
        should have booted.
        """
        if machine.listed:
            return machine.listed == cloud.UP
        return self._listing_received_us - self._began_us > to_us(2 * self._config.settings.cloud.list_lag_s)

    def silent_us(self, machine: Machine, now_us: int) -> int:
        """Returns how long no controller has heard it; without a known contact, the time since the election."""
        return now_us - (machine.last_us or self._began_us)

    def silence(self, machine: Machine, now_us: int) -> str:
        """Describes how long it has been silent; an inherited machine may never have reported to this leader."""
        if last_us := machine.last_us:
            return f"silent for {to_s(now_us - last_us):.0f} s"
        return f"not heard in the {to_s(now_us - self._began_us):.0f} s of this leadership"

    def suspects(self, now_us: int) -> list[Machine]:
        """Returns all machines that have been silent for long. Scans the fleet: call it on ticks, not on reports."""
        return [machine for machine in self._machines.values() if self.is_suspect(machine, now_us)]

    def heard(self, zone: str, now_us: int) -> None:
        """Record that a machine of the zone has reported."""
        self._zones.heard(zone, now_us)

    def taken(self, now_us: int) -> list[Machine]:
        """Returns machines that are silent since their notice ran out: the cloud has reclaimed them."""
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
        """Returns machines that will not come up, judging by the boots of their kind."""
        return self.boots.overdue(self._machines.values(), self._began_us, now_us)
