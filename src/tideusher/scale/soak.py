"""Runs the soak: scale runs of many seeds, several in parallel, each checked and reported as it ends."""

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

#: Size of a run's block of ports, and the range of the blocks, which lies below the ephemeral ports that the system
#: assigns to connections.
PORTS, FIRST_PORT, LAST_PORT = 300, 20_000, 32_000
#: Attempts to find free ports, and to start a run whose ports were taken in the meantime.
PORT_ATTEMPTS, RUN_ATTEMPTS = 40, 3
#: Prefix of the soak's lines in KNOWN-RED.txt.
KNOWN_PREFIX = "soak:"
#: A run that exceeds its duration by this much is considered hung and killed.
OVERTIME_S = 120.0
_POLL_S = 0.5


@dataclass(frozen=True, slots=True)
class Soak:
    """Parameters of a soak."""

    seeds: list[int]
    directory: Path
    duration_s: float = 90.0
    workers: int | None = None
    parallel: int = 2
    tree: Path | None = None  # checkout whose run.py is run as the controllers
    quiet_s: float = QUIET_S  # fault-free time at the end of each run
    timed: bool = True  # whether rules count that a busy machine may break
    known: tuple[str, ...] = ()  # substrings of the tracebacks of known faults, which are not counted


@dataclass(slots=True)
class Outcome:
    """Outcome of one seed."""

    seed: int
    directory: Path
    result: Result | None
    error: str = ""
    findings: Findings = field(default_factory=Findings)
    uncounted: dict[str, int] = field(
        default_factory=dict
    )  # broken rules that are ignored because the machine may be busy

    @property
    def ok(self) -> bool:
        """True if the run completed without findings."""
        return self.result is not None and not self.findings.all


@dataclass(slots=True)
class _Running:
    """A scale run in progress."""

    seed: int
    directory: Path
    popen: "subprocess.Popen[bytes]"
    deadline_s: float
    attempt: int


def play(soak: Soak, on_outcome: Callable[[Outcome], None]) -> list[Outcome]:
    """Runs all seeds and calls `on_outcome` as each one ends. Remaining processes are ended on any error."""
    waiting, running, outcomes = list(reversed(soak.seeds)), list[_Running](), list[Outcome]()
    try:
        while waiting or running:
            while waiting and len(running) < soak.parallel:
                running.append(_start_run(soak, waiting.pop(), 1))
            time.sleep(_POLL_S)
            for run in [run for run in running if _has_ended(run)]:
                running.remove(run)
                if run.popen.returncode == 2 and run.attempt < RUN_ATTEMPTS and _remove_if_port_taken(run):
                    running.append(_start_run(soak, run.seed, run.attempt + 1))
                    continue
                outcomes.append(_judge(soak, run))
                on_outcome(outcomes[-1])
    finally:
        for run in running:
            run.popen.terminate()
            run.popen.wait()
    return outcomes


def _start_run(soak: Soak, seed: int, attempt: int) -> _Running:
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
    return _Running(seed, directory, popen, time.monotonic() + soak.duration_s + OVERTIME_S, attempt)


def _has_ended(run: _Running) -> bool:
    if run.popen.poll() is None and time.monotonic() > run.deadline_s:
        run.popen.kill()
        run.popen.wait()
    return run.popen.poll() is not None


def _last_line(run: _Running) -> str:
    text = run.directory.with_suffix(".log").read_text("utf-8", "replace").strip()
    return text.splitlines()[-1] if text else "no output"


def _remove_if_port_taken(run: _Running) -> bool:
    taken = "port" in _last_line(run) or "in use" in _last_line(run)
    if taken:
        for path in run.directory.iterdir():
            path.unlink()
        run.directory.rmdir()
    return taken


def _judge(soak: Soak, run: _Running) -> Outcome:
    file = run.directory / "result.json"
    if not file.exists():
        return Outcome(run.seed, run.directory, None, f"exit {run.popen.returncode}: {_last_line(run)}")
    result: Result = msgspec.json.decode(file.read_bytes(), type=Result)
    uncounted = {} if soak.timed else {rule: n for rule, n in result.rules_broken.items() if n and rule in TIMED}
    findings = look(result, run.directory, set(uncounted), soak.known)
    return Outcome(run.seed, run.directory, result, "", findings, uncounted)


def free_port() -> int:
    """Returns the first port of a block that appears to be free; raises ScaleError if no such block is found.

    Only the first ports of a block are probed.
    """
    for _ in range(PORT_ATTEMPTS):
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT, PORTS)
        if all(_is_free("127.0.0.1", port + n) for n in range(3)) and _is_free("127.1.0.1", port + 3):
            return port
    raise ScaleError("no block of free ports was found")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def read_known(path: Path) -> tuple[str, ...]:
    """Returns the traceback substrings of the soak's lines in a KNOWN-RED.txt; none if the file does not exist.

    Such a line has the form `soak: PART OF A TRACEBACK | CAUSE | ISSUE`.
    """
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    return tuple(line.split(" | ")[0][len(KNOWN_PREFIX) :].strip() for line in lines if line.startswith(KNOWN_PREFIX))


def parse_seeds(text: str) -> list[int]:
    """Parses a list of seeds such as `1-50`, `7` or `1-3,9`; raises ScaleError for anything else."""
    try:
        return list(_seeds(text))
    except ValueError:
        raise ScaleError(f"--seeds {text}: expected a list such as 1-50 or 1-3,9") from None


def _seeds(text: str) -> Iterator[int]:
    for part in text.split(","):
        first, dash, last = part.partition("-")
        yield from range(int(first), int(last if dash else first) + 1)
