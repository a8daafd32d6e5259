"""The processes of a scale run: started, watched and ended by id, whatever ends the run."""

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import psutil

_PR_SET_PDEATHSIG = 1
_END_S = 5.0
_MB = 1e6


class Usage(msgspec.Struct):
    """What the processes of one role took; shares are of one core."""

    processes: int = 0
    cpu_s: float = 0.0
    mean_core_share: float = 0.0  # of the busiest process, over the run
    peak_core_share: float = 0.0  # of any process, over one second
    peak_memory_mb: float = 0.0  # of any process


class ProcessUsage(msgspec.Struct):
    """What one process took in its last life."""

    role: str
    lived_s: float
    cpu_s: float
    peak_core_share: float
    peak_memory_mb: float


@dataclass(slots=True)
class _Watched:
    name: str
    role: str
    popen: "subprocess.Popen[bytes]"
    process: psutil.Process
    began_at_s: float
    cpu_s: float = 0.0
    since_s: float = 0.0
    peak_share: float = 0.0
    peak_mb: float = 0.0


@dataclass(slots=True)
class _Past:
    """Lives of a role's processes that have ended."""

    cpu_s: float = 0.0
    peak_share: float = 0.0
    peak_mb: float = 0.0


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class Processes:
    """All that a run started."""

    directory: Path
    _watched: dict[str, _Watched] = field(default_factory=dict)
    _past: dict[str, _Past] = field(default_factory=dict)
    peak_memory_mb: float = 0.0
    peak_count: int = 0

    def start(self, name: str, role: str, command: Sequence[str], now_s: float) -> None:
        """Start one; what it says goes to a file of its own."""
        with (self.directory / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=_end_with_parent
            )
        self._watched[name] = _Watched(name, role, popen, psutil.Process(popen.pid), now_s, since_s=now_s)

    def kill(self, name: str) -> None:
        """End one without a signal that it could handle, as the platform does."""
        one = self._watched.pop(name, None)
        if one is None:
            return
        one.popen.kill()
        one.popen.wait()
        past = self._past.setdefault(one.role, _Past())
        past.cpu_s += one.cpu_s
        past.peak_share = max(past.peak_share, one.peak_share)
        past.peak_mb = max(past.peak_mb, one.peak_mb)

    def runs(self, name: str) -> bool:
        """Was it started, and not killed since?"""
        return name in self._watched

    def pause(self, name: str) -> bool:
        """Let it stand still, its clocks running on; False if there is none."""
        one = self._watched.get(name)
        if one is not None:
            one.popen.send_signal(signal.SIGSTOP)
        return one is not None

    def go_on(self, name: str) -> None:
        """Let one that stands still go on."""
        one = self._watched.get(name)
        if one is not None:
            one.popen.send_signal(signal.SIGCONT)

    def ended(self) -> list[str]:
        """Names of those that ended by themselves."""
        return [one.name for one in self._watched.values() if one.popen.poll() is not None]

    def log_tail(self, name: str, lines: int = 3) -> str:
        """The last lines that a process wrote."""
        text = (self.directory / f"{name}.log").read_text("utf-8", "replace").strip().splitlines()
        return " | ".join(text[-lines:])

    def sample(self, now_s: float) -> float:
        """Look at each; returns the memory of all in MB, this process's own included."""
        total_mb = psutil.Process(os.getpid()).memory_info().rss / _MB
        for one in self._watched.values():
            try:
                times, memory = one.process.cpu_times(), one.process.memory_info()
            except psutil.Error:
                continue
            cpu_s, memory_mb = times.user + times.system, memory.rss / _MB
            if now_s > one.since_s:
                one.peak_share = max(one.peak_share, (cpu_s - one.cpu_s) / (now_s - one.since_s))
            one.cpu_s, one.since_s, one.peak_mb = cpu_s, now_s, max(one.peak_mb, memory_mb)
            total_mb += memory_mb
        self.peak_memory_mb = max(self.peak_memory_mb, total_mb)
        self.peak_count = max(self.peak_count, len(self._watched) + 1)
        return total_mb

    def usage(self, now_s: float) -> dict[str, Usage]:
        """By role."""
        found: dict[str, Usage] = {}
        for role, past in self._past.items():
            found[role] = Usage(0, past.cpu_s, 0.0, past.peak_share, past.peak_mb)
        for one in self._watched.values():
            usage = found.setdefault(one.role, Usage())
            usage.processes += 1
            usage.cpu_s += one.cpu_s
            mean = one.cpu_s / max(1e-6, now_s - one.began_at_s)
            usage.mean_core_share = max(usage.mean_core_share, mean)
            usage.peak_core_share = max(usage.peak_core_share, one.peak_share)
            usage.peak_memory_mb = max(usage.peak_memory_mb, one.peak_mb)
        return found

    def each(self, now_s: float) -> dict[str, ProcessUsage]:
        """By process; of those that were restarted, what the present life took."""
        return {
            one.name: ProcessUsage(one.role, now_s - one.began_at_s, one.cpu_s, one.peak_share, one.peak_mb)
            for one in self._watched.values()
        }

    def end_all(self) -> None:
        """End whatever still runs."""
        for one in self._watched.values():
            if one.popen.poll() is None:
                one.popen.send_signal(signal.SIGCONT)
                one.popen.terminate()
        for one in self._watched.values():
            try:
                one.popen.wait(_END_S)
            except subprocess.TimeoutExpired:
                one.popen.kill()
                one.popen.wait()
        self._watched.clear()


def role_command(module: str, *arguments: str) -> list[str]:
    """One of our own processes."""
    return [sys.executable, "-m", f"tideusher.scale.{module}", *arguments]


def controller_command(tree: Path | None, config: Path) -> list[str]:
    """A controller: `run.py` of a checkout, or the installed package where there is none."""
    script = (tree or Path(__file__).resolve().parents[3]) / "run.py"
    if script.exists():
        return [sys.executable, str(script), "--config", str(config)]
    return [sys.executable, "-m", "tideusher", "serve", "--config", str(config)]
