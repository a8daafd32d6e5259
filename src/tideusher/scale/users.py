"""The users of a scale run, as a process: they submit, poll and cancel through a load balancer."""

from collections import Counter, defaultdict
from pathlib import Path

import gevent
import msgspec

from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import Clock, to_s, to_us
from tideusher.scale import events
from tideusher.scale.endpoint import HubLink, run_role
from tideusher.scale.layout import Layout
from tideusher.scale.messages import Begin, Counted, Cut, Message, Traffic, is_cut
from tideusher.scale.settings import ScaleSettings, load_scale_settings
from tideusher.scale.workload import Submission, Workload
from tideusher.wire.jobs import CANCELLED, DONE, JobStatus

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, TRY_FOR_S, RETRY_S, POLL_S = 5.0, 2.0, 60.0, 1.0, 5.0
PROBE_S = 1.0
_IDLE_CONNECTIONS = 64


class Unanswered(Exception):
    """No final answer: the request is to be tried again."""


class Balancer:
    """Chooses a healthy controller in turn, of those that the users' region reaches."""

    def __init__(self, layout: Layout, controllers: int) -> None:
        numbers, users = range(controllers), layout.services
        places = [layout.controller_place(number) for number in numbers]
        self._clients = [HttpClient(layout.controller(n), SUBMIT_TIMEOUT_S, _IDLE_CONNECTIONS) for n in numbers]
        self._regions = [place.region for place in places]
        self._region = users.region
        self._delays_s = [to_s(layout.delay_us(users, place)) for place in places]
        self._healthy = [False] * controllers
        self._turn = 0
        self.cut: list[tuple[int, int]] = []

    def start(self) -> None:
        """Probe each controller once a second."""
        for number in range(len(self._clients)):
            gevent.spawn(self._probe, number)

    def _probe(self, number: int) -> None:
        while True:
            try:
                status, _ = self._clients[number].call("GET", "/healthz", timeout_s=1.0)
                self._healthy[number] = status == 200
            except CallFailed:
                self._healthy[number] = False
            gevent.sleep(PROBE_S)

    def call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """One request; raises CallFailed."""
        count = len(self._clients)
        for step in range(count):
            number = (self._turn + step) % count
            if self._healthy[number] and not is_cut(self.cut, self._region, self._regions[number]):
                self._turn = number + 1
                gevent.sleep(2 * self._delays_s[number])
                return self._clients[number].call(method, path, body, timeout_s)
        raise CallFailed("no controller is healthy", unsent=True)


class UserCrowd:
    """A greenlet for each job."""

    def __init__(self, settings: ScaleSettings, clock: Clock, log: events.EventLog) -> None:
        self._settings, self._clock, self._log = settings, clock, log
        layout = Layout(settings)
        self._jobs = Workload(settings)
        self._balancer = Balancer(layout, settings.control.controllers)
        self.counts: Counter[str] = Counter()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)

    def handle(self, message: Message) -> None:
        """The run begins, or regions lose or find each other."""
        if isinstance(message, Cut):
            self._balancer.cut = message.pairs
        elif isinstance(message, Begin):
            self._balancer.start()
            gevent.spawn(self._submit_all, message.at_us)

    def counted(self) -> Counted:
        """Answers by kind of request and status."""
        return Counted("users", dict(self.counts), dict(self.traffic))

    def _submit_all(self, began_us: int) -> None:
        for one in self._jobs.submissions():
            left_us = began_us + one.at_us - self._clock.now_us()
            if left_us > 0:
                gevent.sleep(to_s(left_us))
            gevent.spawn(self._follow, one, began_us)

    def _follow(self, one: Submission, began_us: int) -> None:
        """A job from its submission until its user has seen its end."""
        submitted_us = self._clock.now_us()
        body = msgspec.json.encode(self._jobs.spec(one.job))
        status = self._repeat("POST", "/work", body, "submit", (200, 201), submitted_us)
        if status is None:
            self.counts["gave up"] += 1
            return
        self._log.write(events.Accepted(self._clock.now_us(), one.job, submitted_us))
        cancel_us = None if one.cancel_us is None else began_us + one.cancel_us
        while True:
            pause_s = POLL_S
            if cancel_us is not None:
                pause_s = min(pause_s, max(0.0, to_s(cancel_us - self._clock.now_us())))
            gevent.sleep(pause_s)
            if cancel_us is not None and self._clock.now_us() >= cancel_us:
                answer = self._repeat("POST", f"/work/{one.job}/abort", b"{}", "cancel", (200,), self._clock.now_us())
                cancel_us = None
            else:
                answer = self._poll(one.job)
            if answer is not None and self._note_end(one.job, answer):
                return

    def _note_end(self, job: str, answer: JobStatus) -> bool:
        if answer.status == CANCELLED:
            self._log.write(events.CancelTold(self._clock.now_us(), job))
        elif answer.status == DONE:
            self._log.write(events.DoneTold(self._clock.now_us(), job))
        return answer.status in (CANCELLED, DONE)

    def _poll(self, job: str) -> JobStatus | None:
        try:
            status, answer = self._call("GET", f"/work/{job}", None, "poll", POLL_TIMEOUT_S)
        except Unanswered:
            return None
        return msgspec.json.decode(answer, type=JobStatus) if status == 200 else None

    def _repeat(
        self, method: str, path: str, body: bytes, what: str, final: tuple[int, ...], since_us: int
    ) -> JobStatus | None:
        """Until an answer is final, or for a minute."""
        while self._clock.now_us() - since_us < to_us(TRY_FOR_S):
            try:
                status, answer = self._call(method, path, body, what, SUBMIT_TIMEOUT_S)
            except Unanswered:
                status, answer = 0, b""
            if status in final:
                return msgspec.json.decode(answer, type=JobStatus)
            if status in (400, 422):
                return None
            gevent.sleep(RETRY_S)
        return None

    def _call(self, method: str, path: str, body: bytes | None, what: str, timeout_s: float) -> tuple[int, bytes]:
        self.traffic["user-controller"].add(len(body or b""))
        try:
            status, answer = self._balancer.call(method, path, body, timeout_s)
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
