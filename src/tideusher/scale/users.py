"""The users process of a scale run: users submit, poll and cancel jobs through a load balancer.

Each answer is checked as it arrives (`answers`). Some users query all controllers at once and repeat their requests.
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
from tideusher.scale.spelling import spell
from tideusher.scale.workload import Submission, Workload
from tideusher.wire.jobs import CANCELLED, DONE, JobStatus

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, GIVE_UP_S, RETRY_S = 5.0, 2.0, 60.0, 1.0
#: Time limits for querying all controllers after a change of state, and for hasty cancellations after a job was
#: accepted.
QUERY_ALL_WITHIN_S, HASTY_CANCEL_WITHIN_S = 0.02, 0.05
#: An unfinished job for which no request was answered for this long, with all faults over, counts as forgotten.
UNANSWERED_S = 30.0
#: Instead of a controller's number: the load balancer chooses the controller.
ANYWHERE = -1
SUBMIT, SUBMIT_AGAIN = "submit", "submit again"
SUBMISSIONS = (SUBMIT, SUBMIT_AGAIN)


class Unanswered(Exception):
    """The request got no answer and may be retried."""


class UserCrowd:
    """All users of a run, with one greenlet per job."""

    def __init__(self, settings: ScaleSettings, clock: Clock, log: events.EventLog) -> None:
        self._settings, self._clock, self._log = settings, clock, log
        self._controllers = settings.control.controllers
        self._workload = Workload(settings)
        self._balancer = Balancer(Layout(settings), self._controllers)
        self._rng = random.Random(f"{settings.seed}/users")
        self._spelling_rng = random.Random(f"{settings.seed}/spelling")
        self._answers = Answers(self._report_broken)
        self._cancel_asked_us: dict[str, int] = {}  # by job: when its user first asked to cancel it
        self._answered_us: dict[str, int] = {}  # by unfinished job: time of the last answer about it
        self._quiet_us: int | None = None
        self.counts: Counter[str] = Counter()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)

    def handle(self, message: Message) -> None:
        """Handles the start of the run, the end of all faults, and changes of the cut links."""
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
        """Returns the numbers of answers by request and status, after the check for forgotten jobs."""
        self._report_forgotten()
        self._log.flush()
        return Counted("users", dict(self.counts), dict(self.traffic))

    def _report_broken(self, job: str, rule: str, what: str) -> None:
        self._log.write(events.AnswerBroken(self._clock.now_us(), job, rule, what))

    def _report_forgotten(self) -> None:
        now_us = self._clock.now_us()
        if self._quiet_us is None or now_us - self._quiet_us < to_us(UNANSWERED_S):
            return
        for job, answered_us in self._answered_us.items():
            unanswered_s = to_s(now_us - max(answered_us, self._quiet_us))
            if unanswered_s > UNANSWERED_S:
                self._report_broken(job, events.UNANSWERED, f"nobody is told of it for {unanswered_s:.0f} s")

    # ---------------------------------------------------------------- jobs

    def _submit_all(self, began_us: int) -> None:
        for submission in self._workload.submissions():
            left_us = began_us + submission.at_us - self._clock.now_us()
            if left_us > 0:
                gevent.sleep(to_s(left_us))
            if self._quiet_us is not None:
                return
            gevent.spawn(self._follow, submission, began_us)

    def _follow(self, submission: Submission, began_us: int) -> None:
        """Follows a job from its submission until its user has seen it end."""
        submitted_us = self._clock.now_us()
        body = self._submission_of(submission.job)
        if self._send_until_answered(submission.job, "POST", "/work", body, SUBMIT, submitted_us) is None:
            self.counts["gave up"] += 1
            return
        self._log.write(events.Accepted(self._clock.now_us(), submission.job, submitted_us))
        cancel_us = self._cancel_us(submission, began_us)
        while True:
            pause_s = self._settings.users.poll_s
            if cancel_us is not None:
                pause_s = min(pause_s, max(0.0, to_s(cancel_us - self._clock.now_us())))
            gevent.sleep(pause_s)
            if cancel_us is not None and self._clock.now_us() >= cancel_us:
                answer = self._cancel(submission.job) if self._quiet_us is None else None
                cancel_us = None
            else:
                answer = self._poll(submission.job)
            if answer is not None and answer.status in (CANCELLED, DONE):
                return

    def _cancel_us(self, submission: Submission, began_us: int) -> int | None:
        if submission.cancel_us is None:
            return None
        if self._rng.random() < self._settings.users.hasty:
            return self._clock.now_us() + to_us(HASTY_CANCEL_WITHIN_S * self._rng.random())
        return began_us + submission.cancel_us

    def _cancel(self, job: str) -> JobStatus | None:
        self._answers.cancels(job)
        self._cancel_asked_us.setdefault(job, self._clock.now_us())
        if self._rng.random() < self._settings.users.repeats:
            for number in range(self._controllers):
                gevent.spawn(self._send_once, job, "POST", f"/work/{job}/abort", b"{}", "cancel again", number)
        return self._send_until_answered(job, "POST", f"/work/{job}/abort", b"{}", "cancel", self._clock.now_us())

    def _poll(self, job: str) -> JobStatus | None:
        return self._send_once(job, "GET", f"/work/{job}", None, "poll")

    def _query_all(self, job: str) -> None:
        """Polls all controllers within milliseconds and repeats the submission at each."""
        for number in range(self._controllers):
            body = self._submission_of(job)
            after_s = QUERY_ALL_WITHIN_S * self._rng.random()
            gevent.spawn_later(after_s, self._send_once, job, "GET", f"/work/{job}", None, "look", number)
            gevent.spawn_later(after_s, self._send_once, job, "POST", "/work", body, SUBMIT_AGAIN, number)

    def _submission_of(self, job: str) -> bytes:
        """Returns the job's submission, in another spelling each time."""
        return spell(self._workload.spec(job), self._spelling_rng)

    # ---------------------------------------------------------------- requests

    def _send_until_answered(
        self, job: str, method: str, path: str, body: bytes, request: str, since_us: int
    ) -> JobStatus | None:
        """Repeats a request until it returns the job's state or is refused, for at most GIVE_UP_S."""
        while self._clock.now_us() - since_us < to_us(GIVE_UP_S):
            before = self._answers.known(job)
            try:
                status, answer = self._call(method, path, body, request, SUBMIT_TIMEOUT_S)
            except Unanswered:
                status, answer = 0, b""
            job_status = self._check_answer(job, before, status, answer, request)
            if job_status is not None:
                return job_status
            if status in (400, 422):
                return None
            gevent.sleep(RETRY_S)
        return None

    def _send_once(
        self, job: str, method: str, path: str, body: bytes | None, request: str, number: int = ANYWHERE
    ) -> JobStatus | None:
        """Sends a request to a controller or through the balancer; returns None if the answer has no state."""
        before = self._answers.known(job)
        try:
            status, answer = self._call(method, path, body, request, POLL_TIMEOUT_S, number)
        except Unanswered:
            return None
        return self._check_answer(job, before, status, answer, request)

    def _check_answer(self, job: str, before: Known, status: int, answer: bytes, request: str) -> JobStatus | None:
        """Checks an answer and returns the state in it, or None if it has none."""
        if status not in (200, 201):
            self._answers.refused(job, before, status, request)
            if request in SUBMISSIONS:
                self._answers.rejected(job, status, request)
            return None
        job_status: JobStatus = msgspec.json.decode(answer, type=JobStatus)
        now_us = self._clock.now_us()
        if job_status.status == CANCELLED and before.final != CANCELLED:
            self._log.write(events.CancelTold(now_us, job, self._cancel_asked_us.get(job, 0)))
        elif job_status.status == DONE and before.final != DONE:
            self._log.write(events.DoneTold(now_us, job))
        is_new = self._answers.told(job, before, job_status.status, job_status.done, request)
        if job_status.status in (CANCELLED, DONE):
            self._answered_us.pop(job, None)
        elif not self._answers.known(job).final:
            self._answered_us[job] = now_us
        if is_new and self._rng.random() < self._settings.users.close_looks:
            self._query_all(job)
        return job_status

    def _call(
        self, method: str, path: str, body: bytes | None, request: str, timeout_s: float, number: int = ANYWHERE
    ) -> tuple[int, bytes]:
        self.traffic["user-controller"].add(len(body or b""))
        try:
            if number == ANYWHERE:
                status, answer = self._balancer.call(method, path, body, timeout_s)
            else:
                status, answer = self._balancer.call_at(number, method, path, body, timeout_s)
        except CallFailed:
            self.counts[f"{request}.unanswered"] += 1
            raise Unanswered from None
        self.traffic["controller-user"].add(len(answer))
        self.counts[f"{request}.{status}"] += 1
        return status, answer


def main(arguments: list[str]) -> None:
    """Runs the process: `users FILE DIRECTORY`."""
    path, directory = arguments
    settings = load_scale_settings(path)
    log = events.EventLog(Path(directory) / "events-users.jsonl")
    crowd = UserCrowd(settings, Clock(), log)
    HubLink(Layout(settings).hub, "users").serve(crowd.handle, crowd.counted)
    log.close()


if __name__ == "__main__":
    run_role(main)
