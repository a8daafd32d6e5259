"""The users of a scale run, as a process: they submit, poll and cancel through a load balancer.

What they are told is judged as it comes (`answers`); some ask at all controllers at once, and repeat themselves.
"""

import random
from collections import Counter, defaultdict
from pathlib import Path

import gevent
import msgspec

from tideusher.actors.http import CallFailed
from tideusher.clock import Clock, to_s, to_us
from tideusher.scale import events
from tideusher.scale.answers import Answers, Known
from tideusher.scale.balancer import Balancer
from tideusher.scale.endpoint import HubLink, run_role
from tideusher.scale.layout import Layout
from tideusher.scale.messages import Begin, Counted, Cut, LinkCuts, Message, Quiet, Traffic
from tideusher.scale.settings import ScaleSettings, load_scale_settings
from tideusher.scale.workload import Submission, Workload
from tideusher.wire.jobs import CANCELLED, DONE, JobStatus

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, TRY_FOR_S, RETRY_S = 5.0, 2.0, 60.0, 1.0
#: Close looks come within this time of what they look at, and a hasty cancellation of the acceptance.
LOOK_WITHIN_S, HASTY_WITHIN_S = 0.02, 0.05
#: A job that is not over and about which nobody was answered for so long, with all faults over, is forgotten.
UNANSWERED_S = 30.0
ANYWHERE = -1


class Unanswered(Exception):
    """No final answer: the request is to be tried again."""


