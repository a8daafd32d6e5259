"""Whether a submitted job can ever run, by what this controller knows of teams, machine types and other jobs."""

from collections.abc import Iterable
from typing import Any

from tideusher.actors.store import Store
from tideusher.config import Team
from tideusher.core.decide import admission
from tideusher.core.decide.admission import JobRefusal, RefusalKind, exceeds_limit, fits_no_machine, unknown_team
from tideusher.core.decide.conditions import unsatisfiable_reason
from tideusher.core.model import keys, machine_catalogue
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import JobSpec


class NotKnownYet(Exception):
    """What the answer depends on is not known here yet; the request may be repeated."""


class Admission:
    """Decides on jobs by the mirror of the state service."""

    def __init__(self, teams: Iterable[Team], store: Store, conditions: bool) -> None:
        """`conditions`: whether jobs with conditions are accepted."""
        self._teams = {team.name: team for team in teams}
        self._store, self._conditions = store, conditions
        self._types_read: list[int] = []  # stamps of the parts of the machine types that were read
        self._types: list[MachineType] = []

    def refusal_of(self, spec: JobSpec) -> JobRefusal | None:
        """Returns why the job can never run, None if it can; raises NotKnownYet."""
        team = self._teams.get(spec.team)
        if team is None:
            return unknown_team(spec.team)
        over_limit = exceeds_limit(spec, team)
        if over_limit is not None:
            return over_limit
        types = self._known_types()
        if not types:
            raise NotKnownYet("the machine types are not known yet")
        return self._condition_refusal(spec) if admission.fitting_types(spec, types) else fits_no_machine()

    def fitting_types(self, spec: JobSpec) -> list[str]:
        """Returns the names of the known machine types on which a task of the job fits, of those that it allows."""
        return admission.fitting_types(spec, self._known_types())

    def _condition_refusal(self, spec: JobSpec) -> JobRefusal | None:
        """Returns a refusal if the job's conditions are not supported or can never be met; raises NotKnownYet.

        The jobs that it names need no guard: if one ends while this job is accepted, the leader reads that, as
        it sees this job's record only after the record of every job that it names.
        """
        if not spec.has_extensions or not spec.conditional:
            return None
        if not self._conditions:
            reason = "hold, not_before, after, at_once and limit_s are not switched on here (jobs.conditions)"
            return JobRefusal(RefusalKind.CONDITION, reason)
        after = spec.after or []
        for is_fresh in (False, True):
            missing = [condition.job for condition in after if keys.job_key(condition.job) not in self._store.mirror]
            if missing and not is_fresh and not self._store.sync():
                raise NotKnownYet("the state service does not answer")
        if missing:
            reason = f"it is to start after {missing[0]}, and there is no such job"
            return JobRefusal(RefusalKind.CONDITION, reason)
        for condition in after:
            unsatisfiable = unsatisfiable_reason(condition, self._store.mirror[keys.job_key(condition.job)].value)
            if unsatisfiable:
                return JobRefusal(RefusalKind.CONDITION, unsatisfiable)
        return None

    def _known_types(self) -> list[MachineType]:
        stamps = self._type_stamps()
        if stamps and stamps != self._types_read:
            self._types_read = stamps
            self._types = machine_catalogue.read(self._value_of)
        return self._types

    def _type_stamps(self) -> list[int]:
        """Returns the stamps of the parts of the machine types."""
        stamps: list[int] = []
        while stamp := self._store.stamp_of(keys.types_key(len(stamps))):
            stamps.append(stamp)
        return stamps

    def _value_of(self, key: str) -> Any:
        stored = self._store.mirror.get(key)
        return stored.value if stored is not None else None
