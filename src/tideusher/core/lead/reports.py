"""Processes worker reports: what they prove, and which commands go into their answers.

Places, quota and zones are released only by what a report proves (docs/safety.md, 3), and `run` is sent only
from here (safety 4). This module interprets the reports; the cluster carries out the transitions.
"""

import logging
from collections.abc import Callable

from tideusher.clock import SECOND_US, to_s, to_us
from tideusher.core.decide import reachability, task_failures
from tideusher.core.decide.starts import MAY_CHANGE, Kind, refusal, zones_of_others
from tideusher.core.lead.cluster import Cluster, describe_machine
from tideusher.core.model.records import ASSIGNED, BOOTING, COMMITTING, OPEN, SEEN, UP, Job, Machine, Task
from tideusher.invariants import Rule
from tideusher.wire import workers
from tideusher.wire.amounts import DURATION
from tideusher.wire.workers import Command, Report, TaskReport

#: A fetch takes up to this many times as long as the machine type's rate implies: rates differ by a third.
FETCH_TIME_FACTOR = 1.5
#: The share of the gang members' wait for one another that a fetch may take.
FETCH_SHARE_OF_GANG_WAIT = 0.8


class Reports:
    """Applies reports to a cluster, which owns the state."""

    def __init__(self, cluster: Cluster) -> None:
        self._c = cluster
        self._report_us = to_us(cluster.config.settings.workers.report_s)
        self.log = cluster.log

    def answer(
        self, report: Report, now_us: int, may_start: Callable[[str], bool] = lambda job: True
    ) -> list[Command]:
        """Applies a worker's report; returns the commands for its answer.

        `may_start`: whether tasks of a job may be started by this answer.
        """
        machine = self._c.machines.get(report.machine)
        if machine is None:
            machine = self._c.adopt(report, now_us)
        strays = self._digest(machine, report, now_us, asked=True)
        if strays is None:
            if not self._is_overtaken_by_calls(machine, report):
                return []
            self._record_overtaken(machine, report, now_us)
            strays = []
        budget = workers.CommandBudget()
        return [command for command in strays if budget.take(command)] + self._commands(machine, may_start, budget)

    def apply(self, report: Report, now_us: int) -> None:
        """Applies a report that came as the answer to a direct call.

        It gets no answer, so no `run` may be counted as sent with it. Nor does it prove that the answer to the
        worker's own last report has arrived, which may still be in transit. The report of a worker that follows a
        newer leader is ignored: what that leader has placed there cannot be judged here.
        """
        machine = self._c.machines.get(report.machine)
        if machine is not None and report.token <= self._c.token:
            self._digest(machine, report, now_us, asked=False)

    def _digest(self, machine: Machine, report: Report, now_us: int, asked: bool) -> list[Command] | None:
        """Applies a report; returns commands for attempts that hold no place, or None if the report is stale.

        `asked`: the worker sent it by itself, so its earlier reports have been answered or abandoned.
        """
        if (report.session, report.serial) <= (machine.session, machine.serial):
            return None  # late or repeated: older than what is known
        new_session = machine.last_contact_us > 0 and report.session > machine.session
        contact_us = now_us
        machine.session, machine.serial = report.session, report.serial
        lost = effective = False  # whether an answer was lost, whether one was carried out
        if asked:
            behind = report.token < self._c.token
            lost = behind and machine.latest_own_report > (0, 0)
            effective = bool(machine.behind_us) and not behind
            if behind and machine.latest_own_report == (0, 0) and not machine.last_contact_us:
                # The first report may be a copy from before the election: the last contact that the controllers have
                # shared counts until the worker shows that it receives answers.
                contact_us = machine.seen_us or now_us
            machine.last_report_us = now_us
            machine.behind_us = (machine.behind_us or now_us) if behind else 0
            machine.latest_own_report = (report.session, report.serial)
        machine.last_contact_us, machine.probes_failed, machine.probe_result = contact_us, 0, ""
        self._c.health.heard(machine.zone, now_us)
        machine.address = report.address
        self._c.check_kind(machine, Kind(report.type, report.zone, report.spot), "its own report")
        if machine.phase == BOOTING:
            machine.phase = UP
            machine.idle_since_us = now_us
            self._c.health.boots.came_up(machine, now_us)
            if machine.saw_rental_answer or machine.listed:
                since_s = to_s(now_us - machine.rented_us)
                self.log.info("machine %s is up %.0f s after its rental", machine.name, since_s)
            else:
                self.log.info("machine %s is up; it was rented under an earlier leader", machine.name)
            self._c.dirty = True
        if report.recall_s is not None:
            self._recalled(machine, DURATION.clamp(report.recall_s), now_us)
        listed: dict[tuple[str, int, int], TaskReport] = {}
        for item in report.tasks:
            try:
                job_id, index = workers.parse_task_name(item.task)
            except ValueError:
                self.log.error("machine %s reports a task named %r", machine.name, item.task)
                continue
            listed[job_id, index, item.attempt] = item
        for (job_id, index), task in list(machine.tasks.items()):
            listed_item = listed.pop((job_id, index, task.attempt), None)
            if listed_item is not None:
                effective = effective or task.phase == ASSIGNED and task.sent is not None and task.sent > (0, 0)
                self._listed(task, listed_item, report, now_us)
            elif task.sent is not None and task.phase != COMMITTING:
                lost |= self._absent(task, report, new_session, now_us)
        if effective:
            reachability.record_effective_answer(machine)
        elif lost and reachability.record_ignored_answer(machine, self._report_us, now_us):
            self.release_unstarted(machine, "its machine does not receive its commands", now_us)
        return [
            command
            for (job_id, index, attempt), item in listed.items()
            if (command := self._stray(machine, job_id, index, attempt, item)) is not None
        ]

    def _is_overtaken_by_calls(self, machine: Machine, report: Report) -> bool:
        """True if this is the worker's newest report by itself, and only answers to calls are newer.

        Over slow links a call that was made later is answered sooner. What the report lists is known by then, but the
        worker waits for its answer, and only such an answer can start a task.
        """
        newest_own = (report.session, report.serial) > machine.latest_own_report
        return machine.phase == UP and report.session == machine.session and newest_own

    def _record_overtaken(self, machine: Machine, report: Report, now_us: int) -> None:
        machine.last_report_us = now_us
        machine.latest_own_report = (report.session, report.serial)
        if report.token >= self._c.token:
            machine.behind_us = 0

    def _listed(self, task: Task, item: TaskReport, report: Report, now_us: int) -> None:
        """Handles a task that the report lists."""
        task.phase, task.inherited = SEEN, False
        if task.sent is None:
            task.sent = (0, 0)
        if item.state == workers.EXITED:
            self._exited(task, item, now_us)
            return
        if item.state != task.state:
            self.log.debug("%s attempt %d on %s: %s", task.name, task.attempt, task.machine.name, item.state)
            task.state = item.state
            if item.state in (workers.ACTIVE, workers.WAITING):
                self._c.cluster_state.used_image(task)
                self._c.capacity_changes += 1
        elif item.state == workers.FETCHING:
            task.machine.images.pop(task.job.spec.image, None)  # the image was taken for present and is not
        if item.state == workers.ACTIVE and task.running_us is None:
            self._c.running(task, now_us)
            waited_us = self._c.wall_us() - task.job.submitted_us
            self._c.metrics.observe_wait(task.job.spec.job_class, max(0.0, to_s(waited_us)))

    def release_unstarted(self, machine: Machine, why: str, now_us: int) -> None:
        """Releases tasks whose `run` was not sent, or provably did not arrive, so that they may start elsewhere."""
        for task in list(machine.tasks.values()):
            if task.phase == ASSIGNED and task.sent is None and task.halt_grace_s is None:
                self._c.lost(task, why, now_us)

    def _absent(self, task: Task, report: Report, new_session: bool, now_us: int) -> bool:
        """Handles a task that may have been started and that the report does not list.

        That proves its absence if the worker has seen this leader's token (no older leader's command can start
        anything any more) and has sent a report since this leader's command (one report is in flight at a time, so
        the answer with the command was executed before, or never will be). The answer to a direct call proves nothing
        about a command still in transit: it once released a place on which the task started a moment later. A new
        session alone proves it for this leader's own commands, as their answers are dropped in it. It proves nothing
        about a command that an older leader may still send.

        Returns True if a command of this leader was lost in transit and is to be sent again.
        """
        assert task.sent is not None
        ours = task.sent > (0, 0)
        dropped = new_session and ours and report.session > task.sent[0]
        if not dropped and (report.token < self._c.token or (ours and task.machine.latest_own_report <= task.sent)):
            return False
        if task.phase == ASSIGNED and not task.inherited and not new_session and task.halt_grace_s is None:
            task.sent = None  # the answer was lost and the attempt never was on the machine: send `run` again
            return True
        reason = "its machine's lease ran out" if new_session else "its machine does not have it"
        self._c.lost(task, reason, now_us)
        return False

    def _exited(self, task: Task, item: TaskReport, now_us: int) -> None:
        """Handles a task that the report lists as exited: completes it or lets it run again."""
        job, machine = task.job, task.machine
        if item.cause == workers.CAUSE_DONE:
            machine.failures_by_job.clear()
            self._c.conditions.began(job)  # it may have run between two reports
            if task.running_us is not None:
                if not job.is_gang:
                    machine.completed(job, now_us - task.running_us)
                self._c.metrics.observe_run_time(job.spec.job_class, to_s(now_us - task.running_us))
            self._c.complete(job, task.index)
            self._c.free(task, now_us)
            return
        if job.status == OPEN and task.halt_grace_s is None:
            self.log.info("%s attempt %d on %s exited: %s", task.name, task.attempt, machine.name, item.cause)
            self._c.record_stop(job, task, f"it exited: {item.cause}")
        if item.cause == workers.CAUSE_ERROR:
            self._failed(job, machine, now_us)
        elif item.cause in (workers.CAUSE_FULL, workers.CAUSE_IN_USE, workers.CAUSE_UNKNOWN):
            job.not_before_us = now_us + SECOND_US
        self._c.discard(task, now_us, kept=bool(item.kept))
        self._c.free(task, now_us)

    def _failed(self, job: Job, machine: Machine, now_us: int) -> None:
        """Counts a failure against the machine; a job that fails on all machines backs off instead."""
        job.record_failure_on(machine.name, now_us)
        job.failures += 1
        machine.failures_by_job[job.spec.id] = machine.failures_by_job.get(job.spec.id, 0) + 1
        pause_us = task_failures.pause_us(job)
        if pause_us:
            job.not_before_us = max(job.not_before_us, now_us + pause_us)
        self._c.check_failures(machine, now_us)

    def _recalled(self, machine: Machine, recall_s: float, now_us: int) -> None:
        machine.recall_deadline_us = now_us + to_us(recall_s)
        if machine.drain_reason:
            return
        machine.drain_reason = "the cloud takes it back"
        self.log.info("machine %s will be taken back by the cloud in %.0f s", machine.name, recall_s)
        self._c.dirty = True
        for task in list(machine.tasks.values()):
            if task.job.spec.checkpoint_s and recall_s > task.job.spec.save_s:
                group = list(task.job.live.values()) if task.job.is_gang else [task]
                for member in group:
                    self._c.halt(member, task.job.spec.save_s + 1.0, "the cloud takes its machine back")

    def _stray(self, machine: Machine, job_id: str, index: int, attempt: int, item: TaskReport) -> Command | None:
        """Returns the command for a listed attempt that holds no place: `forget` if it has exited, else `halt`."""
        job = self._c.jobs.get(job_id)
        if item.state != workers.EXITED:
            self.log.info("stop %s attempt %d on %s: it holds no place", item.task, attempt, machine.name)
            return workers.halt(item.task, attempt, 0.0)
        if job is not None and item.cause == workers.CAUSE_DONE and 0 <= index < job.spec.tasks:
            self._c.complete(job, index)
            # `forget` is sent only after the completion is in the state service (safety 4).
            if job.status == OPEN and not self._c.is_saved(job, index):
                return None
        return workers.forget(item.task, attempt)

    def _commands(
        self, machine: Machine, may_start: Callable[[str], bool], budget: workers.CommandBudget
    ) -> list[Command]:
        """Returns the `run` and `halt` commands that are due for the machine's tasks, as far as they fit the answer.

        The others go into the answers to its next reports.
        """
        out = []
        for task in list(machine.tasks.values()):
            if task.halt_grace_s is not None:
                if task.phase == SEEN or task.inherited or task.sent is not None:
                    halt = workers.halt(task.name, task.attempt, task.halt_grace_s)
                    if not budget.take(halt):
                        break
                    out.append(halt)
            elif task.phase == ASSIGNED and task.sent is None and machine.phase == UP and task.job.status == OPEN:
                if not may_start(task.job.spec.id) or self._would_time_out(task) or not self._may_start(task):
                    continue
                run = workers.run(task.name, task.attempt)
                if not budget.take(run):
                    break
                # The only place where `run` is ever sent (safety 4).
                task.sent = (machine.session, machine.serial)
                out.append(run)
        return out

    def _may_start(self, task: Task) -> bool:
        """Checks the placement a last time before `run` is sent; a task that may not start there is released."""
        why = refusal(task.job, task.machine, zones_of_others(task.job, task))
        if why is None:
            if self.log.isEnabledFor(logging.DEBUG):
                placement = describe_machine(task.machine)
                self.log.debug(
                    "start %s attempt %d on %s, token %d", task.name, task.attempt, placement, self._c.token
                )
            return True
        if why not in MAY_CHANGE:
            violation = f"{task.name} attempt {task.attempt} on {describe_machine(task.machine)}: {why}"
            self._c.invariants.violated(Rule.START, violation)
        self._c.metrics.count("starts_withheld", why.name.lower())
        self._c.lost(task, f"it may not start there: {why}", task.placed_us)
        return False

    def _would_time_out(self, task: Task) -> bool:
        """True if this gang member would give up waiting before the others have their image.

        A member that has its image waits `gang_wait_s` for the rest. Where a fetch took longer, the members that
        had the image gave up, the gang was stopped together with the fetches, and the same happened at the next
        attempt. So these members get `run` once the fetches are done.
        """
        job, machine = task.job, task.machine
        spec, kind = job.spec, self._c.fleet.types.get(machine.type)
        if not job.is_gang or kind is None or spec.image not in machine.images:
            return False
        longest_s = spec.image_gb / max(kind.fetch_gb_per_s, 1e-6) * FETCH_TIME_FACTOR
        if longest_s < self._c.config.settings.workers.gang_wait_s * FETCH_SHARE_OF_GANG_WAIT:
            return False
        return any(spec.image not in other.machine.images for other in job.live.values())