class UserCrowd:
    """A greenlet for each job."""

    def __init__(self, settings: ScaleSettings, clock: Clock, log: events.EventLog) -> None:
        self._settings, self._clock, self._log = settings, clock, log
        self._controllers = settings.control.controllers
        self._jobs = Workload(settings)
        self._balancer = Balancer(Layout(settings), self._controllers)
        self._rng = random.Random(f"{settings.seed}/users")
        self._answers = Answers(self._broken)
        self._answered_us: dict[str, int] = {}  # of jobs that are not over: when somebody was last told of it
        self._quiet_us: int | None = None
        self.counts: Counter[str] = Counter()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)

    def handle(self, message: Message) -> None:
        """The run begins or falls quiet, or ways are cut and there again."""
        match message:
            case Cut():
                self._balancer.cut = message.pairs
            case LinkCuts():
                self._balancer.link_cuts = message
            case Quiet():
                self._quiet_us = self._clock.now_us()
            case Begin():
                self._balancer.start()
                gevent.spawn(self._submit_all, message.at_us)

    def counted(self) -> Counted:
        """Answers by kind of request and status."""
        self._look_for_forgotten()
        self._log.flush()
        return Counted("users", dict(self.counts), dict(self.traffic))

    def _broken(self, job: str, rule: str, what: str) -> None:
        self._log.write(events.AnswerBroken(self._clock.now_us(), job, rule, what))

    def _look_for_forgotten(self) -> None:
        now_us = self._clock.now_us()
        if self._quiet_us is None or now_us - self._quiet_us < to_us(UNANSWERED_S):
            return
        for job, answered_us in self._answered_us.items():
            silent_s = to_s(now_us - max(answered_us, self._quiet_us))
            if silent_s > UNANSWERED_S:
                self._broken(job, events.UNANSWERED, f"nobody is told of it for {silent_s:.0f} s")

    # ---------------------------------------------------------------- jobs

    def _submit_all(self, began_us: int) -> None:
        for one in self._jobs.submissions():
            left_us = began_us + one.at_us - self._clock.now_us()
            if left_us > 0:
                gevent.sleep(to_s(left_us))
            if self._quiet_us is not None:
                return
            gevent.spawn(self._follow, one, began_us)

    def _follow(self, one: Submission, began_us: int) -> None:
        """A job from its submission until its user has seen its end."""
        submitted_us = self._clock.now_us()
        body = msgspec.json.encode(self._jobs.spec(one.job))
        if self._repeat(one.job, "POST", "/work", body, "submit", submitted_us) is None:
            self.counts["gave up"] += 1
            return
        self._log.write(events.Accepted(self._clock.now_us(), one.job, submitted_us))
        cancel_us = self._cancel_us(one, began_us)
        while True:
            pause_s = self._settings.users.poll_s
            if cancel_us is not None:
                pause_s = min(pause_s, max(0.0, to_s(cancel_us - self._clock.now_us())))
            gevent.sleep(pause_s)
            if cancel_us is not None and self._clock.now_us() >= cancel_us:
                answer = self._cancel(one.job) if self._quiet_us is None else None
                cancel_us = None
            else:
                answer = self._poll(one.job)
            if answer is not None and answer.status in (CANCELLED, DONE):
                return

    def _cancel_us(self, one: Submission, began_us: int) -> int | None:
        if one.cancel_us is None:
            return None
        if self._rng.random() < self._settings.users.hasty:
            return self._clock.now_us() + to_us(HASTY_WITHIN_S * self._rng.random())
        return began_us + one.cancel_us

    def _cancel(self, job: str) -> JobStatus | None:
        self._answers.cancels(job)
        if self._rng.random() < self._settings.users.repeats:
            for number in range(self._controllers):
                gevent.spawn(self._once, job, "POST", f"/work/{job}/abort", b"{}", "cancel again", number)
        return self._repeat(job, "POST", f"/work/{job}/abort", b"{}", "cancel", self._clock.now_us())

    def _poll(self, job: str) -> JobStatus | None:
        return self._once(job, "GET", f"/work/{job}", None, "poll")

    def _look_closely(self, job: str) -> None:
        """Ask at all controllers within milliseconds, and repeat the submission there."""
        body = msgspec.json.encode(self._jobs.spec(job))
        for number in range(self._controllers):
            after_s = LOOK_WITHIN_S * self._rng.random()
            gevent.spawn_later(after_s, self._once, job, "GET", f"/work/{job}", None, "look", number)
            gevent.spawn_later(after_s, self._once, job, "POST", "/work", body, "submit again", number)

    # ---------------------------------------------------------------- requests

    def _repeat(self, job: str, method: str, path: str, body: bytes, what: str, since_us: int) -> JobStatus | None:
        """Until it is answered with the job's state, or refused, or for a minute."""
        while self._clock.now_us() - since_us < to_us(TRY_FOR_S):
            before = self._answers.known(job)
            try:
                status, answer = self._call(method, path, body, what, SUBMIT_TIMEOUT_S)
            except Unanswered:
                status, answer = 0, b""
            told = self._take(job, before, status, answer, what)
            if told is not None:
                return told
            if status in (400, 422):
                return None
            gevent.sleep(RETRY_S)
        return None

    def _once(
        self, job: str, method: str, path: str, body: bytes | None, what: str, number: int = ANYWHERE
    ) -> JobStatus | None:
        """One request, at this controller or wherever the balancer sends it; None: it told no state."""
        before = self._answers.known(job)
        try:
            status, answer = self._call(method, path, body, what, POLL_TIMEOUT_S, number)
        except Unanswered:
            return None
        return self._take(job, before, status, answer, what)

    def _take(self, job: str, before: Known, status: int, answer: bytes, what: str) -> JobStatus | None:
        """Judge an answer; returns the state that it tells."""
        if status not in (200, 201):
            self._answers.refused(job, before, status, what)
            return None
        told: JobStatus = msgspec.json.decode(answer, type=JobStatus)
        now_us = self._clock.now_us()
        if told.status == CANCELLED and before.final != CANCELLED:
            self._log.write(events.CancelTold(now_us, job))
        elif told.status == DONE and before.final != DONE:
            self._log.write(events.DoneTold(now_us, job))
        news = self._answers.told(job, before, told.status, told.done, what)
        if told.status in (CANCELLED, DONE):
            self._answered_us.pop(job, None)
        elif not self._answers.known(job).final:
            self._answered_us[job] = now_us
        if news and self._rng.random() < self._settings.users.close_looks:
            self._look_closely(job)
        return told

    def _call(
        self, method: str, path: str, body: bytes | None, what: str, timeout_s: float, number: int = ANYWHERE
    ) -> tuple[int, bytes]:
        self.traffic["user-controller"].add(len(body or b""))
        try:
            if number == ANYWHERE:
                status, answer = self._balancer.call(method, path, body, timeout_s)
            else:
                status, answer = self._balancer.call_at(number, method, path, body, timeout_s)
        except CallFailed:
            self.counts[f"{what}.unanswered"] += 1
            raise Unanswered from None
        self.traffic["controller-user"].add(len(answer))
        self.counts[f"{what}.{status}"] += 1
        return status, answer


def main(arguments: list[str]) -> None:
    """`users FILE DIRECTORY`"""
    path, directory = arguments
    settings = load_scale_settings(path)
    log = events.EventLog(Path(directory) / "events-users.jsonl")
    crowd = UserCrowd(settings, Clock(), log)
    HubLink(Layout(settings).hub, "users").serve(crowd.handle, crowd.counted)
    log.close()


if __name__ == "__main__":
    run_role(main)
