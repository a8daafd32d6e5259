"""The soak: scale runs of many seeds, some at a time, each judged and told in a line."""

import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tideusher.scale.errors import ScaleError
from tideusher.scale.judge import TIMED
from tideusher.scale.report import Result
from tideusher.scale.soak_findings import Findings, look
from tideusher.scale.soak_schedule import QUIET_S, SHORT_QUIET_S, Plan, draw

#: Ports of a run lie within so many of its first; below those that the system gives to connections.
PORTS, FIRST_PORT, LAST_PORT = 300, 20_000, 32_000
#: Tries to find free ones, and to make a run whose ports were taken meanwhile.
PORT_TRIES, RUN_TRIES = 40, 3
#: How lines of the soak begin in KNOWN-RED.txt.
KNOWN = "soak:"
#: A run that takes this much longer than its time hangs.
GRACE_S = 120.0
_LOOK_S = 0.5


@dataclass(frozen=True, slots=True)
class Soak:
    """What is asked of a soak."""

    seeds: list[int]
    directory: Path
    duration_s: float = 90.0
    workers: int | None = None
    parallel: int = 2
    tree: Path | None = None  # a checkout whose run.py the controllers are
    quiet_s: float = QUIET_S  # at the end of each
    timed: bool = True  # do rules count that a busy machine may break?
    known: tuple[str, ...] = ()  # parts of tracebacks of faults that are known, and passed over


@dataclass(slots=True)
class Outcome:
    """What became of a seed."""

    seed: int
    directory: Path
    result: Result | None
    error: str = ""
    findings: Findings = field(default_factory=Findings)
    uncounted: dict[str, int] = field(default_factory=dict)  # broken, but not counted as the machine may be busy

    @property
    def ok(self) -> bool:
        """Was it played, and nothing found?"""
        return self.result is not None and not self.findings.all


@dataclass(slots=True)
class _Running:
    seed: int
    directory: Path
    popen: "subprocess.Popen[bytes]"
    until_s: float
    tries: int


def play(soak: Soak, tell: Callable[[Outcome], None]) -> list[Outcome]:
    """Play all seeds; `tell` is called with each as it ends. All processes are ended, whatever happens."""
    waiting, running, found = list(reversed(soak.seeds)), list[_Running](), list[Outcome]()
    try:
        while waiting or running:
            while waiting and len(running) < soak.parallel:
                running.append(_start(soak, waiting.pop(), 1))
            time.sleep(_LOOK_S)
            for one in [one for one in running if _has_ended(one)]:
                running.remove(one)
                if one.popen.returncode == 2 and one.tries < RUN_TRIES and _port_was_taken(one):
                    running.append(_start(soak, one.seed, one.tries + 1))
                    continue
                found.append(_judge(soak, one))
                tell(found[-1])
    finally:
        for one in running:
            one.popen.terminate()
            one.popen.wait()
    return found


def _start(soak: Soak, seed: int, tries: int) -> _Running:
    directory = soak.directory / f"seed-{seed}"
    directory.mkdir(parents=True)
    quiet_s = soak.quiet_s if soak.timed else SHORT_QUIET_S
    settings = draw(Plan(seed, soak.duration_s, free_port(), soak.workers, quiet_s))
    file = soak.directory / f"seed-{seed}.toml"
    file.write_bytes(msgspec.toml.encode(settings))
    tree = ["--tree", str(soak.tree)] if soak.tree else []
    command = [sys.executable, "-m", "tideusher", "scale-run", str(file), "--out", str(directory), *tree]
    with (soak.directory / f"seed-{seed}.log").open("wb") as log:
        environment = {**os.environ, "LOG_LEVEL": "debug", "LOG_TIME": "1"}
        popen = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
    return _Running(seed, directory, popen, time.monotonic() + soak.duration_s + GRACE_S, tries)


def _has_ended(one: _Running) -> bool:
    if one.popen.poll() is None and time.monotonic() > one.until_s:
        one.popen.kill()
        one.popen.wait()
    return one.popen.poll() is not None


def _last_line(one: _Running) -> str:
    text = one.directory.with_suffix(".log").read_text("utf-8", "replace").strip()
    return text.splitlines()[-1] if text else "it said nothing"


def _port_was_taken(one: _Running) -> bool:
    taken = "port" in _last_line(one) or "in use" in _last_line(one)
    if taken:
        for path in one.directory.iterdir():
            path.unlink()
        one.directory.rmdir()
    return taken


def _judge(soak: Soak, one: _Running) -> Outcome:
    file = one.directory / "result.json"
    if not file.exists():
        return Outcome(one.seed, one.directory, None, f"exit {one.popen.returncode}: {_last_line(one)}")
    result: Result = msgspec.json.decode(file.read_bytes(), type=Result)
    uncounted = {} if soak.timed else {rule: n for rule, n in result.rules_broken.items() if n and rule in TIMED}
    findings = look(result, one.directory, set(uncounted), soak.known)
    return Outcome(one.seed, one.directory, result, "", findings, uncounted)


def free_port() -> int:
    """The first port of a run that is free as far as can be seen; raises ScaleError if there seems to be none."""
    for _ in range(PORT_TRIES):
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT, PORTS)
        if all(_is_free("127.0.0.1", port + n) for n in range(3)) and _is_free("127.1.0.1", port + 3):
            return port
    raise ScaleError("no free ports were found")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def read_known(path: Path) -> tuple[str, ...]:
    """The soak's lines of a KNOWN-RED.txt, `soak: PART OF A TRACEBACK | CAUSE | ISSUE`; none if it is not there."""
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    return tuple(line.split(" | ")[0][len(KNOWN) :].strip() for line in lines if line.startswith(KNOWN))


def parse_seeds(text: str) -> list[int]:
    """`1-50`, `7` or `1-3,9`; raises ScaleError for anything else."""
    try:
        return list(_seeds(text))
    except ValueError:
        raise ScaleError(f"--seeds {text}: a list such as 1-50 or 1-3,9") from None


def _seeds(text: str) -> Iterator[int]:
    for part in text.split(","):
        first, dash, last = part.partition("-")
        yield from range(int(first), int(last if dash else first) + 1)
